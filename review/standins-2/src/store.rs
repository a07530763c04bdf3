//! Stand-in of the platform's metadata store: lists, watches, conditional writes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, answer, serve};
use crate::json::Json;

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Json>,
    /// Revision, kind, object, and whether it was removed.
    history: Vec<(u64, String, Json, bool)>,
}

/// The store; clones share it.
#[derive(Clone, Default)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    /// Starts the store at an address.
    pub fn start(address: SocketAddr) -> io::Result<Store> {
        let store = Store::default();
        store.content.0.lock().unwrap().revision = 1;
        let server = store.clone();
        serve(address, move |request| Some(server.reply(&request)))?;
        Ok(store)
    }

    /// Writes an object as the operator or a replica does.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let mut content = self.content.0.lock().unwrap();
        content.put(kind, name, spec);
        self.content.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut content = self.content.0.lock().unwrap();
        content.remove(kind, name);
        self.content.1.notify_all();
    }

    /// Text of the record of the placement lease.
    pub fn lease(&self) -> String {
        let content = self.content.0.lock().unwrap();
        let key = ("jacinthrock-duties".to_owned(), "placement".to_owned());
        let object = content.objects.get(&key);
        let text = object.and_then(|object| object.get("spec")?.get("text")?.text());
        text.unwrap_or_default().to_owned()
    }

    fn reply(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let (status, document) = match request.method() {
            "GET" => match field("watch") {
                Some(after) => self.watch(kind, after, field("waitMs").unwrap_or(0)),
                None => self.list(kind, name),
            },
            "POST" | "PUT" => self.write(request.method() == "POST", kind, name, &body),
            "DELETE" => {
                self.remove(kind, name.unwrap_or_default());
                (200, Json::map([]))
            }
            _ => (400, Json::map([])),
        };
        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
        answer(status, &headers, document.to_string().as_bytes())
    }

    fn list(&self, kind: &str, name: Option<&str>) -> (u16, Json) {
        let content = self.content.0.lock().unwrap();
        if let Some(name) = name {
            return match content.objects.get(&(kind.to_owned(), name.to_owned())) {
                Some(object) => (200, object.clone()),
                None => (404, Json::map([])),
            };
        }
        let items = content.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<Json> = items.map(|(_, object)| object.clone()).collect();
        let list = [
            ("items", items.into()),
            ("hasMore", false.into()),
            ("currentRev", content.revision.into()),
        ];
        (200, Json::map(list))
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, Json) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut content = self.content.0.lock().unwrap();
        loop {
            let newer = content.history.iter().filter(|(at, of, ..)| *at > after && of == kind);
            let events: Vec<Json> = newer
                .map(|(_, _, object, is_removed)| {
                    Json::map([("object", object.clone()), ("deleted", (*is_removed).into())])
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = content.revision;
                let reply = [("events", events.into()), ("currentRev", revision.into())];
                return (200, Json::map(reply));
            }
            content = self.content.1.wait_timeout(content, left).unwrap().0;
        }
    }

    fn write(&self, is_new: bool, kind: &str, name: Option<&str>, body: &Json) -> (u16, Json) {
        let metadata = body.get("metadata");
        let named = metadata.and_then(|metadata| metadata.get("name")?.text());
        let Some(name) = name.or(named) else { return (400, Json::map([])) };
        let expected = metadata.and_then(|metadata| metadata.get("revision")?.number());
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        let mut content = self.content.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let current = content.objects.get(&key).cloned();
        let result = match current {
            Some(object) if is_new => (409, object),
            None if !is_new => (404, Json::map([])),
            Some(object) => {
                let revision = object.get("metadata").and_then(|it| it.get("revision")?.number());
                if expected.is_some() && expected != revision {
                    (409, object)
                } else if object.get("spec") == Some(&spec) {
                    (200, object)
                } else {
                    (200, content.put(kind, name, spec))
                }
            }
            None => (201, content.put(kind, name, spec)),
        };
        self.content.1.notify_all();
        result
    }
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> Json {
        self.revision += 1;
        let metadata = Json::map([
            ("name", name.into()),
            ("revision", self.revision.into()),
            ("created", 1.into()),
            ("finalizers", Vec::new().into()),
            ("deleting", false.into()),
        ]);
        let object = Json::map([("metadata", metadata), ("spec", spec), ("status", Json::Null)]);
        self.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        self.history.push((self.revision, kind.to_owned(), object.clone(), false));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.history.push((self.revision, kind.to_owned(), object, true));
        }
    }
}
