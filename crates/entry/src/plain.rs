//! Calls to plain services, each with one complete response.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use hyper::{Response, StatusCode};
use jacinthrock::{CallRefusal, EndpointName, HostName, ResultCode};
use rand::seq::IndexedRandom;
use tokio::time::{Instant, timeout_at};

use crate::call::{AllowedCall, count_outcome, poison_refusal, unknown_outcome};
use crate::call_line::LineRefusal;
use crate::call_wait::{CallTurn, LineCall};
use crate::endpoints::{EndpointEntry, EndpointTable};
use crate::forward::{self, ForwardError, ForwardHost, ForwardOptions, HostAttempts, HostOutcome};
use crate::health::CallEnd;
use crate::poison::BlamedSuspect;
use crate::pool::SendError;
use crate::response::{ResponseBody, endpoint_response, full_body, not_run_refusal};
use crate::sending::{SendTarget, SentReply, probe_entry, read_answer, send};
use crate::state::EntryState;

/// Retry-After when no endpoint accepts a call: calls take about 60 ms, so capacity is free again
/// soon.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest time that a call waits for endpoints none of which takes a request at present; its caller
/// expects an answer soon after.
const MAX_WAIT: Duration = Duration::from_millis(200);
/// Time over which callers come back once the first of these endpoints takes requests again.
const RETURN_SPREAD: Duration = Duration::from_millis(500);
/// Difference below which two estimates of a time are the same.
const SAME_TIME: Duration = Duration::from_millis(1);
/// Failed connection attempts after which a call is refused.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Outcome of one attempt at an endpoint.
enum AttemptOutcome {
    /// Response to forward to the caller.
    Response(Response<ResponseBody>),
    /// The endpoint replied with a server error, forwarded unless another endpoint succeeds.
    Failed(Response<ResponseBody>),
    /// The endpoint refused the request without running it.
    NotRun(Box<str>),
    /// The endpoint of a service with several priorities refused the request as full.
    Full(Box<str>),
    /// The request was not sent.
    NotSent(Box<str>),
    /// The request may have run.
    Unknown(Box<str>),
}

impl AttemptOutcome {
    /// Outcome of an attempt at another host.
    fn at_host(&self) -> HostOutcome {
        match self {
            Self::Response(_) => HostOutcome::Answered,
            Self::NotRun(_) | Self::Full(_) | Self::NotSent(_) => HostOutcome::NotRun,
            Self::Failed(_) | Self::Unknown(_) => HostOutcome::Unknown,
        }
    }
}

/// Serves a call to a plain service; retries on other endpoints, within the retry budget.
pub(crate) async fn serve(
    state: &Rc<EntryState>,
    call: &AllowedCall,
) -> Result<Response<ResponseBody>, CallRefusal> {
    state.record_held_back(&call.service, None);
    let mut attempts = CallAttempts::new(state, call);
    while attempts.may_go_on() {
        let step = match forward::next_host(state, call, &attempts.tried_hosts) {
            Some(host) => attempts.try_host(host).await,
            None => attempts.try_endpoint().await,
        };
        match step {
            AttemptStep::Again => {}
            AttemptStep::Answer(response) => return Ok(response),
            AttemptStep::Blamed(blamed) => {
                count_outcome(state, &call.service, "not_run");
                return Err(poison_refusal(&blamed));
            }
            AttemptStep::End => break,
        }
    }
    attempts.finish()
}

/// What follows an attempt.
enum AttemptStep {
    /// Another attempt, if the route allows one.
    Again,
    Answer(Response<ResponseBody>),
    /// The request, which has not run, is known to crash endpoints.
    Blamed(BlamedSuspect),
    End,
}

/// Endpoint for the next attempt.
enum PickedEndpoint {
    Entry(EndpointEntry),
    /// None takes a request at present; the call has waited for one that soon may.
    Waited,
    None,
}

