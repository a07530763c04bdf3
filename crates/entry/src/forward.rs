//! Passes calls of a service that this host cannot reach on to another host, and serves the calls
//! that other hosts pass on to this one.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode, Uri, Version};
use jacinthrock::{CallRefusal, HostName, MetricName, ResultCode, ServiceName};
use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep, sleep_until};

use crate::call::AllowedCall;
use crate::decision::CallDecision;
use crate::endpoints::EndpointEntry;
use crate::pool::{PooledReply, SendError, SendOptions};
use crate::reach::HostQuery;
use crate::response::{ResponseBody, end_to_end_headers, full_body};
use crate::rules::RulesVersion;
use crate::sending::{
    AT_MOST_ONCE_MAX_IDLE, CONNECT_TIMEOUT, count_over_limit, probe, probe_links,
};
use crate::state::{EntryState, RetryPermit};
use crate::{decision, dispatch};

/// Prefix of the paths of forwarded calls.
const FORWARD_PATH: &str = "/forward";
/// Prefix of the paths of forwarded calls for which the receiving host takes a retry from its share of
/// the budget. Hosts of earlier releases, which would take none, refuse them.
const FORWARD_RETRY_PATH: &str = "/forward-retry";
/// Name of the host that forwards a call.
const FORWARDED_BY: HeaderName = HeaderName::from_static("jacinthrock-forwarded-by");
/// Present if the first attempt of the call is counted already.
const FORWARDED_RETRY: HeaderName = HeaderName::from_static("jacinthrock-forwarded-retry");
/// Most endpoints of the receiving host that may run a plain call. Hosts of earlier releases do not
/// send it.
const FORWARDED_RUNS: HeaderName = HeaderName::from_static("jacinthrock-forwarded-runs");
/// In each reply to a forwarded call: `served`, or why it was refused. Hosts of earlier releases do
/// not send it.
const FORWARDED: HeaderName = HeaderName::from_static("jacinthrock-forwarded");
/// Value of [`FORWARDED`] for calls that the host has served.
const SERVED: &str = "served";
/// Idle time after which a connection to another host is not reused.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// Time for which a host of an earlier release, or one that stops, gets no forwarded calls.
const LONG_AVOID_TIME: Duration = Duration::from_secs(10);
/// Time for which a host gets none after it has refused one since its rules are older. It learns of
/// newer ones from the call.
const OUTDATED_AVOID_TIME: Duration = Duration::from_millis(500);
/// Time for which a host without connection gets none.
const CONNECT_AVOID_TIME: Duration = Duration::from_secs(1);
/// Shortest time without an answer after which a call is sent to the next host as well. Plain calls
/// take about 60 ms at their endpoint, so that most would be sent twice after less.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Endpoints that may run a call through a second host while the first does not answer.
const SECOND_RUNS: u32 = 1;
/// Endpoints that are probed at a time for a service that may be lost.
const PROBED_ENDPOINTS: usize = 3;
/// Part of the sockets for forwarded calls: each takes two, and callers of this host come first.
const SOCKET_SHARE: usize = 4;
/// Fewest forwarded calls in progress that a host allows.
const MIN_FORWARDED_CALLS: usize = 16;

/// A host that a call is passed on to.
#[derive(Clone, Debug)]
pub(crate) struct ForwardHost {
    pub(crate) name: HostName,
    address: SocketAddr,
}

/// Marks a request that another host has passed on to this one.
#[derive(Clone, Debug)]
pub(crate) struct ForwardedCall {
    /// Service that the other host has picked.
    pub(crate) service: Option<ServiceName>,
    /// What the other host has decided; hosts of earlier releases name the service alone.
    pub(crate) decision: Option<CallDecision>,
    /// Most endpoints that may run the call; hosts of earlier releases leave that to the route.
    pub(crate) max_runs: Option<u32>,
    /// Whether the first attempt of the call is counted already.
    pub(crate) is_retry: bool,
    /// Whether this host takes a retry from its share of the budget for the call.
    pub(crate) takes_retry: bool,
}

/// The retry that a forwarded call uses.
#[derive(Debug)]
pub(crate) enum ForwardRetry {
    /// From the share of the host that forwards the call.
    Own(RetryPermit),
    /// From the share of the host that receives it.
    OfReceiver,
}

/// Why a host refuses a forwarded call, which has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForwardRefusal {
    Stopping,
    Unreachable,
    Busy,
    /// The rules of this host are older and decide otherwise.
    Outdated,
    /// The rules of this host are newer and decide otherwise.
    Newer,
}

