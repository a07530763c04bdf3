//! A caller's request from its head to the service that it is for.

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

use crate::answer::{ResponseBody, not_run, refuse, unknown};
use crate::dialect::CallHead;
use crate::rules::{KeyVerdict, RouteRule, RuleIndex};
use crate::state::EntryState;
use crate::{plain, stream};

/// Time after which callers may come back while this host knows no rules: it reads them within
/// some ms of its start.
const NO_RULES_RETRY: Duration = Duration::from_millis(300);
/// Time for a request's body; callers send bodies at once.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request that the rules allow.
pub(crate) struct AllowedCall {
    /// Head as the caller sent it.
    pub(crate) parts: Parts,
    /// Whole body.
    pub(crate) body: Bytes,
    /// What the head says.
    pub(crate) head: CallHead,
    /// Route.
    pub(crate) route: RouteRule,
    /// Service that the route's weights picked.
    pub(crate) service: ServiceName,
    /// Customer, where the request carried a key.
    pub(crate) customer: Option<CustomerName>,
    /// Rank, 0 first.
    pub(crate) priority: u8,
    /// When the head was read.
    pub(crate) arrived: Instant,
    /// When the caller's or the route's time is over.
    pub(crate) deadline: Instant,
}

impl AllowedCall {
    /// Time that is left.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Counts a request as open until it is dropped.
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

/// Serves one request.
pub(crate) async fn serve(
    state: Rc<EntryState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = Instant::now();
    let open = OpenRequest::new(&state);
    let (parts, body) = request.into_parts();
    let head = state.dialect.read_call(&parts.headers);
    let Some(rules) = state.rules() else {
        let refusal = not_run(ResultCode::NotReady, "no rules are known yet", NO_RULES_RETRY);
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
    let call = match allow(&rules, parts, body, head, arrived) {
        Ok(call) => call,
        Err((attempt, refusal)) => return refuse(&state, &attempt, refusal),
    };
    state.record_first(&call.service);
    let attempt = call.head.attempt.clone();
    let outcome = if call.route.is_stream {
        stream::serve(&state, Rc::new(call), open).await
    } else {
        plain::serve(&state, &call).await
    };
    match outcome {
        Ok(answer) => answer,
        Err(refusal) => refuse(&state, &attempt, refusal),
    }
}

fn allow(
    rules: &RuleIndex,
    parts: Parts,
    body: Bytes,
    head: CallHead,
    arrived: Instant,
) -> Result<AllowedCall, (Box<str>, CallRefusal)> {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let Some(route) = rules.route(host, parts.uri.path()) else {
        let detail = format!("{host}{} under rules {}", parts.uri.path(), rules.rules().version);
        return Err((head.attempt, CallRefusal::not_run(ResultCode::UnknownPath, detail)));
    };
    let (customer, customer_priority) = match rules.key(route, head.key.as_deref()) {
        KeyVerdict::NotNeeded => (None, None),
        KeyVerdict::Customer(name, priority) => (Some(name), priority),
        KeyVerdict::Unknown => {
            let detail = format!("route {} under rules {}", route.name, rules.rules().version);
            return Err((head.attempt, CallRefusal::not_run(ResultCode::UnknownKey, detail)));
        }
    };
    let Some(service) = rules.target(route, rand::rng().random()) else {
        let detail = format!("route {} names no service", route.name);
        return Err((head.attempt, CallRefusal::not_run(ResultCode::NoEndpoint, detail)));
    };
    let time = head.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    Ok(AllowedCall {
        service: service.clone(),
        route: route.clone(),
        customer,
        priority: customer_priority.unwrap_or(route.priority),
        deadline: arrived + time,
        parts,
        body,
        head,
        arrived,
    })
}

/// Counts how a request for a service ended.
pub(crate) fn count_outcome(state: &EntryState, service: &str, outcome: &str) {
    state.counters.count(MetricName::Requests, &[service, outcome]);
}

/// Ends a request that may have run and got no answer.
pub(crate) fn unknown_outcome(state: &EntryState, call: &AllowedCall, fault: Box<str>) -> CallRefusal {
    count_outcome(state, &call.service, "unknown");
    let is_late = call.left().is_zero();
    let code = if is_late { ResultCode::DeadlinePassed } else { ResultCode::EndpointFailed };
    unknown(code, fault)
}
