//! Requests that the rules allow.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HOST;
use hyper::http::request::Parts;
use jacinthrock::{CallRefusal, CustomerName, MetricName, ResultCode, ServiceName};
use rand::Rng;
use sha2::{Digest, Sha256};
use tokio::time::Instant;

use crate::adapter::{CallHead, PromptPart};
use crate::demand::level_of;
use crate::endpoints::EndpointEntry;
use crate::fingerprint::RequestFingerprint;
use crate::forward::ForwardedCall;
use crate::poison::{BlamedSuspect, CrashSuspect, SendVerdict, is_request, request_suspect};
use crate::refusals::RequestKey;
use crate::response::unknown_refusal;
use crate::rules::{KeyVerdict, RouteRule, RuleIndex, RulesVersion};
use crate::state::{EntryState, log_blames};
use crate::times::StreamLength;

/// Retry-After of requests that crash endpoints, which they do for minutes.
const POISON_RETRY_AFTER: Duration = Duration::from_secs(60);
/// A request that the rules allow, with its route and service.
pub(crate) struct AllowedCall {
    /// Request head as received.
    pub(crate) parts: Parts,
    /// Complete body; empty until it has been received.
    pub(crate) body: Bytes,
    /// Fields decoded from the head.
    pub(crate) head: CallHead,
    /// Version of the rules that allow it.
    pub(crate) rules: RulesVersion,
    /// Matching route.
    pub(crate) route: RouteRule,
    /// Service, picked from the route's targets by weight.
    pub(crate) service: ServiceName,
    /// Customer that the request's key identifies.
    pub(crate) customer: Option<CustomerName>,
    /// Priority; 0 is the highest.
    pub(crate) priority: u8,
    /// Level of the priority among the streams of a service whose routes have different ones.
    pub(crate) level: u8,
    /// Time at which the head was received.
    pub(crate) arrived: Instant,
    /// Time at which the request was complete; that of the head until then.
    pub(crate) received: Instant,
    /// End of the caller's deadline or of the route's timeout, whichever is earlier.
    pub(crate) deadline: Instant,
    /// Whether the retry budget has counted the first attempt, of this host or of another one.
    pub(crate) is_counted: Cell<bool>,
    fingerprint: OnceCell<RequestFingerprint>,
}

impl AllowedCall {
    /// Identity of the request, the same whenever its caller sends it again.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = request_host(&self.parts);
            let customer = self.customer.as_deref();
            RequestFingerprint::new(host, &self.parts.uri, customer, &self.body)
        })
    }

    /// The request as a suspect of crashes.
    pub(crate) fn suspect(&self) -> CrashSuspect {
        request_suspect(self.fingerprint())
    }

    /// All that may be the cause of a crash: the request, and the parts that it shares with others.
    pub(crate) fn suspects(&self, parts: &[PromptPart]) -> Vec<CrashSuspect> {
        // A caller must not name another request as a part of its prompt.
        let parts = parts.iter().filter(|part| !is_request(part));
        [self.suspect()].into_iter().chain(parts.cloned()).collect()
    }

    /// Returns what is known to crash endpoints, the request itself or a part of its prompt, unless
    /// it is sent as a trial; otherwise whether it is one. To be asked before every send.
    pub(crate) fn check_poison(&self, state: &EntryState) -> Result<bool, BlamedSuspect> {
        let (mut table, now) = (state.poison.borrow_mut(), Instant::now());
        if table.is_empty() {
            return Ok(false);
        }
        let suspects = self.suspects(&self.head.shared_parts);
        match table.verdict(&suspects, state.is_holder(), now) {
            SendVerdict::Allowed => Ok(false),
            SendVerdict::Trial => Ok(true),
            SendVerdict::Refused(blamed) => {
                log_blames(&mut table, now);
                Err(blamed)
            }
        }
    }

    /// Whether a request was under way at so many crashes that this host does not send it again by
    /// itself.
    pub(crate) fn is_doubtful(&self, state: &EntryState) -> bool {
        let table = state.poison.borrow();
        !table.is_empty() && table.is_doubtful(&self.suspect())
    }

    /// Records that an endpoint has answered a request, or has gone on past the beginning of a
    /// stream.
    pub(crate) fn record_answer(&self, state: &EntryState) {
        let suspects = self.suspects(&self.head.shared_parts);
        state.poison.borrow_mut().record_answer(&suspects, Instant::now());
    }

    /// Records that an endpoint broke off a request. `parts` are those parts of its prompt that may
    /// be the cause, apart from the request itself.
    pub(crate) fn record_cut(
        &self,
        state: &EntryState,
        endpoint: &EndpointEntry,
        parts: &[PromptPart],
    ) {
        let mut hasher = Sha256::new();
        hasher.update(self.head.own_part.as_deref().unwrap_or(&self.head.attempt));
        let tag = hasher.finalize().first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes));
        let mut table = state.poison.borrow_mut();
        table.record_break(endpoint.start(), &self.suspects(parts), tag, Instant::now());
    }

    /// Hash of what the request keeps when its caller sends it again: its fingerprint and the part of
    /// its prompt that it shares with no other.
    pub(crate) fn return_key(&self) -> RequestKey {
        let mut hasher = Sha256::new();
        hasher.update(self.fingerprint().to_string());
        hasher.update(self.head.own_part.as_deref().unwrap_or_default());
        hasher.finalize().first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes))
    }

    /// Set if another host has passed the request on to this one.
    pub(crate) fn forwarded(&self) -> Option<&ForwardedCall> {
        self.parts.extensions.get()
    }

    /// Counts the first attempt in the retry budget, unless it is counted already.
    pub(crate) fn count_first(&self, state: &EntryState) {
        if !self.is_counted.replace(true) {
            state.record_first(&self.service);
        }
    }

    /// Why the call may not be whole before the end of this host, if the host stops.
    pub(crate) fn stop_obstacle(&self, state: &EntryState) -> Option<String> {
        let (plan, now) = (state.stop_plan.get()?, Instant::now());
        let (longest, is_accepted) = if self.route.is_stream {
            let length = self.stream_length(state);
            let longest = state.stream_times.borrow().longest(&self.service, length, now);
            let is_resumable = self.route.retry_policy.is_idempotent();
            (longest, plan.accepts_stream(self.received, now, longest, is_resumable))
        } else {
            let longest = state.call_times.borrow().longest(&self.service);
            let unknown = plan.unknown_call_time().min(self.remaining());
            let longest = longest.unwrap_or(unknown);
            (longest, plan.accepts_call(now, longest))
        };
        let left = plan.last_answer().saturating_duration_since(now).as_millis();
        let longest = longest.as_millis();
        (!is_accepted).then(|| format!("the host stops in {left} ms; this may take {longest} ms"))
    }

    /// What is known of the length of the stream that the request asks for.
    pub(crate) fn stream_length(&self, state: &EntryState) -> StreamLength {
        let rules = state.rules();
        let engine = rules.as_ref().and_then(|rules| rules.engine(&self.service));
        StreamLength {
            max_tokens: self.head.max_output_tokens.filter(|tokens| *tokens > 0),
            event_tokens: engine.map_or(0, |engine| engine.event_tokens),
            resume_after: self.head.resume_after.unwrap_or(0),
        }
    }

    /// Time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Counts a request as open until this guard is dropped; one that another host has passed on, also