impl ForwardRefusal {
    fn name(self) -> &'static str {
        match self {
            Self::Stopping => "stopping",
            Self::Unreachable => "unreachable",
            Self::Busy => "busy",
            Self::Outdated => "outdated",
            Self::Newer => "newer",
        }
    }
}

/// Error of a call that was passed on.
#[derive(Debug)]
pub(crate) enum ForwardError {
    /// The host has not run the call.
    NotRun(Box<str>),
    /// The call may have run.
    Unknown(Box<str>),
}

impl ForwardError {
    pub(crate) fn into_fault(self) -> Box<str> {
        match self {
            Self::NotRun(fault) | Self::Unknown(fault) => fault,
        }
    }
}

/// The next host that a call is passed on to; none while this host reaches the service, or if no
/// other host may be asked.
pub(crate) fn next_host(
    state: &EntryState,
    call: &AllowedCall,
    tried: &BTreeSet<HostName>,
) -> Option<ForwardHost> {
    let is_lost = state.reach.borrow().is_lost(&call.service, Instant::now());
    if call.forwarded().is_some() || !is_lost {
        return None;
    }
    choose_host(state, call, tried)
}

/// A host that a call is passed on to, also while this host reaches the service.
fn choose_host(
    state: &EntryState,
    call: &AllowedCall,
    tried: &BTreeSet<HostName>,
) -> Option<ForwardHost> {
    let (reach, now) = (state.reach.borrow(), Instant::now());
    let peers = state.peers.borrow();
    let options = &state.options;
    let query = HostQuery {
        service: &call.service,
        domain: &options.domain,
        capacity: options.capacity,
        tried,
    };
    let draw = rand::rng().random_range(0.0..1.0);
    let name = reach.choose_host(query, peers.iter(), draw, now)?;
    Some(ForwardHost { name: name.clone(), address: peers.get(name)?.address })
}

/// Time without an answer of another host after which a call that may be repeated is also sent to
/// the next one.
pub(crate) fn answer_time(call: &AllowedCall) -> Duration {
    (call.route.objective / 2).max(MIN_ANSWER_TIME)
}

/// What became of an attempt at another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HostOutcome {
    Answered,
    NotRun,
    Unknown,
}

/// Attempts at other hosts for one call.
pub(crate) struct HostAttempts<'a> {
    pub(crate) state: &'a EntryState,
    pub(crate) call: &'a AllowedCall,
    pub(crate) tried: &'a mut BTreeSet<HostName>,
    /// Endpoints that may still run the call.
    pub(crate) runs_left: u32,
}

impl HostAttempts<'_> {
    /// Makes an attempt at a host, at which a number of endpoints may run the call. Without an outcome
    /// in time, a call that may be repeated is also sent to the next host; the first answer ends the
    /// other attempt. Returns the outcomes in the order in which they came, an answer last.
    pub(crate) async fn run<T, F: Future<Output = T>>(
        mut self,
        host: ForwardHost,
        attempt: impl Fn(ForwardHost, u32) -> F,
        outcome: impl Fn(&T) -> HostOutcome,
    ) -> Vec<T> {
        self.tried.insert(host.name.clone());
        let reserved = self.second_runs();
        let mut first = pin!(attempt(host, self.runs_left - reserved));
        tokio::select! {
            biased;
            result = &mut first => return vec![result],
            () = sleep(answer_time(self.call)) => {}
        }
        let mut results = Vec::new();
        let mut next = if reserved > 0 { self.second_host() } else { None };
        while let Some(host) = next {
            let mut second = pin!(attempt(host, reserved));
            let (result, is_first) = tokio::select! {
                biased;
                result = &mut first => (result, true),
                result = &mut second => (result, false),
            };
            let last = outcome(&result);
            results.push(result);
            if last == HostOutcome::Answered {
                return results;
            }
            if is_first {
                results.push(second.await);
                return results;
            }
            // A host that has not run the call leaves the retry to the next one.
            next = (last == HostOutcome::NotRun).then(|| self.next_host()).flatten();
        }
        results.push(first.await);
        results
    }

    /// Endpoints that are left to a second host: before the first one answers, it does not tell how
    /// many may have run the call.
    fn second_runs(&self) -> u32 {
        // A request that must run at most once is never sent while another host may run it.
        let allows_second = self.call.route.retry_policy.is_idempotent()
            && self.runs_left > SECOND_RUNS
            && self.state.host_count() > 1 + self.tried.len();
        if allows_second { SECOND_RUNS } else { 0 }
    }

    /// The host that the call is also sent to, with a retry from the budget.
    fn second_host(&mut self) -> Option<ForwardHost> {
        let Self { state, call, .. } = self;
        let may_send = !call.is_doubtful(state) && !call.remaining().is_zero();
        let host = if may_send { self.next_host() } else { None };
        let host = host.filter(|_| self.state.allow_retry(&self.call.service, "forward", 0.0))?;
        log::info!(
            event = "call_forwarded_again", attempt = &*self.call.head.attempt, peer = &*host.name;
            "a host does not answer; call is also sent to another one"
        );
        // The first host may have counted the first attempt.
        self.call.is_counted.set(true);
        Some(host)
    }

    fn next_host(&mut self) -> Option<ForwardHost> {
        let host = choose_host(self.state, self.call, self.tried)?;
        self.tried.insert(host.name.clone());
        Some(host)
    }
}

