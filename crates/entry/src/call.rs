//! Receives a caller's request, checks it against the rules and dispatches it to a service.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use jacinthrock::{CallRefusal, CustomerName, MetricName, ResultCode, ServiceName};
use rand::Rng;
use tokio::time::{Instant, timeout};

use crate::adapter::CallHead;
use crate::fingerprint::RequestFingerprint;
use crate::poison::{BlamedPart, PromptPart, is_request, request_suspect};
use crate::response::{ResponseBody, not_run_refusal, refuse, unknown_refusal};
use crate::rules::{KeyVerdict, RouteRule, RuleIndex};
use crate::state::EntryState;
use crate::{plain, stream};

/// Retry-After while this host has no rules: it reads them within a few ms of its start.
const NO_RULES_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-After of requests that crash endpoints, which they do for minutes.
const POISON_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Timeout for receiving a request's body; callers send it right after the head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request that the rules allow, with its route and service.
pub(crate) struct AllowedCall {
    /// Request head as received.
    pub(crate) parts: Parts,
    /// Complete body.
    pub(crate) body: Bytes,
    /// Fields decoded from the head.
    pub(crate) head: CallHead,
    /// Matching route.
    pub(crate) route: RouteRule,
    /// Service, picked from the route's targets by weight.
    pub(crate) service: ServiceName,
    /// Customer that the request's key identifies.
    pub(crate) customer: Option<CustomerName>,
    /// Priority; 0 is the highest.
    pub(crate) priority: u8,
    /// Time at which the head was received.
    pub(crate) arrived: Instant,
    /// End of the caller's deadline or of the route's timeout, whichever is earlier.
    pub(crate) deadline: Instant,
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
    pub(crate) fn suspect(&self) -> PromptPart {
        request_suspect(self.fingerprint())
    }

    /// All that may be the cause of a crash: the request, and the parts that it shares with others.
    pub(crate) fn suspects(&self, parts: &[PromptPart]) -> Vec<PromptPart> {
        // A caller must not name another request as a part of its prompt.
        let parts = parts.iter().filter(|part| !is_request(part));
        [self.suspect()].into_iter().chain(parts.cloned()).collect()
    }

    /// Time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Counts a request as open until this guard is dropped.
pub(crate) struct OpenRequest {
    state: Rc<EntryState>,
}

impl OpenRequest {
    pub(crate) fn new(state: &Rc<EntryState>) -> Self {
        state.open_requests.set(state.open_requests.get() + 1);
        Self { state: state.clone() }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.state.open_requests.set(self.state.open_requests.get() - 1);
    }
}

/// Serves one request: receives its body, checks it against the rules and calls the service.
pub(crate) async fn serve(
    state: Rc<EntryState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = Instant::now();
    let open = OpenRequest::new(&state);
    let (parts, body) = request.into_parts();
    let head = state.codec.read_call(&parts.headers);
    let Some(rules) = state.rules() else {
        let refusal =
            not_run_refusal(ResultCode::NotReady, "no rules are known yet", NO_RULES_RETRY_AFTER);
        return refuse(&state, &head.attempt, refusal);
    };
    let body = Limited::new(body, rules.rules().limits.body_bytes);
    let body = match timeout(BODY_TIMEOUT, body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            let code = if error.is::<http_body_util::LengthLimitError>() {
                ResultCode::BodyTooLarge
            } else {
                ResultCode::MalformedRequest
            };
            return refuse(&state, &head.attempt, CallRefusal::not_run(code, error.to_string()));
        }
        Err(_) => {
            let refusal = CallRefusal::not_run(ResultCode::RequestTimeout, "body not received");
            return refuse(&state, &head.attempt, refusal);
        }
    };
    let mut call = match allow(&rules, parts, body, head, arrived) {
        Ok(call) => call,
        Err((attempt, refusal)) => return refuse(&state, &attempt, refusal),
    };
    if let Some(refusal) = limit_to_stop(&state, &mut call) {
        return refuse(&state, &call.head.attempt, refusal);
    }
    state.record_first(&call.service);
    let attempt = call.head.attempt.clone();
    let outcome = if call.route.is_stream {
        stream::serve(&state, Rc::new(call), open).await
    } else {
        plain::serve(&state, &call).await
    };
    match outcome {
        Ok(response) => response,
        Err(refusal) => refuse(&state, &attempt, refusal),
    }
}

/// While the host stops: refuses a call that would not be whole before its end, and limits the time
/// of others to it.
fn limit_to_stop(state: &EntryState, call: &mut AllowedCall) -> Option<CallRefusal> {
    let plan = state.stop_plan.get()?;
    let now = Instant::now();
    let longest = state.stream_times.borrow().longest(&call.service, now);
    let is_accepted = if call.route.is_stream {
        plan.accepts_stream(now, longest, call.route.retry_policy.is_idempotent())
    } else {
        plan.accepts_call(now)
    };
    if !is_accepted {
        let left = plan.last_answer().saturating_duration_since(now).as_millis();
        let detail =
            format!("the host stops in {left} ms; streams take {} ms", longest.as_millis());
        let delay = plan.return_delay(now, rand::rng().random_range(0.0..1.0));
        return Some(CallRefusal::not_run(ResultCode::Draining, detail).with_retry_after(delay));
    }
    if !call.route.is_stream {
        call.deadline = call.deadline.min(plan.last_answer());
    }
    None
}

fn allow(
    rules: &RuleIndex,
    parts: Parts,
    body: Bytes,
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
    let time_limit = head.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    Ok(AllowedCall {
        service: service.clone(),
        route: route.clone(),
        customer,
        priority: customer_priority.unwrap_or(route.priority),
        deadline: arrived + time_limit,
        parts,
        body,
        head,
        arrived,
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
pub(crate) fn poison_refusal(blamed: &BlamedPart) -> CallRefusal {
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
