//! Stand-in of the platform's store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{Message, answer, serve};
use crate::json::Json;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type ObjectKey = (String, String);

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<ObjectKey, (u64, String)>,
    /// Revision, object and its spec, none if it was removed.
    events: Vec<(u64, ObjectKey, Option<String>)>,
    /// Number of the last cut of waiting watches, by kind.
    cuts: BTreeMap<String, u64>,
    /// Watches that were cut off.
    cut_watches: usize,
    /// Connections that were made before this time have gone silent.
    silent_before: Option<Instant>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let store = Self { shared: Arc::default(), address };
        store.shared.0.lock().unwrap().revision = 100;
        let server = store.clone();
        serve(listener, move |request, _, made| {
            server.wait_if_silent(made);
            let reply = server.reply(request);
            server.wait_if_silent(made);
            reply
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.change((kind.into(), name.into()), Some(spec.into()));
        self.shared.1.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.change((kind.into(), name.into()), None);
        self.shared.1.notify_all();
    }

    /// Closes the connections of the watches of a kind that wait now.
    pub fn cut_watches(&self, kind: &str) {
        let mut state = self.shared.0.lock().unwrap();
        *state.cuts.entry(kind.into()).or_default() += 1;
        self.shared.1.notify_all();
    }

    /// Has all open connections go silent for good; new ones work.
    pub fn silence_connections(&self) {
        self.shared.0.lock().unwrap().silent_before = Some(Instant::now());
    }

    /// Does not return if the connection has gone silent.
    fn wait_if_silent(&self, made: Instant) {
        while self.shared.0.lock().unwrap().silent_before.is_some_and(|at| made < at) {
            sleep(Duration::from_secs(1));
        }
    }

    pub fn cut_count(&self) -> usize {
        self.shared.0.lock().unwrap().cut_watches
    }

    fn reply(&self, request: Message) -> Option<Vec<u8>> {
        sleep(ANSWER_TIME);
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(ToOwned::to_owned);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.word(0), name) {
            ("GET", None) => self.list(&kind, query),
            ("GET", Some(name)) => {
                let state = self.shared.0.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some((revision, spec)) => json(200, object(&name, *revision, spec)),
                    None => json(404, "{}"),
                }
            }
            ("DELETE", Some(name)) => {
                let mut state = self.shared.0.lock().unwrap();
                if !state.objects.contains_key(&(kind.clone(), name.clone())) {
                    return json(404, "{}");
                }
                state.change((kind, name), None);
                self.shared.1.notify_all();
                json(200, "{}")
            }
            (method @ ("POST" | "PUT"), name) => self.write(method, kind, name, &body),
            _ => json(400, "{}"),
        }
    }

    fn write(
        &self,
        method: &str,
        kind: String,
        name: Option<String>,
        body: &str,
    ) -> Option<Vec<u8>> {
        let sent = Json::parse(body)?;
        let metadata = sent.get("metadata");
        let named = metadata.and_then(|it| it.get("name")).and_then(|it| it.string.clone());
        let expected = metadata.and_then(|it| it.get("revision")).and_then(Json::number);
        let spec = sent.get("spec").map_or("null", |spec| spec.text).to_owned();
        let Some(name) = name.or(named) else { return json(400, "{}") };
        let key = (kind, name.clone());
        let mut state = self.shared.0.lock().unwrap();
        let current = state.objects.get(&key).cloned();
        match (&current, method) {
            (None, "PUT") => return json(404, "{}"),
            (Some((revision, known)), "POST") => return json(409, object(&name, *revision, known)),
            (Some((revision, known)), _) if expected.is_some_and(|it| it != *revision) => {
                return json(409, object(&name, *revision, known));
            }
            _ => {}
        }
        if current.is_none_or(|(_, known)| known != spec) {
            state.change(key.clone(), Some(spec.clone()));
            self.shared.1.notify_all();
        }
        let revision = state.objects[&key].0;
        json(200, object(&name, revision, &spec))
    }

    fn list(&self, kind: &str, query: &str) -> Option<Vec<u8>> {
        let field = |name: &str| -> Option<u64> {
            let fields = query.split('&').filter_map(|part| part.split_once('='));
            fields.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
        };
        let mut state = self.shared.0.lock().unwrap();
        let Some(after) = field("watch") else {
            let items = state.objects.iter().filter(|((of, _), _)| of == kind);
            let items: Vec<_> =
                items.map(|((_, name), (at, spec))| object(name, *at, spec)).collect();
            let text = items.join(",");
            let revision = state.revision;
            return json(
                200,
                format!("{{\"items\":[{text}],\"hasMore\":false,\"currentRev\":{revision}}}"),
            );
        };
        let end = Instant::now() + Duration::from_millis(field("waitMs").unwrap_or(0));
        let cut = state.cuts.get(kind).copied();
        loop {
            if state.cuts.get(kind).copied() != cut {
                state.cut_watches += 1;
                return None;
            }
            let events: Vec<_> = state
                .events
                .iter()
                .filter(|(at, (of, _), _)| *at > after && of == kind)
                .map(|(at, (_, name), spec)| {
                    let text = object(name, *at, spec.as_deref().unwrap_or("{}"));
                    format!("{{\"object\":{text},\"deleted\":{}}}", spec.is_none())
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let (text, revision) = (events.join(","), state.revision);
                return json(200, format!("{{\"events\":[{text}],\"currentRev\":{revision}}}"));
            }
            state = self.shared.1.wait_timeout(state, end - now).unwrap().0;
        }
    }
}

impl StoreState {
    fn change(&mut self, key: ObjectKey, spec: Option<String>) {
        self.revision += 1;
        match &spec {
            Some(spec) => self.objects.insert(key.clone(), (self.revision, spec.clone())),
            None => self.objects.remove(&key),
        };
        self.events.push((self.revision, key, spec));
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec}}}"
    )
}

fn json(status: u16, body: impl AsRef<str>) -> Option<Vec<u8>> {
    Some(answer(status, &[("Content-Type", "application/json")], body.as_ref()))
}