/// Attempts at endpoints and other hosts for one call, and what became of them.
struct CallAttempts<'a> {
    state: &'a Rc<EntryState>,
    call: &'a AllowedCall,
    /// The call in the line of its service, if that has several priorities.
    line: Option<LineCall<'a>>,
    /// Until when the call waits for endpoints that take no request at present.
    wait_end: Instant,
    tried: BTreeSet<EndpointName>,
    tried_hosts: BTreeSet<HostName>,
    /// Endpoints of other hosts that may have run the request.
    forwarded: usize,
    /// Endpoints of this host that may have run it.
    runs: usize,
    /// Sends that endpoints refused as full; the call may be sent there again.
    full_refusals: usize,
    connect_failures: u32,
    has_run: bool,
    last_response: Option<Response<ResponseBody>>,
    last_fault: Box<str>,
    line_refusal: Option<LineRefusal>,
    retry_after: Duration,
}

impl<'a> CallAttempts<'a> {
    fn new(state: &'a Rc<EntryState>, call: &'a AllowedCall) -> Self {
        let line = LineCall::new(state, call);
        let max_wait = line.as_ref().map_or(MAX_WAIT, LineCall::max_wait);
        Self {
            state,
            call,
            line,
            wait_end: Instant::now() + max_wait.min(call.remaining()),
            tried: BTreeSet::new(),
            tried_hosts: BTreeSet::new(),
            forwarded: 0,
            runs: 0,
            full_refusals: 0,
            connect_failures: 0,
            has_run: false,
            last_response: None,
            last_fault: "no endpoint is registered".into(),
            line_refusal: None,
            retry_after: BUSY_RETRY_AFTER,
        }
    }

    /// Attempts that count against the route's maximum.
    fn count(&self) -> usize {
        self.tried.len() + self.forwarded + self.full_refusals
    }

    fn max_count(&self) -> usize {
        self.call.route.max_attempts.max(1) as usize
    }

    /// Endpoints of this host that may run the request at most. Another host that has passed it on
    /// may leave some of the route's maximum to a further one.
    fn max_runs(&self) -> usize {
        let max_runs = self.call.forwarded().and_then(|forwarded| forwarded.max_runs);
        max_runs.map_or(self.max_count(), |max_runs| max_runs as usize)
    }

    fn may_go_on(&self) -> bool {
        self.count() < self.max_count()
            && self.runs < self.max_runs()
            && self.connect_failures < MAX_CONNECT_FAILURES
    }

    /// Whether the request may be sent once more after what has become of the attempts so far.
    fn may_repeat(&self) -> bool {
        (!self.has_run || self.call.route.retry_policy.is_idempotent())
            && !self.call.remaining().is_zero()
            && !self.call.is_doubtful(self.state)
    }

    fn next_step(&self) -> AttemptStep {
        if self.may_repeat() { AttemptStep::Again } else { AttemptStep::End }
    }

    /// Passes the call on to another host.
    async fn try_host(&mut self, host: ForwardHost) -> AttemptStep {
        let Self { state, call, .. } = *self;
        let retry = if self.count() > 0 {
            let permit = state.take_retry(&call.service, "forward", 0.0);
            let Some(permit) = permit else { return AttemptStep::End };
            Some(permit)
        } else {
            None
        };
        let forwarded_before = self.forwarded;
        let runs_left = self.max_count().saturating_sub(self.count()) as u32;
        let attempts = HostAttempts { state, call, tried: &mut self.tried_hosts, runs_left };
        let attempt = |host, max_runs| async move {
            (attempt_at_host(state, call, &host, max_runs).await, max_runs as usize)
        };
        for (outcome, max_runs) in attempts.run(host, attempt, |it| it.0.at_host()).await {
            match outcome {
                AttemptOutcome::Response(response) => {
                    count_outcome(state, &call.service, "forwarded");
                    return AttemptStep::Answer(response);
                }
                AttemptOutcome::NotRun(fault)
                | AttemptOutcome::Full(fault)
                | AttemptOutcome::NotSent(fault) => self.last_fault = fault,
                AttemptOutcome::Failed(response) => {
                    (self.has_run, self.last_response) = (true, Some(response));
                    self.forwarded += max_runs;
                }
                AttemptOutcome::Unknown(fault) => {
                    (self.has_run, self.last_fault) = (true, fault);
                    self.forwarded += max_runs;
                }
            }
        }
        if let Some(permit) = retry.filter(|_| self.forwarded == forwarded_before) {
            state.give_back_retry(&permit);
        }
        self.next_step()
    }

