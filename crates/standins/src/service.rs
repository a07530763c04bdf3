//! Stand-in for a plain service; it runs and records every call.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::http::{HttpCall, HttpHandler, HttpReply, LEAVING_HEADER, NOT_STARTED_HEADER};

/// Settings of the stand-in service.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Name of the endpoint; ids of records start with it.
    pub name: Box<str>,
    /// Kind of the records: `booking` or `registry`.
    pub kind: Box<str>,
    /// Time that a call takes.
    pub work_time: Duration,
}

/// Active faults; a call to `/control/faults` replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Number of upcoming calls that run but get no reply.
    pub drop_reply_next: u32,
    /// Number of upcoming calls that are refused before they start.
    pub refuse_next: u32,
    /// Extra time of each call, in milliseconds.
    pub delay_ms: u64,
}

/// Record of the calls that ran with one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Value of `Idempotency-Key`; empty for calls without one.
    pub key: Box<str>,
    /// Body of the last call.
    pub body: Box<str>,
    /// Number of calls that ran.
    pub times_run: u32,
}

/// State of the stand-in and its HTTP API.
pub struct ServiceApi {
    options: ServiceOptions,
    faults: RefCell<ServiceFaults>,
    is_leaving: Cell<bool>,
    records: RefCell<BTreeMap<Box<str>, ServiceRecord>>,
    entries: RefCell<Vec<Box<str>>>,
}

#[derive(Deserialize)]
#[serde(default)]
struct LeavingCall {
    leaving: bool,
}

impl Default for LeavingCall {
    fn default() -> Self {
        Self { leaving: true }
    }
}

impl ServiceApi {
    /// Creates a service without records.
    pub fn new(options: ServiceOptions) -> Self {
        Self {
            options,
            faults: RefCell::default(),
            is_leaving: Cell::new(false),
            records: RefCell::default(),
            entries: RefCell::default(),
        }
    }

    async fn answer(&self, call: HttpCall) -> HttpReply {
        match (&call.method, &*call.path) {
            (&Method::GET, "/control/records") => {
                let records: Vec<_> = self.records.borrow().values().cloned().collect();
                HttpReply::json(StatusCode::OK, &records)
            }
            (&Method::POST, "/control/faults") => self.set_faults(&call),
            (&Method::POST, "/control/leaving") => self.set_leaving(&call),
            _ => self.serve(call).await,
        }
    }

    fn set_faults(&self, call: &HttpCall) -> HttpReply {
        match call.json::<ServiceFaults>() {
            Ok(faults) => {
                *self.faults.borrow_mut() = faults.clone();
                HttpReply::json(StatusCode::OK, &faults)
            }
            Err(reply) => reply,
        }
    }

    fn set_leaving(&self, call: &HttpCall) -> HttpReply {
        let leaving_call =
            if call.body.is_empty() { Ok(LeavingCall::default()) } else { call.json() };
        match leaving_call {
            Ok(leaving_call) => {
                self.is_leaving.set(leaving_call.leaving);
                HttpReply::json(StatusCode::OK, &json!({ "leaving": leaving_call.leaving }))
            }
            Err(reply) => reply,
        }
    }

    async fn serve(&self, call: HttpCall) -> HttpReply {
        if let Some(refusal) = self.refusal_reply() {
            return refusal;
        }
        let extra_time = Duration::from_millis(self.faults.borrow().delay_ms);
        if call.method == Method::GET {
            tokio::time::sleep(self.options.work_time + extra_time).await;
            return self.look_up(call.path.trim_start_matches('/'));
        }
        // The call takes effect when it starts: a caller that disconnects does not undo it.
        let reply = self.run(&call);
        tokio::time::sleep(self.options.work_time + extra_time).await;
        if take_pending(&mut self.faults.borrow_mut().drop_reply_next) {
            return HttpReply::Dropped;
        }
        reply
    }

    fn refusal_reply(&self) -> Option<HttpReply> {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        if self.is_leaving.get() {
            let reply = HttpReply::error(status, "leaving");
            let reply = reply.with_header(NOT_STARTED_HEADER, "true");
            return Some(reply.with_header(LEAVING_HEADER, "true"));
        }
        take_pending(&mut self.faults.borrow_mut().refuse_next)
            .then(|| HttpReply::error(status, "refused").with_header(NOT_STARTED_HEADER, "true"))
    }

    fn run(&self, call: &HttpCall) -> HttpReply {
        let key: Box<str> = call.header("Idempotency-Key").unwrap_or("").into();
        let body: Box<str> = String::from_utf8_lossy(&call.body).into();
        let mut records = self.records.borrow_mut();
        let empty = ServiceRecord { key: key.clone(), body: "".into(), times_run: 0 };
        let record = records.entry(key.clone()).or_insert(empty);
        record.times_run += 1;
        record.body = body.clone();
        let mut entries = self.entries.borrow_mut();
        entries.push(body);
        let id = format!("{}-{}", self.options.name, entries.len());
        let kind = &self.options.kind;
        HttpReply::json(StatusCode::CREATED, &json!({ "id": id, "kind": kind, "key": key }))
    }

    fn look_up(&self, id: &str) -> HttpReply {
        let entries = self.entries.borrow();
        if id.is_empty() {
            let count = entries.len();
            let value = json!({ "endpoint": self.options.name, "count": count });
            return HttpReply::json(StatusCode::OK, &value);
        }
        let suffix = id.strip_prefix(&*self.options.name).and_then(|rest| rest.strip_prefix('-'));
        let number = suffix.and_then(|digits| digits.parse::<usize>().ok());
        let entry = number.and_then(|number| entries.get(number.checked_sub(1)?));
        match entry {
            Some(body) => HttpReply::bytes(StatusCode::OK, "application/json", body.to_string()),
            None => HttpReply::error(StatusCode::NOT_FOUND, "no such record"),
        }
    }
}

impl HttpHandler for ServiceApi {
    fn handle(self: Rc<Self>, call: HttpCall) -> LocalBoxFuture<'static, HttpReply> {
        async move { self.answer(call).await }.boxed_local()
    }
}

fn take_pending(count: &mut u32) -> bool {
    let is_pending = *count > 0;
    *count = count.saturating_sub(1);
    is_pending
}