/// as such.
pub(crate) struct OpenRequest {
    state: Rc<EntryState>,
    is_forwarded: bool,
}

impl OpenRequest {
    pub(crate) fn new(state: &Rc<EntryState>, is_forwarded: bool) -> Self {
        state.open_requests.set(state.open_requests.get() + 1);
        if is_forwarded {
            state.forwarded_calls.set(state.forwarded_calls.get() + 1);
        }
        Self { state: state.clone(), is_forwarded }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.state.open_requests.set(self.state.open_requests.get() - 1);
        if self.is_forwarded {
            self.state.forwarded_calls.set(self.state.forwarded_calls.get() - 1);
        }
    }
}

/// Checks the head of a request against the rules, and picks its service.
pub(crate) fn allow(
    rules: &RuleIndex,
    parts: Parts,
    head: CallHead,
    arrived: Instant,
) -> Result<AllowedCall, (Box<str>, CallRefusal)> {
    let host = request_host(&parts);
    let Some(route) = rules.route(host, parts.uri.path()) else {
        let detail = format!("{host}{} under rules {}", parts.uri.path(), rules.rules().version);
        return Err((head.attempt, CallRefusal::not_run(ResultCode::UnknownPath, detail)));
    };
    let (customer, customer_priority) = match rules.check_key(route, head.key.as_deref()) {
        KeyVerdict::NotNeeded => (None, None),
        KeyVerdict::Customer(name, priority) => (Some(name), priority),
        KeyVerdict::Unknown => {
            let detail = format!("route {} under rules {}", route.name, rules.rules().version);
            return Err((head.attempt, CallRefusal::not_run(ResultCode::UnknownKey, detail)));
        }
    };
    let Some(service) = rules.pick_target(route, rand::rng().random()) else {
        let detail = format!("route {} names no service", route.name);
        return Err((head.attempt, CallRefusal::not_run(ResultCode::NoEndpoint, detail)));
    };
    let priority = customer_priority.unwrap_or(route.priority);
    let time_limit = head.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    Ok(AllowedCall {
        service: service.clone(),
        rules: rules.rules().version,
        route: route.clone(),
        customer,
        priority,
        level: level_of(priority, route.priority),
        deadline: arrived + time_limit,
        parts,
        body: Bytes::new(),
        head,
        arrived,
        received: arrived,
        is_counted: Cell::new(false),
        fingerprint: OnceCell::new(),
    })
}

/// Host name that a request is for.
fn request_host(parts: &Parts) -> &str {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| parts.uri.host()).unwrap_or_default()
}

/// Counts a request for a service by its outcome.
pub(crate) fn count_outcome(state: &EntryState, service: &str, outcome: &str) {
    state.metrics.count(MetricName::Requests, &[service, outcome]);
}

/// Refusal of a request that crashes endpoints, or has a part that does.
pub(crate) fn poison_refusal(blamed: &BlamedSuspect) -> CallRefusal {
    let code =
        if blamed.is_request() { ResultCode::PoisonRequest } else { ResultCode::PoisonPrompt };
    CallRefusal::not_run(code, blamed.to_string()).with_retry_after(POISON_RETRY_AFTER)
}

/// Refusal of a request that may have run but got no reply; counts its outcome as unknown.
pub(crate) fn unknown_outcome(
    state: &EntryState,
    call: &AllowedCall,
    fault: Box<str>,
) -> CallRefusal {
    count_outcome(state, &call.service, "unknown");
    let is_late = call.remaining().is_zero();
    let code = if is_late { ResultCode::DeadlinePassed } else { ResultCode::EndpointFailed };
    unknown_refusal(code, fault)
}