    /// Sends the call to an endpoint.
    async fn try_endpoint(&mut self) -> AttemptStep {
        let Self { state, call, .. } = *self;
        let is_lost = || state.reach.borrow().is_lost(&call.service, Instant::now());
        // No further host takes the call, and this one cannot reach the service.
        if !self.tried_hosts.is_empty() && is_lost() {
            return AttemptStep::End;
        }
        call.count_first(state);
        let is_retry = self.count() > 0;
        let entry = match self.pick_endpoint(is_retry).await {
            PickedEndpoint::Entry(entry) => entry,
            PickedEndpoint::Waited => return AttemptStep::Again,
            PickedEndpoint::None => return AttemptStep::End,
        };
        if let Err(blamed) = call.check_poison(state) {
            if !self.has_run {
                return AttemptStep::Blamed(blamed);
            }
            self.last_fault = blamed.to_string().into();
            return AttemptStep::End;
        }
        if is_retry && !self.allow_retry() {
            return AttemptStep::End;
        }
        let outcome = attempt(state, call, &entry, self.line.as_ref()).await;
        self.record(&entry, outcome)
    }

    /// Picks the endpoint for the next attempt, or waits for one that soon takes a request.
    async fn pick_endpoint(&mut self, is_retry: bool) -> PickedEndpoint {
        let turn = match &self.line {
            Some(line) if is_retry && !line.has_retry() => return PickedEndpoint::None,
            Some(line) => line.next_endpoint(&self.tried).await,
            None => CallTurn::NoEndpoint,
        };
        let entry = match turn {
            CallTurn::Send(entry) => Some(entry),
            CallTurn::NoEndpoint => pick_endpoint(self.state, &self.call.service, &self.tried),
            CallTurn::Refuse(refusal) => {
                self.last_fault = refusal.to_string().into();
                self.line_refusal = Some(refusal);
                return PickedEndpoint::None;
            }
        };
        match entry {
            Some(entry) => PickedEndpoint::Entry(entry),
            None => self.wait_for_opening().await,
        }
    }

    /// Waits if an endpoint that has not been tried is expected to take a request soon enough.
    async fn wait_for_opening(&mut self) -> PickedEndpoint {
        let Self { state, call, .. } = *self;
        let ahead = state.waiting_calls.get();
        let opening = |is_wanted: &dyn Fn(&EndpointEntry) -> bool| {
            state.first_opening(&call.service, ahead, is_wanted)
        };
        let Some(first) = opening(&|_| true) else { return PickedEndpoint::None };
        let untried = opening(&|entry| !self.tried.contains(&entry.name));
        let delay = first.saturating_duration_since(Instant::now());
        // Two estimates of the same delay are taken at slightly different times.
        let is_untried = untried.is_some_and(|at| at.saturating_duration_since(first) < SAME_TIME);
        if is_untried && first < self.wait_end {
            wait_for_opening(state, first).await;
            return PickedEndpoint::Waited;
        }
        self.last_fault = "no endpoint takes requests at present".into();
        self.retry_after = delay + RETURN_SPREAD.mul_f64(rand::random());
        PickedEndpoint::None
    }

    /// Takes a retry from the budget.
    fn allow_retry(&self) -> bool {
        match &self.line {
            Some(line) => line.allow_retry(),
            None => self.state.allow_retry(&self.call.service, "plain", 0.0),
        }
    }

