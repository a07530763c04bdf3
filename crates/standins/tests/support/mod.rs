//! Stand-ins served inside a test.

// Each test file uses a part of this.
#![allow(dead_code)]

use jacinthrock::{GenerateCall, PriorityClass, RouteStage};
use jacinthrock_standins::engine::{EngineAssignment, EngineOptions};
use jacinthrock_standins::http::{HttpHandler, serve};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use ureq::http::Response;

pub(crate) const LAYERS: u16 = 12;

/// Serves a handler on a free port; must run inside a `LocalSet`.
pub(crate) async fn serve_here(handler: Rc<dyn HttpHandler>) -> Box<str> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    spawn_local(serve(listener, handler));
    address.into()
}

/// A reply as tests look at it.
#[derive(Debug)]
pub(crate) struct TestReply {
    pub(crate) status: u16,
    pub(crate) not_started: bool,
    pub(crate) body: String,
}

/// Makes a call from a thread of its own; none where the connection closed without a reply.
pub(crate) async fn call(
    method: &'static str,
    url: String,
    headers: &[(&'static str, &str)],
    body: &str,
) -> Option<TestReply> {
    let mut request = ureq::http::Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.to_owned()).unwrap();
    tokio::task::spawn_blocking(move || {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .allow_non_standard_methods(true)
            .build();
        read_reply(ureq::Agent::from(config).run(request).ok()?)
    })
    .await
    .unwrap()
}

fn read_reply(mut response: Response<ureq::Body>) -> Option<TestReply> {
    Some(TestReply {
        status: response.status().as_u16(),
        not_started: response.headers().contains_key("x-not-started"),
        body: response.body_mut().read_to_string().ok()?,
    })
}

pub(crate) fn engine_options(name: &str, first_layer: u16, last_layer: u16) -> EngineOptions {
    EngineOptions {
        name: name.into(),
        assignment: EngineAssignment {
            model: "guide".into(),
            version: "v1".into(),
            first_layer,
            last_layer,
            fence: 0,
            leaving: false,
        },
        slots: 8,
        layer: Duration::from_micros(10),
        prefill: Duration::from_micros(50),
        kv_import: Duration::from_micros(5),
        checks_fence: true,
        status_lag: Duration::from_millis(500),
        cache_tokens: 0,
    }
}

pub(crate) fn route_stage(
    name: &str,
    address: &str,
    first_layer: u16,
    last_layer: u16,
) -> RouteStage {
    RouteStage { endpoint: name.into(), address: address.into(), first_layer, last_layer }
}

pub(crate) fn generate_call(
    route: Vec<RouteStage>,
    accepted: &[u64],
    max_tokens: u32,
) -> GenerateCall {
    GenerateCall {
        request: "r1".into(),
        attempt: 1,
        model: "guide".into(),
        version: "v1".into(),
        route,
        prompt: "user: how hot is the kiln".into(),
        accepted: accepted.into(),
        max_tokens,
        priority: PriorityClass::Guidance,
        kv_sources: Vec::new(),
    }
}