/// What a host passes on beside a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForwardOptions<'a> {
    /// Last event that the caller of a stream has.
    pub(crate) resume_after: Option<u64>,
    /// Most endpoints that may run a plain call there.
    pub(crate) max_runs: Option<u32>,
    pub(crate) retry: Option<&'a ForwardRetry>,
}

impl ForwardOptions<'_> {
    /// Whether the other host takes a retry from its share of the budget.
    fn takes_retry(&self) -> bool {
        matches!(self.retry, Some(ForwardRetry::OfReceiver))
    }
}

/// Passes a call on to another host, and waits for the head of its answer.
pub(crate) async fn send_to(
    state: &EntryState,
    call: &AllowedCall,
    host: &ForwardHost,
    forward: ForwardOptions<'_>,
) -> Result<PooledReply, ForwardError> {
    let (sent_at, remaining) = (Instant::now(), call.remaining());
    let is_idempotent = call.route.retry_policy.is_idempotent();
    let options = SendOptions {
        max_idle: if is_idempotent { MAX_IDLE } else { AT_MOST_ONCE_MAX_IDLE },
        connect_timeout: CONNECT_TIMEOUT.min(remaining),
        ..SendOptions::within(remaining, MAX_IDLE)
    };
    let sent = match forward_request(state, call, forward) {
        Ok(request) => {
            let mut sending = pin!(state.pool.send(host.address, request, options));
            tokio::select! {
                biased;
                sent = &mut sending => sent,
                () = sleep(answer_time(call)) => {
                    record_unanswered(state, call, host, sent_at);
                    sending.await
                }
            }
        }
        Err(error) => return Err(record_error(state, call, host, ForwardError::NotRun(error))),
    };
    count_over_limit(state, "peer", sent.as_ref().is_err_and(SendError::is_over_limit));
    let result = match sent {
        Ok(reply) => check_reply(state, call, host, forward.takes_retry(), reply),
        Err(error @ SendError::NotSent { .. }) => {
            avoid(state, host, CONNECT_AVOID_TIME);
            Err(ForwardError::NotRun(error.to_string().into()))
        }
        Err(error) => Err(ForwardError::Unknown(error.to_string().into())),
    };
    // Whatever may have run the call has counted its first attempt.
    if !matches!(result, Err(ForwardError::NotRun(_))) {
        call.is_counted.set(true);
    }
    result.map_err(|error| record_error(state, call, host, error))
}

/// Records that a host has not answered a forwarded call in time; it is asked last for a while.
fn record_unanswered(state: &EntryState, call: &AllowedCall, host: &ForwardHost, sent_at: Instant) {
    state.reach.borrow_mut().record_unanswered(&host.name, sent_at, Instant::now());
    log::info!(
        event = "forward_unanswered", attempt = &*call.head.attempt, peer = &*host.name,
        service = &*call.service, waited_ms = answer_time(call).as_millis() as u64;
        "host has not answered a forwarded call; asking it last"
    );
}

/// Records that a forwarded call was answered by the other host.
pub(crate) fn record_answer(state: &EntryState, call: &AllowedCall) {
    count(state, &call.service, "sent", "answered");
}