    /// Records the outcome of an attempt at an endpoint.
    fn record(&mut self, entry: &EndpointEntry, outcome: AttemptOutcome) -> AttemptStep {
        let Self { state, call, .. } = *self;
        let mut is_tried = true;
        match outcome {
            AttemptOutcome::Response(response) => {
                count_outcome(state, &call.service, "answered");
                self.line.as_ref().inspect(|line| line.count_end(false));
                return AttemptStep::Answer(response);
            }
            AttemptOutcome::Failed(response) => {
                (self.has_run, self.last_response) = (true, Some(response));
                self.runs += 1;
            }
            AttemptOutcome::Unknown(fault) => {
                (self.has_run, self.last_fault) = (true, fault);
                self.runs += 1;
            }
            AttemptOutcome::NotRun(fault) => self.last_fault = fault,
            AttemptOutcome::Full(fault) => {
                is_tried = false;
                self.last_fault = fault;
                self.full_refusals += 1;
            }
            AttemptOutcome::NotSent(fault) => {
                is_tried = false;
                self.last_fault = fault;
                self.connect_failures += 1;
                state.health.borrow_mut().mark_down(&entry.name);
                state.down_table.borrow_mut().record_down(entry, Instant::now());
            }
        }
        if is_tried {
            self.tried.insert(entry.name.clone());
        }
        self.next_step()
    }

    /// The result of a call that no attempt has answered.
    fn finish(self) -> Result<Response<ResponseBody>, CallRefusal> {
        let Self { state, call, line, last_fault, .. } = self;
        if let Some(response) = self.last_response {
            count_outcome(state, &call.service, "endpoint_failed");
            return Ok(response);
        }
        if self.has_run {
            return Err(unknown_outcome(state, call, last_fault));
        }
        count_outcome(state, &call.service, "not_run");
        line.as_ref().inspect(|line| line.count_end(true));
        if let Some(refusal) = self.line_refusal {
            let delay = refusal.retry_after(call.remaining());
            let refusal = CallRefusal::not_run(ResultCode::NoEndpoint, last_fault);
            return Err(refusal.with_retry_after(delay));
        }
        let fault = line.map_or(last_fault.clone(), |line| line.describe_refusal(&last_fault));
        Err(not_run_refusal(ResultCode::NoEndpoint, fault, self.retry_after))
    }
}

/// Waits until an endpoint is expected to take a request again, or a permit arrives.
async fn wait_for_opening(state: &EntryState, opening: Instant) {
    let changed = state.path_changed.notified();
    state.waiting_calls.set(state.waiting_calls.get() + 1);
    let _waiting = WaitingCall { state };
    // Either end of the wait leads to another look.
    let _ = timeout_at(opening, changed).await;
}

