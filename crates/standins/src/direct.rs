//! Caller that bypasses the routers, as a baseline for calls through them.

use jacinthrock::{GenerateCall, GenerateEvent, PriorityClass, RouteStage};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::caller::{
    CallEnd, CallSender, ChatAnswer, ChatCall, RouterCaller, ServiceAnswer, ServiceCall,
    chat_prompt,
};

/// The endpoints that a direct caller uses.
#[derive(Clone, Debug)]
pub struct DirectTarget {
    /// Name of the model.
    pub model: Box<str>,
    /// Version of the model.
    pub version: Box<str>,
    /// Priority class of the calls.
    pub priority: PriorityClass,
    /// Chains, each covering every layer of the model.
    pub chains: Vec<Vec<RouteStage>>,
    /// Addresses of plain endpoints by path prefix.
    pub services: BTreeMap<Box<str>, Vec<Box<str>>>,
}

/// Calls chains and plain endpoints directly, round robin.
pub struct DirectCaller {
    target: DirectTarget,
    caller: RouterCaller,
    turn: AtomicUsize,
}

impl DirectCaller {
    /// Creates a caller that waits up to `call_timeout` for the response headers and as long again
    /// for the body.
    pub fn new(target: DirectTarget, call_timeout: Duration) -> Self {
        Self { target, caller: RouterCaller::new(call_timeout), turn: AtomicUsize::new(0) }
    }

    /// Returns the number of the next call, which determines its chain or endpoint.
    fn take_turn(&self) -> usize {
        self.turn.fetch_add(1, Ordering::Relaxed)
    }

    fn generate_call(&self, call: &ChatCall<'_>, turn: usize) -> GenerateCall {
        let chains = &self.target.chains;
        GenerateCall {
            request: format!("direct-{turn}").into(),
            attempt: 1,
            model: self.target.model.clone(),
            version: self.target.version.clone(),
            route: chains[turn % chains.len()].clone(),
            prompt: chat_prompt(call.user_message),
            accepted: Vec::new(),
            max_tokens: call.max_tokens,
            priority: self.target.priority,
            kv_sources: Vec::new(),
        }
    }
}

impl CallSender for DirectCaller {
    fn stream_chat(&self, call: &ChatCall<'_>) -> ChatAnswer {
        let call = self.generate_call(call, self.take_turn());
        let url = format!("http://{}/v1/generate", call.route[0].address);
        let mut answer = ChatAnswer {
            tokens: Vec::new(),
            times: Vec::new(),
            id: call.request.clone(),
            end: CallEnd::Cut,
        };
        if let Ok(response) = self.caller.agent().post(&url).send_json(&call) {
            answer.end = read_events(response, &mut answer);
        }
        answer
    }

    fn call(&self, call: &ServiceCall<'_>) -> ServiceAnswer {
        let prefix = call.path.trim_end_matches('/');
        let endpoints = &self.target.services[prefix];
        let router = &endpoints[self.take_turn() % endpoints.len()];
        self.caller.call(&ServiceCall { router, path: "/", ..call.clone() })
    }
}

fn read_events(response: ureq::http::Response<ureq::Body>, answer: &mut ChatAnswer) -> CallEnd {
    let reader = BufReader::new(response.into_body().into_reader());
    for line in reader.lines().map_while(Result::ok) {
        match serde_json::from_str(&line) {
            Ok(GenerateEvent::Token { token, .. }) => {
                answer.tokens.push(token);
                answer.times.push(Instant::now());
            }
            Ok(GenerateEvent::End { .. }) => return CallEnd::Whole,
            Ok(GenerateEvent::Failed { .. }) | Err(_) => return CallEnd::Cut,
        }
    }
    CallEnd::Cut
}
