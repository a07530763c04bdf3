//! Object API over HTTP, with fault injection.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hyper::{Method, StatusCode};
use jacinthrock::ObjectVersion;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::limit::RateLimit;
use super::objects::{ObjectEntry, ObjectError, ObjectTable};
use crate::http::{HttpCall, HttpHandler, HttpReply};

/// Maximum wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

const OBJECT_PATH_PREFIX: &str = "/v1/objects/";

/// Limits of the stand-in.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// Maximum number of writes per second.
    pub writes_per_second: u32,
    /// Maximum number of reads per second; a watch counts as one.
    pub reads_per_second: u32,
    /// Number of changes kept for watches.
    pub history: usize,
}

/// Active faults; a call to `/control/faults` replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call fails with status 503 and has no effect.
    pub down: bool,
    /// Every connection is closed without a reply, and the call has no effect.
    pub unreachable: bool,
    /// Delay before a call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming writes that take effect but get no reply.
    pub lose_replies: u32,
    /// Every write fails with status 503 and has no effect.
    pub refuse_writes: bool,
}

/// Totals of calls and bytes since start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformUsage {
    /// Number of reads; a watch counts as one.
    pub reads: u64,
    /// Number of writes.
    pub writes: u64,
    /// Bytes of values written.
    pub written_bytes: u64,
    /// Bytes of values read.
    pub read_bytes: u64,
    /// Number of calls refused by the rate limits.
    pub throttled: u64,
}

/// State of the stand-in and its HTTP API.
pub struct PlatformApi {
    table: RefCell<ObjectTable>,
    faults: RefCell<PlatformFaults>,
    usage: RefCell<PlatformUsage>,
    read_limit: RefCell<RateLimit>,
    write_limit: RefCell<RateLimit>,
    changed: Notify,
}

impl PlatformApi {
    /// Creates a platform without objects.
    pub fn new(options: PlatformOptions) -> Self {
        let now = Instant::now();
        Self {
            table: RefCell::new(ObjectTable::new(options.history)),
            faults: RefCell::default(),
            usage: RefCell::default(),
            read_limit: RefCell::new(RateLimit::new(options.reads_per_second, now)),
            write_limit: RefCell::new(RateLimit::new(options.writes_per_second, now)),
            changed: Notify::new(),
        }
    }