async fn attempt(
    state: &Rc<EntryState>,
    call: &AllowedCall,
    entry: &EndpointEntry,
    line: Option<&LineCall<'_>>,
) -> AttemptOutcome {
    let started = Instant::now();
    state.health.borrow_mut().begin_call(&entry.name);
    let open_call = OpenCall { state, name: &entry.name };
    let target = SendTarget { endpoint: entry, path: &[], resume_after: None, urgency: None };
    let sent = timeout_at(call.deadline, send(state, call, target)).await;
    let (outcome, call_end) = match sent {
        Ok(Ok(sent)) => classify_reply(state, call, entry, sent).await,
        Ok(Err(SendError::NotSent { .. })) => {
            (AttemptOutcome::NotSent("no connection to the endpoint".into()), CallEnd::Broken)
        }
        Ok(Err(error @ (SendError::NoReply { .. } | SendError::TooLarge { .. }))) => {
            if error.is_broken() {
                record_broken(state, call, entry);
            }
            (AttemptOutcome::Unknown(error.to_string().into()), CallEnd::Broken)
        }
        Err(_) => (AttemptOutcome::Unknown("the request's time is over".into()), CallEnd::Broken),
    };
    let now = Instant::now();
    let outcome = match (outcome, line) {
        (AttemptOutcome::Full(fault), None) => AttemptOutcome::NotRun(fault),
        (outcome, _) => outcome,
    };
    // An endpoint that is full is not ejected: it takes the next call as soon as a slot is free.
    if !matches!(outcome, AttemptOutcome::Full(_)) {
        state.health.borrow_mut().record_outcome(&entry.name, call_end, now - started, now);
    }
    let open = state.health.borrow().open_calls(&entry.name);
    drop(open_call);
    if let Some(line) = line {
        if matches!(outcome, AttemptOutcome::Full(_)) {
            line.record_refusal(entry);
        }
        let is_answered = matches!(call_end, CallEnd::Succeeded | CallEnd::Failed);
        line.record_end(entry, is_answered.then(|| now - started));
    }
    if let AttemptOutcome::NotRun(fault)
    | AttemptOutcome::Full(fault)
    | AttemptOutcome::NotSent(fault)
    | AttemptOutcome::Unknown(fault) = &outcome
    {
        log::info!(
            event = "attempt_failed", attempt = &*call.head.attempt,
            request:% = call.fingerprint(), endpoint = &*entry.name,
            service = &*call.service, fault = &**fault,
            open,
            age_ms = call.arrived.elapsed().as_millis() as u64; "attempt at an endpoint failed"
        );
    }
    outcome
}

/// Passes a call on to another host.
async fn attempt_at_host(
    state: &EntryState,
    call: &AllowedCall,
    host: &ForwardHost,
    max_runs: u32,
) -> AttemptOutcome {
    let options = ForwardOptions { resume_after: None, max_runs: Some(max_runs), retry: None };
    let sent = timeout_at(call.deadline, forward::send_to(state, call, host, options)).await;
    let reply = match sent {
        Ok(Ok(reply)) => reply,
        Ok(Err(ForwardError::NotRun(fault))) => return AttemptOutcome::NotRun(fault),
        Ok(Err(ForwardError::Unknown(fault))) => return AttemptOutcome::Unknown(fault),
        Err(_) => {
            let error = ForwardError::Unknown("the request's time is over".into());
            let error = forward::record_error(state, call, host, error);
            return AttemptOutcome::Unknown(error.into_fault());
        }
    };
    let status = reply.parts.status;
    let read = timeout_at(call.deadline, read_answer(state, reply)).await;
    let fault = match read {
        Ok(Ok((parts, body))) => {
            forward::record_answer(state, call);
            let response = endpoint_response(status, &parts.headers, full_body(body));
            // A refusal is for lack of capacity; an error may be that of the host's last endpoint.
            let has_failed = status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE;
            return match has_failed {
                true => AttemptOutcome::Failed(response),
                false => AttemptOutcome::Response(response),
            };
        }
        Ok(Err(error)) => error.to_string().into(),
        Err(_) => "the request's time is over".into(),
    };
    let error = forward::record_error(state, call, host, ForwardError::Unknown(fault));
    AttemptOutcome::Unknown(error.into_fault())
}