/// Records that a forwarded call has failed.
pub(crate) fn record_error(
    state: &EntryState,
    call: &AllowedCall,
    host: &ForwardHost,
    error: ForwardError,
) -> ForwardError {
    let (outcome, fault) = match &error {
        ForwardError::NotRun(fault) => ("not_run", fault),
        ForwardError::Unknown(fault) => ("unknown", fault),
    };
    count(state, &call.service, "sent", outcome);
    log::info!(
        event = "forward_failed", attempt = &*call.head.attempt, peer = &*host.name,
        service = &*call.service, outcome, fault = &**fault,
        age_ms = call.arrived.elapsed().as_millis() as u64; "forwarded call failed"
    );
    error
}

fn forward_request(
    state: &EntryState,
    call: &AllowedCall,
    forward: ForwardOptions<'_>,
) -> Result<Request<Full<Bytes>>, Box<str>> {
    let prefix = if forward.takes_retry() { FORWARD_RETRY_PATH } else { FORWARD_PATH };
    let target = call.parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let uri = format!("{prefix}{target}").parse::<Uri>();
    let uri = uri.map_err(|error| Box::<str>::from(error.to_string()))?;
    let caller_headers = end_to_end_headers(&call.parts.headers);
    let mut headers =
        state.codec.forward_headers(&caller_headers, call.remaining(), forward.resume_after);
    headers.remove(CONTENT_LENGTH);
    if !call.body.is_empty() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(call.body.len()));
    }
    let text = |value: &str| {
        HeaderValue::from_str(value).map_err(|error| Box::<str>::from(error.to_string()))
    };
    headers.insert(FORWARDED_BY, text(&state.options.host)?);
    CallDecision::write(call, &mut headers)?;
    headers.remove(FORWARDED_RUNS);
    if let Some(max_runs) = forward.max_runs {
        headers.insert(FORWARDED_RUNS, HeaderValue::from(max_runs));
    }
    headers.remove(FORWARDED_RETRY);
    if call.is_counted.get() {
        headers.insert(FORWARDED_RETRY, HeaderValue::from_static("1"));
    }
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Tells an answer from a refusal by which the call has not run.
fn check_reply(
    state: &EntryState,
    call: &AllowedCall,
    host: &ForwardHost,
    takes_retry: bool,
    mut reply: PooledReply,
) -> Result<PooledReply, ForwardError> {
    let status = reply.parts.status;
    let Some(verdict) = reply.parts.headers.remove(FORWARDED) else {
        // A host of an earlier release may take calls with a retry of this host.
        if !takes_retry {
            avoid(state, host, LONG_AVOID_TIME);
        }
        return Err(ForwardError::NotRun(format!("host takes no calls: {status}").into()));
    };
    if verdict == SERVED {
        return Ok(reply);
    }
    if verdict == ForwardRefusal::Stopping.name() {
        avoid(state, host, LONG_AVOID_TIME);
    } else if verdict == ForwardRefusal::Unreachable.name() {
        let mut reach = state.reach.borrow_mut();
        reach.record_unreachable(&host.name, &call.service, Instant::now());
    } else if verdict == ForwardRefusal::Outdated.name() {
        avoid(state, host, OUTDATED_AVOID_TIME);
    } else if verdict == ForwardRefusal::Newer.name()
        && let Some(rules) = decision::read_rules(&reply.parts.headers)
    {
        state.record_newer_rules(rules);
    }
    let fault = format!("host refused with {status}: {}", verdict.to_str().unwrap_or_default());
    if state.codec.read_reply(&call.head.attempt, &reply.parts.headers).is_not_run {
        return Err(ForwardError::NotRun(fault.into()));
    }
    Err(ForwardError::Unknown(fault.into()))
}

fn avoid(state: &EntryState, host: &ForwardHost, time: Duration) {
    state.reach.borrow_mut().avoid_host(&host.name, Instant::now() + time);
}

/// Whether a request from another host is a forwarded call.
pub(crate) fn is_forwarded(request: &Request<Incoming>) -> bool {
    strip_prefix(request.uri().path()).is_some()
}

/// The caller's target in the target of a forwarded call, and whether this host takes a retry for it.
fn strip_prefix(target: &str) -> Option<(&str, bool)> {
    let with = |prefix| target.strip_prefix(prefix).filter(|rest| rest.starts_with('/'));
    let own = with(FORWARD_RETRY_PATH).map(|rest| (rest, true));
    own.or_else(|| with(FORWARD_PATH).map(|rest| (rest, false)))
}