    async fn answer(&self, call: HttpCall) -> HttpReply {
        match (&call.method, &*call.path) {
            (&Method::POST, "/control/faults") => self.set_faults(&call),
            (&Method::GET, "/control/usage") => {
                HttpReply::json(StatusCode::OK, &*self.usage.borrow())
            }
            (&Method::GET, "/v1/objects" | "/v1/watch") => self.read(call).await,
            (&Method::GET, path) if path.starts_with(OBJECT_PATH_PREFIX) => self.read(call).await,
            (&Method::PUT | &Method::DELETE, path) if path.starts_with(OBJECT_PATH_PREFIX) => {
                self.write(call).await
            }
            _ => HttpReply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn set_faults(&self, call: &HttpCall) -> HttpReply {
        let faults = match call.json::<PlatformFaults>() {
            Ok(faults) => faults,
            Err(reply) => return reply,
        };
        *self.faults.borrow_mut() = faults.clone();
        self.changed.notify_waiters();
        HttpReply::json(StatusCode::OK, &faults)
    }

    fn outage_reply(&self) -> Option<HttpReply> {
        let faults = self.faults.borrow();
        if faults.unreachable {
            return Some(HttpReply::Dropped);
        }
        faults.down.then(|| HttpReply::error(StatusCode::SERVICE_UNAVAILABLE, "platform is down"))
    }

    async fn delay(&self) {
        let delay = Duration::from_millis(self.faults.borrow().delay_ms);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    fn throttled_reply(&self) -> HttpReply {
        self.usage.borrow_mut().throttled += 1;
        HttpReply::error(StatusCode::TOO_MANY_REQUESTS, "rate exceeded")
            .with_header("Retry-After", "1")
    }

    async fn read(&self, call: HttpCall) -> HttpReply {
        if let Some(reply) = self.outage_reply() {
            return reply;
        }
        if !self.read_limit.borrow_mut().try_take(Instant::now()) {
            return self.throttled_reply();
        }
        self.usage.borrow_mut().reads += 1;
        self.delay().await;
        if let Some(reply) = self.outage_reply() {
            return reply;
        }
        match &*call.path {
            "/v1/objects" => self.list(call.query_text("prefix")),
            "/v1/watch" => self.watch(&call).await,
            path => self.get(&path[OBJECT_PATH_PREFIX.len()..]),
        }
    }

    fn get(&self, key: &str) -> HttpReply {
        let table = self.table.borrow();
        let Some(entry) = table.get(key) else {
            return HttpReply::error(StatusCode::NOT_FOUND, "no such object");
        };
        self.count_read_bytes(std::slice::from_ref(entry));
        HttpReply::bytes(StatusCode::OK, "application/json", entry.value.to_string())
            .with_header("X-Object-Version", &entry.version.to_string())
    }

    fn list(&self, prefix: &str) -> HttpReply {
        let table = self.table.borrow();
        let objects = table.list(prefix);
        self.count_read_bytes(&objects);
        let listing = json!({ "version": table.version(), "objects": objects });
        HttpReply::json(StatusCode::OK, &listing)
    }

    fn count_read_bytes(&self, entries: &[ObjectEntry]) {
        let bytes: usize = entries.iter().map(|entry| entry.value.len()).sum();
        self.usage.borrow_mut().read_bytes += bytes as u64;
    }

    async fn watch(&self, call: &HttpCall) -> HttpReply {
        let wait = Duration::from_millis(call.query_number("wait_ms")).min(MAX_WATCH_WAIT);
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if let Some(reply) = self.outage_reply() {
                return reply;
            }
            let found =
                self.table.borrow().changes(call.query_text("prefix"), call.query_number("after"));
            let Ok(changes) = found else {
                return HttpReply::error(StatusCode::GONE, "version is older than the history");
            };
            let is_expired = Instant::now() >= deadline;
            if !changes.is_empty() || is_expired {
                let version = self.table.borrow().version();
                return HttpReply::json(
                    StatusCode::OK,
                    &json!({ "version": version, "changes": changes }),
                );
            }
            // On a timeout, the next iteration returns the reply.
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }

    async fn write(&self, call: HttpCall) -> HttpReply {
        if let Some(reply) = self.outage_reply() {
            return reply;
        }
        if self.faults.borrow().refuse_writes {
            return HttpReply::error(StatusCode::SERVICE_UNAVAILABLE, "writes are refused");
        }
        if !self.write_limit.borrow_mut().try_take(Instant::now()) {
            return self.throttled_reply();
        }
        self.delay().await;
        if let Some(reply) = self.outage_reply() {
            return reply;
        }
        let reply = self.apply_write(&call);
        self.changed.notify_waiters();
        if self.take_lost_reply() { HttpReply::Dropped } else { reply }
    }

    fn apply_write(&self, call: &HttpCall) -> HttpReply {
        let key = &call.path[OBJECT_PATH_PREFIX.len()..];
        let Some(expected) = call.header("If-Match").and_then(|text| text.parse().ok()) else {
            return HttpReply::error(StatusCode::BAD_REQUEST, "If-Match must be a version");
        };
        let mut usage = self.usage.borrow_mut();
        usage.writes += 1;
        usage.written_bytes += call.body.len() as u64;
        let mut table = self.table.borrow_mut();
        if call.method == Method::DELETE {
            return write_reply(table.delete(key, expected).map(|()| table.version()));
        }
        match std::str::from_utf8(&call.body) {
            Ok(value) => write_reply(table.put(key, expected, value)),
            Err(_) => HttpReply::error(StatusCode::BAD_REQUEST, "value is not UTF-8"),
        }
    }

    fn take_lost_reply(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        let is_lost = faults.lose_replies > 0;
        faults.lose_replies = faults.lose_replies.saturating_sub(1);
        is_lost
    }
}

impl HttpHandler for PlatformApi {
    fn handle(self: Rc<Self>, call: HttpCall) -> LocalBoxFuture<'static, HttpReply> {
        async move { self.answer(call).await }.boxed_local()
    }
}

fn write_reply(result: Result<ObjectVersion, ObjectError>) -> HttpReply {
    match result {
        Ok(version) => HttpReply::json(StatusCode::OK, &json!({ "version": version })),
        Err(ObjectError::Conflict(current)) => {
            HttpReply::json(StatusCode::CONFLICT, &json!({ "current": current }))
        }
        Err(error @ ObjectError::TooLarge) => {
            HttpReply::error(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string())
        }
        Err(error @ ObjectError::Gone) => HttpReply::error(StatusCode::GONE, &error.to_string()),
    }
}