async fn classify_reply(
    state: &Rc<EntryState>,
    call: &AllowedCall,
    entry: &EndpointEntry,
    sent: SentReply,
) -> (AttemptOutcome, CallEnd) {
    let status = sent.reply.parts.status;
    if sent.is_not_run() {
        let fault = format!("endpoint refused with {status}");
        let is_busy_status = matches!(
            sent.reply.parts.status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        );
        let is_full = is_busy_status && !sent.head.is_leaving;
        sent.reply.lease.return_to_pool();
        let outcome = if is_full { AttemptOutcome::Full } else { AttemptOutcome::NotRun };
        return (outcome(fault.into()), CallEnd::Refused);
    }
    if !sent.is_genuine() {
        return (AttemptOutcome::Unknown("answer is not the endpoint's".into()), CallEnd::Broken);
    }
    let read = timeout_at(call.deadline, read_answer(state, sent.reply)).await;
    let (parts, body) = match read {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            if !error.is_over_limit() {
                forward::record_failure(state, entry);
                record_broken(state, call, entry);
            }
            return (AttemptOutcome::Unknown(error.to_string().into()), CallEnd::Broken);
        }
        Err(_) => {
            return (AttemptOutcome::Unknown("the request's time is over".into()), CallEnd::Broken);
        }
    };
    // These statuses tell a caller that the request has not run. Without the endpoint's not-run
    // header that is uncertain, so they are not forwarded.
    let is_not_run_status = matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
    );
    if is_not_run_status {
        let fault = format!("endpoint answered {status} and may have run the request");
        return (AttemptOutcome::Unknown(fault.into()), CallEnd::Failed);
    }
    let response = endpoint_response(status, &parts.headers, full_body(body));
    if status.is_server_error() {
        return (AttemptOutcome::Failed(response), CallEnd::Failed);
    }
    call.record_answer(state);
    (AttemptOutcome::Response(response), CallEnd::Succeeded)
}

/// Records that the connection of a call broke, and finds out whether the endpoint has ended.
fn record_broken(state: &Rc<EntryState>, call: &AllowedCall, entry: &EndpointEntry) {
    call.record_cut(state, entry, &[]);
    tokio::task::spawn_local(probe_entry(state.clone(), entry.clone()));
}

/// Picks the endpoint with the lowest cost among the healthy ones that have not been tried.
fn pick_endpoint(
    state: &EntryState,
    service: &str,
    tried: &BTreeSet<EndpointName>,
) -> Option<EndpointEntry> {
    let endpoints = state.endpoints.borrow();
    let (healthy, suspect) = split_endpoints(state, &endpoints, service, tried);
    if healthy.is_empty() {
        // No endpoint is healthy: a call to a random one shows whether it replies again.
        return suspect.choose(&mut rand::rng()).map(|entry| (*entry).clone());
    }
    let cost = |entry: &&EndpointEntry| call_cost(state, entry);
    healthy.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b))).cloned()
}

/// Endpoints that take requests and have not been tried: the healthy ones, and the others.
pub(crate) fn split_endpoints<'a>(
    state: &EntryState,
    endpoints: &'a EndpointTable,
    service: &str,
    tried: &BTreeSet<EndpointName>,
) -> (Vec<&'a EndpointEntry>, Vec<&'a EndpointEntry>) {
    let now = Instant::now();
    let health = state.health.borrow();
    let (notices, rates) = (state.notices.borrow(), state.rates.borrow());
    let down_table = state.down_table.borrow();
    let candidates = endpoints.entries().filter(|entry| {
        &*entry.service == service
            && !state.is_leaving_endpoint(entry)
            && !notices.is_paused(entry.start(), now)
            && rates.may_send(entry.start(), now)
            && !tried.contains(&entry.name)
    });
    candidates.partition(|entry| {
        !health.is_down(&entry.name)
            && !health.is_ejected(&entry.name, now)
            && !down_table.is_reported(entry, now)
    })
}

/// Expected cost of another call to an endpoint; one in another failure domain costs a little more.
pub(crate) fn call_cost(state: &EntryState, entry: &EndpointEntry) -> f64 {
    let domain_factor = if entry.domain == state.options.domain { 1.0 } else { 1.05 };
    state.health.borrow().call_cost(&entry.name) * domain_factor
}

/// Counts a call as waiting until this guard is dropped.
struct WaitingCall<'a> {
    state: &'a EntryState,
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        self.state.waiting_calls.set(self.state.waiting_calls.get() - 1);
    }
}

/// Counts a call as open at an endpoint until this guard is dropped.
struct OpenCall<'a> {
    state: &'a EntryState,
    name: &'a EndpointName,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.state.health.borrow_mut().end_call(self.name);
    }
}
