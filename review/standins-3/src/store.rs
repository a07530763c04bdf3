//! Stand-in of the platform's store: objects with revisions, lists and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, listen};
use crate::json::Json;

struct Change {
    revision: u64,
    kind: String,
    object: String,
    is_deleted: bool,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    /// Objects by kind and name, each with its revision and spec.
    objects: BTreeMap<(String, String), (u64, Json)>,
    changes: Vec<Change>,
    /// Text of the spec that was last written under a condition.
    last_conditional: String,
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> String {
        self.revision += 1;
        let object = object_text(name, self.revision, &spec);
        let change = Change {
            revision: self.revision,
            kind: kind.into(),
            object: object.clone(),
            is_deleted: false,
        };
        self.changes.push(change);
        self.objects.insert((kind.into(), name.into()), (self.revision, spec));
        object
    }

    fn delete(&mut self, kind: &str, name: &str) -> bool {
        let Some((_, spec)) = self.objects.remove(&(kind.into(), name.into())) else {
            return false;
        };
        self.revision += 1;
        let object = object_text(name, self.revision, &spec);
        let (revision, kind) = (self.revision, kind.into());
        self.changes.push(Change { revision, kind, object, is_deleted: true });
        true
    }

    fn events(&self, kind: &str, after: u64) -> Vec<String> {
        let changes = self.changes.iter().filter(|it| it.revision > after && it.kind == kind);
        let events =
            changes.map(|it| format!("{{\"object\":{},\"deleted\":{}}}", it.object, it.is_deleted));
        events.collect()
    }
}

fn object_text(name: &str, revision: u64, spec: &Json) -> String {
    let name = Json::Text(name.into()).write();
    format!(
        "{{\"metadata\":{{\"name\":{name},\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        spec.write()
    )
}

/// The store. Clones share the same objects.
#[derive(Clone, Default)]
pub struct Store {
    objects: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<(Self, SocketAddr)> {
        let store = Self::default();
        store.objects.0.lock().unwrap().revision = 100;
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let server = store.clone();
        listen(listener, move |connection| server.serve(connection));
        Ok((store, address))
    }

    /// Writes an object as the operator or a replica does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("valid JSON");
        self.objects.0.lock().unwrap().put(kind, name, spec);
        self.objects.1.notify_all();
    }

    /// Removes an object; returns when the store has acknowledged that.
    pub fn delete(&self, kind: &str, name: &str) -> Instant {
        self.objects.0.lock().unwrap().delete(kind, name);
        let acknowledged = Instant::now();
        self.objects.1.notify_all();
        acknowledged
    }

    /// Text of what was last written under a condition.
    pub fn last_conditional(&self) -> String {
        self.objects.0.lock().unwrap().last_conditional.clone()
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            let (status, body) = self.reply(&request);
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if connection.answer(status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn reply(&self, request: &Message) -> (u16, String) {
        let mut words = request.first_line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(known, _)| *known == name).map(|(_, value)| value.to_owned())
        };
        let mut parts = path.trim_matches('/').split('/').skip(1);
        let (Some(kind), name) = (parts.next(), parts.next()) else { return (404, "{}".into()) };
        let spec = Json::parse(&String::from_utf8_lossy(&request.body));
        let metadata = spec.as_ref().and_then(|body| body.get("metadata")).cloned();
        let wanted = metadata.as_ref().and_then(|it| it.get("revision")?.number());
        let wanted = wanted.or_else(|| field("revision")?.parse().ok());
        let content =
            spec.as_ref().and_then(|body| body.get("spec")).cloned().unwrap_or(Json::Null);
        let mut objects = self.objects.0.lock().unwrap();
        let known = |objects: &Objects, name: &str| {
            objects.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
        };
        match (method, name) {
            ("GET", None) => match field("watch").and_then(|after| after.parse().ok()) {
                Some(after) => {
                    let wait = field("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    drop(objects);
                    (200, self.watch(kind, after, Duration::from_millis(wait)))
                }
                None => {
                    let of_kind = objects.objects.iter().filter(|((it, _), _)| it == kind);
                    let items: Vec<_> = of_kind
                        .map(|((_, name), (revision, spec))| object_text(name, *revision, spec))
                        .collect();
                    let (items, revision) = (items.join(","), objects.revision);
                    (
                        200,
                        format!(
                            "{{\"items\":[{items}],\"hasMore\":false,\"currentRev\":{revision}}}"
                        ),
                    )
                }
            },
            ("GET", Some(name)) => match known(&objects, name) {
                Some((revision, spec)) => (200, object_text(name, revision, &spec)),
                None => (404, "{}".into()),
            },
            ("POST", None) => {
                let name = metadata.as_ref().and_then(|it| it.get("name")?.text());
                let Some(name) = name else { return (400, "{}".into()) };
                if let Some((revision, spec)) = known(&objects, name) {
                    return (409, object_text(name, revision, &spec));
                }
                let object = objects.put(kind, name, content);
                self.objects.1.notify_all();
                (200, object)
            }
            ("PUT", Some(name)) => {
                let Some((revision, spec)) = known(&objects, name) else {
                    return (404, "{}".into());
                };
                if wanted.is_some_and(|wanted| wanted != revision) {
                    return (409, object_text(name, revision, &spec));
                }
                if spec == content {
                    return (200, object_text(name, revision, &spec));
                }
                if wanted.is_some() {
                    objects.last_conditional = content.write();
                }
                let object = objects.put(kind, name, content);
                self.objects.1.notify_all();
                (200, object)
            }
            ("DELETE", Some(name)) => {
                let Some((revision, spec)) = known(&objects, name) else {
                    return (404, "{}".into());
                };
                if wanted.is_some_and(|wanted| wanted != revision) {
                    return (409, object_text(name, revision, &spec));
                }
                objects.delete(kind, name);
                self.objects.1.notify_all();
                (200, object_text(name, revision, &spec))
            }
            _ => (405, "{}".into()),
        }
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut objects = self.objects.0.lock().unwrap();
        loop {
            let events = objects.events(kind, after);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), objects.revision);
                return format!("{{\"events\":[{events}],\"currentRev\":{revision}}}");
            }
            objects = self.objects.1.wait_timeout(objects, left).unwrap().0;
        }
    }
}