/// Serves a call that another host has passed on.
pub(crate) async fn receive(
    state: Rc<EntryState>,
    mut request: Request<Incoming>,
) -> Response<ResponseBody> {
    let by = request.headers_mut().remove(FORWARDED_BY);
    let (service, decision) = CallDecision::take(request.headers_mut());
    let max_runs = request.headers_mut().remove(FORWARDED_RUNS);
    let max_runs = max_runs.and_then(|value| value.to_str().ok()?.parse().ok());
    let is_retry = request.headers_mut().remove(FORWARDED_RETRY).is_some();
    // Labels of metrics are limited to services that the rules name.
    let label = service.clone().filter(|service| {
        state.rules().is_some_and(|rules| rules.rules().services.contains_key(service))
    });
    let label = label.unwrap_or_else(|| "unknown".into());
    let refusal = if state.is_leaving() {
        Some(ForwardRefusal::Stopping)
    } else if state.rules().is_none() || state.forwarded_calls.get() >= max_forwarded_calls(&state)
    {
        Some(ForwardRefusal::Busy)
    } else {
        None
    };
    let mut response = match (refusal, caller_target(request.uri())) {
        (Some(refusal), _) => refuse_call(refusal),
        (None, Ok((uri, takes_retry))) => {
            *request.uri_mut() = uri;
            request.extensions_mut().insert(ForwardedCall {
                service,
                decision,
                max_runs,
                is_retry,
                takes_retry,
            });
            dispatch::serve(state.clone(), request, |_| {}).await
        }
        (None, Err(error)) => {
            log::info!(event = "forward_unreadable", by:?, error; "forwarded call has no valid path");
            let mut response = Response::new(full_body(""));
            *response.status_mut() = StatusCode::BAD_REQUEST;
            response
        }
    };
    let refusal = response.extensions().get::<ForwardRefusal>().copied();
    let verdict = refusal.map_or(SERVED, ForwardRefusal::name);
    if refusal.is_some() {
        log::info!(
            event = "forward_refused", by:?, service = &*label, reason = verdict;
            "forwarded call refused"
        );
        state.codec.mark_not_run(response.headers_mut());
    }
    response.headers_mut().insert(FORWARDED, HeaderValue::from_static(verdict));
    count(&state, &label, "received", verdict);
    response
}

/// The caller's path and query, and whether this host takes a retry for the call.
fn caller_target(uri: &Uri) -> Result<(Uri, bool), String> {
    let target = uri.path_and_query().map_or("", |target| target.as_str());
    let (target, takes_retry) = strip_prefix(target).unwrap_or((target, false));
    let uri = target.parse::<Uri>().map_err(|error| error.to_string())?;
    Ok((uri, takes_retry))
}

/// Refuses a forwarded call of which the rules of this host, of the given version, decide otherwise
/// than those of the host that took it from its caller.
pub(crate) fn refuse_other_rules(
    state: &EntryState,
    decision: &CallDecision,
    rules: RulesVersion,
) -> Response<ResponseBody> {
    let refusal =
        if decision.rules > rules { ForwardRefusal::Outdated } else { ForwardRefusal::Newer };
    state.record_newer_rules(decision.rules);
    let mut response = refuse_call(refusal);
    decision::write_rules(rules, response.headers_mut());
    response
}

fn refuse_call(refusal: ForwardRefusal) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.extensions_mut().insert(refusal);
    response
}

/// Refuses a forwarded call that this host cannot serve: one whose service it does not reach either,
/// which is not passed on again, or one that takes a retry when none is left.
pub(crate) fn early_refusal(state: &EntryState, call: &AllowedCall) -> Option<CallRefusal> {
    let forwarded = call.forwarded()?;
    let detail = if state.reach.borrow().is_lost(&call.service, Instant::now()) {
        "this host cannot reach the service either"
    } else if forwarded.takes_retry && !state.has_retry(&call.service, 0.0) {
        "no retry is left for a stream of another host"
    } else {
        return None;
    };
    Some(CallRefusal::not_run(ResultCode::NoEndpoint, detail))
}

/// Marks the refusal of a forwarded call that another host may serve: this host may have lost its
/// connectivity too, or the call needs a retry or room, and its caller can't be refused any more.
pub(crate) fn mark_refusal(
    state: &EntryState,
    service: &str,
    forwarded: &ForwardedCall,
    response: &mut Response<ResponseBody>,
) {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    if state.reach.borrow().is_doubtful(service) {
        response.extensions_mut().insert(ForwardRefusal::Unreachable);
    } else if forwarded.takes_retry {
        response.extensions_mut().insert(ForwardRefusal::Busy);
    }
}

