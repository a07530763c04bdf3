//! HTTP paths of an engine.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hyper::{Method, StatusCode};
use jacinthrock::{EngineOrder, GenerateCall};
use serde_json::json;
use std::rc::Rc;
use tokio::time::Instant;

use super::chain::{ForwardCall, KvReport, ReleaseCall};
use super::control::EngineFaults;
use super::stage::{EngineOptions, EngineStage};
use crate::http::{HttpCall, HttpHandler, HttpReply, LEAVING_HEADER, NOT_STARTED_HEADER};

const KV_PATH: &str = "/v1/kv/";

/// An engine behind its HTTP paths.
pub struct EngineApi {
    stage: Rc<EngineStage>,
}

impl EngineApi {
    /// An engine that has run nothing yet.
    pub fn new(options: EngineOptions) -> Self {
        Self { stage: Rc::new(EngineStage::new(options)) }
    }

    async fn answer(&self, call: HttpCall) -> Result<HttpReply, HttpReply> {
        match (&call.method, &*call.path) {
            (&Method::POST, "/v1/generate") => Ok(self.generate(call.json()?)),
            (&Method::POST, "/v1/forward") => Ok(self.forward(call.json()?).await),
            (&Method::POST, "/v1/release") => Ok(self.release(call.json()?)),
            (&Method::POST, "/v1/order") => Ok(self.order(call.json()?)),
            (&Method::POST, "/control/faults") => Ok(self.set_faults(call.json()?)),
            (&Method::GET, "/v1/status") => {
                Ok(HttpReply::json(StatusCode::OK, &self.stage.status()))
            }
            (&Method::GET, "/v1/cache/events") => Ok(self.cache_events(call.number("after"))),
            (&Method::GET, "/control/records") => Ok(self.records()),
            (&Method::GET, "/control/ends") => Ok(self.ends()),
            (&Method::GET, path) if path.starts_with(KV_PATH) => {
                Ok(self.kv_report(&path[KV_PATH.len()..]))
            }
            _ => Err(HttpReply::error(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    fn generate(&self, call: GenerateCall) -> HttpReply {
        if let Err(refusal) = self.stage.admit(&call) {
            let body = json!({ "reason": refusal.reason, "leaving": refusal.leaving });
            let reply = HttpReply::json(StatusCode::CONFLICT, &body);
            let reply = reply.with_header(NOT_STARTED_HEADER, "true");
            return match refusal.leaving {
                true => reply.with_header(LEAVING_HEADER, "true"),
                false => reply,
            };
        }
        HttpReply::stream("application/x-ndjson", self.stage.start(call))
    }

    async fn forward(&self, call: ForwardCall) -> HttpReply {
        if call.index >= call.route.len() {
            return HttpReply::error(StatusCode::BAD_REQUEST, "route has no such stage");
        }
        match self.stage.run(call).await {
            Ok(reply) => HttpReply::json(StatusCode::OK, &reply),
            Err(failure) => HttpReply::json(StatusCode::CONFLICT, &failure),
        }
    }

    fn release(&self, call: ReleaseCall) -> HttpReply {
        self.stage.release(&call);
        HttpReply::json(StatusCode::OK, &())
    }

    fn order(&self, order: EngineOrder) -> HttpReply {
        if order.first_layer > order.last_layer {
            return HttpReply::error(StatusCode::BAD_REQUEST, "layer range is empty");
        }
        match self.stage.obey(&order) {
            Ok(status) => HttpReply::json(StatusCode::OK, &status),
            Err(stale) => HttpReply::error(StatusCode::CONFLICT, &stale.to_string())
                .with_header(NOT_STARTED_HEADER, "true"),
        }
    }

    fn set_faults(&self, faults: EngineFaults) -> HttpReply {
        let reply = HttpReply::json(StatusCode::OK, &faults);
        self.stage.faults.borrow_mut().set(faults, Instant::now());
        reply
    }

    fn cache_events(&self, after: u64) -> HttpReply {
        let events = self.stage.cache.borrow().events_after(after, Instant::now());
        HttpReply::json(StatusCode::OK, &json!({ "events": events }))
    }

    fn records(&self) -> HttpReply {
        HttpReply::json(StatusCode::OK, &*self.stage.records.borrow())
    }

    fn ends(&self) -> HttpReply {
        HttpReply::json(StatusCode::OK, &self.stage.records.borrow().ends)
    }

    fn kv_report(&self, request: &str) -> HttpReply {
        let assignment = self.stage.assignment.borrow();
        let Some(length) = self.stage.requests.borrow().kv_length(request) else {
            return HttpReply::error(StatusCode::NOT_FOUND, "no KV cache of the request");
        };
        let (first_layer, last_layer) = (assignment.first_layer, assignment.last_layer);
        HttpReply::json(StatusCode::OK, &KvReport { length, first_layer, last_layer })
    }
}

impl HttpHandler for EngineApi {
    fn handle(self: Rc<Self>, call: HttpCall) -> LocalBoxFuture<'static, HttpReply> {
        async move { self.answer(call).await.unwrap_or_else(|reply| reply) }.boxed_local()
    }
}