/// Most forwarded calls in progress: as many as the host has thousandths of a core, within its part
/// of the sockets. With streams of 4 s, a host with 0.12 of a core takes 30 a second.
fn max_forwarded_calls(state: &EntryState) -> usize {
    let options = &state.options;
    let limit = (options.capacity as usize).min(options.max_sockets / SOCKET_SHARE);
    limit.max(MIN_FORWARDED_CALLS)
}

fn count(state: &EntryState, service: &str, end: &str, outcome: &str) {
    state.metrics.count(MetricName::ForwardedCalls, &[service, end, outcome]);
}

/// Records that a connection to an endpoint was refused, reset or not established in time.
pub(crate) fn record_failure(state: &EntryState, entry: &EndpointEntry) {
    if state.reach.borrow_mut().record_failure(&entry.service, Instant::now()) {
        state.reach_changed.notify_waiters();
    }
}

/// Records that an endpoint has replied.
pub(crate) fn record_reply(state: &EntryState, entry: &EndpointEntry) {
    state.takeover.borrow_mut().record_endpoint_reply(Instant::now());
    let mut reach = state.reach.borrow_mut();
    if !reach.is_doubtful(&entry.service) {
        return;
    }
    let lost_for = reach.record_reply(&entry.service, Instant::now());
    drop(reach);
    state.reach_changed.notify_waiters();
    if let Some(lost_for) = lost_for {
        log::info!(
            event = "links_regained", service = &*entry.service, endpoint = &*entry.name,
            after_ms = lost_for.as_millis() as u64; "an endpoint of the service replies again"
        );
        state.path_changed.notify_waiters();
    }
}

/// Waits until a service counts as lost; does not end if it replies.
pub(crate) async fn lost(state: &EntryState, service: &str) {
    loop {
        let changed = state.links_lost.notified();
        if state.reach.borrow().is_lost(service, Instant::now()) {
            return;
        }
        changed.await;
    }
}

/// Waits until it is known whether a service with failed connections is lost; returns whether it is.
pub(crate) async fn resolve_doubt(state: &EntryState, service: &str) -> bool {
    loop {
        let changed = state.reach_changed.notified();
        if state.reach.borrow().is_lost(service, Instant::now()) {
            return true;
        }
        if !state.reach.borrow().is_doubtful(service) {
            return false;
        }
        changed.await;
    }
}

/// Announces services that this host loses, and probes some of their endpoints until one replies.
/// Does nothing while no connection fails.
pub(crate) async fn watch_links(state: Rc<EntryState>) {
    loop {
        let changed = state.reach_changed.notified();
        let next = state.reach.borrow().next_check();
        match next {
            Some(at) if at > Instant::now() => {
                tokio::select! {
                    () = changed => {}
                    () = sleep_until(at) => {}
                }
                continue;
            }
            Some(_) => {}
            None => {
                changed.await;
                continue;
            }
        }
        let now = Instant::now();
        let lost = state.reach.borrow_mut().take_lost(now);
        for service in &lost {
            log::warn!(
                event = "links_lost", service = &**service;
                "connections to the service fail and no endpoint of it replies"
            );
        }
        if !lost.is_empty() {
            state.reach_changed.notify_waiters();
            state.links_lost.notify_waiters();
        }
        let due = state.reach.borrow_mut().take_probes(now);
        for service in due {
            probe_service(&state, &service);
        }
    }
}

/// Probes some endpoints of a service, chosen at random: those first that are not known to be down,
/// since one of them may reply.
pub(crate) fn probe_service(state: &Rc<EntryState>, service: &str) {
    let (endpoints, health) = (state.endpoints.borrow(), state.health.borrow());
    let listed = endpoints.entries().filter(|entry| &*entry.service == service);
    let (up, down): (Vec<_>, Vec<_>) = listed.partition(|entry| !health.is_down(&entry.name));
    let mut draw = rand::rng();
    let chosen = up.choose_multiple(&mut draw, PROBED_ENDPOINTS);
    let down = down.choose_multiple(&mut rand::rng(), PROBED_ENDPOINTS);
    for entry in chosen.chain(down).take(PROBED_ENDPOINTS) {
        let (state, entry) = (state.clone(), (*entry).clone());
        tokio::task::spawn_local(async move {
            let replies = probe_links(&state, &entry).await;
            if replies && state.health.borrow().is_down(&entry.name) {
                probe(state, entry.name).await;
            }
        });
    }
}
