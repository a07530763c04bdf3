//! Relays streams of events to callers, and continues them over another path after a fault.

use std::collections::BTreeSet;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Response, StatusCode};
use jacinthrock::{CallRefusal, EndpointName, ResultCode};
use tokio::time::{Instant, Sleep, sleep_until, timeout_at};

use crate::call::{AllowedCall, OpenRequest, count_outcome, unknown_outcome};
use crate::endpoints::EndpointEntry;
use crate::events::EventFramer;
use crate::inflight::StreamGuard;
use crate::path::{PathStage, crossings};
use crate::pool::{ConnectionLease, SendError};
use crate::queue::{QueuePosition, WaitClass};
use crate::reroute::reroute;
use crate::response::{
    AbortedResponse, ResponseBody, endpoint_response, full_body, not_run_refusal,
};
use crate::sending::{SendTarget, check_refusal, exclude_endpoint, probe, send};
use crate::state::{EntryState, PathQuery};

/// Maximum wait for a path when none has room: most of the delay of the first event that callers
/// tolerate. Beyond that, a refusal with a retry delay serves them better.
const MAX_PATH_WAIT: Duration = Duration::from_millis(350);
/// A request whose deadline is shorter than the route's timeout by more than this margin is a
/// retry, since callers count their deadline from the first attempt.
const RETRY_DEADLINE_MARGIN: Duration = Duration::from_millis(100);
/// Urgency of a resent stream, whose caller may be waiting in the middle of an answer.
const RESUMED_URGENCY: u8 = 0;
/// Urgency of a new stream of priority 0; each further priority level adds one.
const NEW_URGENCY: u8 = 3;
/// Lowest urgency that endpoints accept.
const LOWEST_URGENCY: u8 = 9;
/// Part of the retry budget reserved for resuming interrupted streams. A stream without any event
/// yet can be refused, and its caller may retry.
const RESUME_RESERVED_SHARE: f64 = 0.2;
/// Maximum sends per stream, regardless of the rules; more would only add to an overload.
const MAX_SENDS: u32 = 4;
/// Time since the last event after which callers have given up, so that an interrupted stream is
/// not resumed.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_900);

/// A stream whose first stage has sent the head of its reply.
struct OpenStream {
    guard: StreamGuard,
    status: StatusCode,
    headers: hyper::HeaderMap,
    body: Incoming,
    lease: ConnectionLease,
}

/// Why no stream was opened.
enum OpenFailure {
    /// The endpoint sent a reply that is not a stream, to be forwarded to the caller.
    Response(Box<Response<ResponseBody>>),
    /// The request has not run.
    NotRun(Box<str>),
    /// The request may have run.
    Unknown(Box<str>),
    /// No path has room, for the given reason.
    NoPath(Box<str>),
    /// The deadline of the request has passed.
    DeadlinePassed,
}

/// Keeps a stream in the queue of waiting streams until dropped.
struct QueueGuard {
    state: Rc<EntryState>,
    position: QueuePosition,
    expected_wait: Duration,
}

impl QueueGuard {
    fn new(state: &Rc<EntryState>, class: WaitClass, priority: u8) -> Self {
        let (position, expected_wait) = state.path_queue.borrow_mut().join(class, priority);
        Self { state: state.clone(), position, expected_wait }
    }

    fn is_first(&self) -> bool {
        self.state.path_queue.borrow().is_first(self.position)
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.state.path_queue.borrow_mut().leave(self.position);
        self.state.path_changed.notify_waiters();
    }
}

/// A stream being relayed to its caller, over one path after another.
struct StreamRelay {
    state: Rc<EntryState>,
    call: Rc<AllowedCall>,
    framer: EventFramer,
    open: Option<OpenStream>,
    /// First stages that received the request.
    sent_to: BTreeSet<EndpointName>,
    /// Endpoints that failed or refused the stream.
    avoid: BTreeSet<EndpointName>,
    /// First stages whose connection broke. They are tried again only when no others are allowed.
    broken: BTreeSet<EndpointName>,
    sends: u32,
    last_event_at: Instant,
    deadline: Pin<Box<Sleep>>,
    is_finished: bool,
    _request: OpenRequest,
}

/// Serves a stream: opens it on a path and relays its events.
pub(crate) async fn serve(
    state: &Rc<EntryState>,
    call: Rc<AllowedCall>,
    request: OpenRequest,
) -> Result<Response<ResponseBody>, CallRefusal> {
    let mut relay = StreamRelay {
        state: state.clone(),
        framer: EventFramer::default(),
        open: None,
        sent_to: BTreeSet::new(),
        avoid: BTreeSet::new(),
        broken: BTreeSet::new(),
        sends: 0,
        last_event_at: call.arrived,
        deadline: Box::pin(sleep_until(call.deadline)),
        is_finished: false,
        call,
        _request: request,
    };
    let mut may_have_run = false;
    let mut fault: Box<str> = "".into();
    loop {
        match relay.open_stream(relay.call.head.resume_after).await {
            Ok(open) => {
                let (status, headers) = (open.status, open.headers.clone());
                relay.open = Some(open);
                match relay.next_events().await {
                    Ok(first) => {
                        state.return_schedule.borrow_mut().record_served(Instant::now());
                        return Ok(relay.into_response(status, &headers, first));
                    }
                    Err(reason) => {
                        relay.drop_path(&reason);
                        may_have_run = true;
                        fault = reason;
                    }
                }
            }
            Err(OpenFailure::Response(response)) => {
                count_outcome(state, &relay.call.service, "endpoint_failed");
                return Ok(*response);
            }
            Err(OpenFailure::NotRun(reason)) => fault = reason,
            Err(OpenFailure::Unknown(reason)) => {
                may_have_run = true;
                fault = reason;
            }
            Err(OpenFailure::NoPath(reason)) => {
                if fault.is_empty() {
                    fault = reason;
                }
                break;
            }
            Err(OpenFailure::DeadlinePassed) => break,
        }
        if may_have_run && !relay.call.route.retry_policy.is_idempotent() {
            break;
        }
        if !relay.take_retry() {
            break;
        }
    }
    if may_have_run || relay.call.remaining().is_zero() {
        return Err(unknown_outcome(state, &relay.call, fault));
    }
    count_outcome(state, &relay.call.service, "not_run");
    let now = Instant::now();
    state.return_schedule.borrow_mut().record_refused(now);
    let delay = state.return_schedule.borrow_mut().delay(now, relay.call.remaining());
    let retry_after = delay + state.path_queue.borrow().drain_time();
    let pause = relay.pause_end().map(|end| end.saturating_duration_since(now));
    let retry_after = retry_after.max(pause.unwrap_or_default());
    Err(not_run_refusal(ResultCode::NoChain, fault, retry_after))
}

impl StreamRelay {
    /// Whether the request may be sent again; takes a retry from the budget.
    fn take_retry(&mut self) -> bool {
        self.sends < MAX_SENDS
            && !self.call.remaining().is_zero()
            && self.state.allow_retry(&self.call.service, "stream", self.reserved_retry_share())
    }

    /// Part of the retry budget that this stream must leave for interrupted streams.
    fn reserved_retry_share(&self) -> f64 {
        if self.framer.last_event_id().is_none() { RESUME_RESERVED_SHARE } else { 0.0 }
    }

    /// Expected maximum number of tokens in the stream's KV cache.
    fn expected_tokens(&self) -> u32 {
        let rules = self.state.rules();
        let engine = rules.as_ref().and_then(|rules| rules.engine(&self.call.service));
        let (prompt, answer) =
            engine.map_or((0, 0), |e| (e.mean_prompt_tokens, e.mean_output_tokens));
        let head = &self.call.head;
        let answer = head
            .output_tokens_hint
            .unwrap_or(answer)
            .min(head.max_output_tokens.unwrap_or(u32::MAX));
        head.prompt_tokens.unwrap_or(prompt) + answer
    }

    /// Waits for a path and sends the request on it.
    async fn open_stream(&mut self, resume_after: Option<u64>) -> Result<OpenStream, OpenFailure> {
        let path = self.wait_for_path().await?;
        let state = self.state.clone();
        let Some(first) = state.endpoint(&path[0].name) else {
            return Err(OpenFailure::NotRun("first stage has left".into()));
        };
        self.sends += 1;
        let is_first_send = self.sent_to.insert(first.name.clone());
        let inflight = state.inflight.clone();
        let guard = StreamGuard::new(inflight, path, self.expected_tokens(), Instant::now());
        let urgency = match self.sends {
            1 => (NEW_URGENCY + self.call.priority).min(LOWEST_URGENCY),
            _ => RESUMED_URGENCY,
        };
        let path = guard.record().path();
        let stream =
            SendTarget { endpoint: &first, path: &path, resume_after, urgency: Some(urgency) };
        let call = self.call.clone();
        let mut sending = std::pin::pin!(send(&state, &call, stream));
        let sent = loop {
            tokio::select! {
                sent = &mut sending => break sent,
                () = guard.record().reroute_requested.notified() => {
                    if !reroute(&state, &call, &guard).await {
                        let fault = OpenFailure::Unknown("silent before its head".into());
                        return Err(self.log_failure(&guard, fault));
                    }
                }
                () = &mut self.deadline => return Err(OpenFailure::DeadlinePassed),
            }
        };
        let sent = match sent {
            Ok(sent) => sent,
            Err(fault) => {
                let is_unsent = matches!(fault, SendError::NotSent { .. });
                tokio::task::spawn_local(probe(state.clone(), first.name.clone()));
                self.avoid.insert(first.name.clone());
                let reason: Box<str> = fault.to_string().into();
                if is_unsent {
                    if is_first_send {
                        log_uncounted(&self.call.head.attempt, &first.name, "not sent");
                        self.sent_to.remove(&first.name);
                    }
                    return Err(self.log_failure(&guard, OpenFailure::NotRun(reason)));
                }
                return Err(self.log_failure(&guard, OpenFailure::Unknown(reason)));
            }
        };
        let status = sent.reply.parts.status;
        if sent.is_not_run() {
            let at = sent.head.fault_at.and_then(|address| state.endpoint_at(address));
            let culprit = at.unwrap_or_else(|| first.name.clone());
            if status == StatusCode::MISDIRECTED_REQUEST {
                exclude_endpoint(&state, &culprit, "does not hold its layers");
            } else if !state.mark_overloaded(&culprit) {
                tokio::task::spawn_local(check_refusal(state.clone(), culprit.clone()));
            }
            self.avoid.insert(culprit.clone());
            sent.reply.lease.return_to_pool();
            let reason = format!("{culprit} refused with {status}");
            return Err(self.log_failure(&guard, OpenFailure::NotRun(reason.into())));
        }
        if !sent.is_genuine() {
            return Err(self
                .log_failure(&guard, OpenFailure::Unknown("answer is not the endpoint's".into())));
        }
        if status != StatusCode::OK {
            let reason = format!("first stage answered {status}");
            if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
                self.avoid.insert(first.name.clone());
                return Err(self.log_failure(&guard, OpenFailure::Unknown(reason.into())));
            }
            let body = timeout_at(self.call.deadline, sent.reply.body.collect()).await;
            let Ok(Ok(body)) = body else {
                return Err(self.log_failure(&guard, OpenFailure::Unknown(reason.into())));
            };
            sent.reply.lease.return_to_pool();
            let body = full_body(body.to_bytes());
            let response = endpoint_response(status, &sent.reply.parts.headers, body);
            return Err(OpenFailure::Response(Box::new(response)));
        }
        Ok(OpenStream {
            guard,
            status,
            headers: sent.reply.parts.headers,
            body: sent.reply.body,
            lease: sent.reply.lease,
        })
    }

    /// Logs the fault of a failure, if it has one, and passes the failure on.
    fn log_failure(&self, guard: &StreamGuard, failure: OpenFailure) -> OpenFailure {
        if let OpenFailure::NotRun(fault) | OpenFailure::Unknown(fault) = &failure {
            self.log_fault(&guard.record().path(), fault);
        }
        failure
    }

    fn log_fault(&self, path: &[PathStage], fault: &str) {
        let stages: Vec<&str> = path.iter().map(|stage| &*stage.name).collect();
        log::info!(
            event = "stream_fault", attempt = &*self.call.head.attempt, sends = self.sends, fault,
            stages:? = stages, last_event = self.framer.last_event_id().unwrap_or(0),
            silent_ms = self.last_event_at.elapsed().as_millis() as u64,
            age_ms = self.call.arrived.elapsed().as_millis() as u64; "stream failed on its path"
        );
    }

    /// Waits for a path with room, for as long as the caller benefits from it.
    async fn wait_for_path(&mut self) -> Result<Rc<[PathStage]>, OpenFailure> {
        let state = self.state.clone();
        // An interrupted stream may wait until its caller gives up.
        let until = match self.wait_class() {
            WaitClass::Interrupted => self.last_event_at + CALLER_TIMEOUT,
            WaitClass::Retried | WaitClass::New => Instant::now() + MAX_PATH_WAIT,
        };
        let until = until.min(self.call.deadline);
        if state.path_queue.borrow().is_empty()
            && let Some(path) = self.find_path()
        {
            return Ok(self.accept_path(path));
        }
        if self.pause_end().is_some_and(|end| end >= until) {
            return Err(OpenFailure::NoPath("all first stages have asked for a pause".into()));
        }
        let guard = QueueGuard::new(&state, self.wait_class(), self.call.priority);
        if Instant::now() + guard.expected_wait > until {
            let wait_ms = guard.expected_wait.as_millis();
            return Err(OpenFailure::NoPath(format!("the line is {wait_ms} ms long").into()));
        }
        loop {
            let path_changed = state.path_changed.notified();
            if guard.is_first()
                && let Some(path) = self.find_path()
            {
                return Ok(self.accept_path(path));
            }
            if timeout_at(until, path_changed).await.is_err() {
                return Err(OpenFailure::NoPath(
                    self.with_query(|state, query| state.explain_no_path(query)),
                ));
            }
        }
    }

    /// When the first of the endpoints at which paths start wants requests again, if all have asked
    /// for a pause.
    fn pause_end(&self) -> Option<Instant> {
        let starts = |entry: &EndpointEntry| {
            entry.layers.is_some_and(|span| span.from == 0 && span.count() > 0)
        };
        self.state.first_pause_end(&self.call.service, starts)
    }

    /// Records that the stream takes a path.
    fn accept_path(&self, path: Rc<[PathStage]>) -> Rc<[PathStage]> {
        let now = Instant::now();
        self.state.path_queue.borrow_mut().record_served(now);
        self.state.consume_crossings(crossings(&path));
        path
    }

    /// Class of the stream in the queue.
    fn wait_class(&self) -> WaitClass {
        let head = &self.call.head;
        let is_retried = head
            .deadline
            .is_some_and(|deadline| deadline + RETRY_DEADLINE_MARGIN < self.call.route.timeout);
        if self.framer.last_event_id().is_some() {
            WaitClass::Interrupted
        } else if is_retried || self.sends > 0 {
            WaitClass::Retried
        } else {
            WaitClass::New
        }
    }

    fn find_path(&mut self) -> Option<Rc<[PathStage]>> {
        let state = self.state.clone();
        // Endpoints that are down or no longer listed do not count as attempts.
        let attempt = &*self.call.head.attempt;
        self.sent_to.retain(|name| {
            let is_listed = state.endpoint(name).is_some();
            let is_down = state.health.borrow().is_down(name);
            if !is_listed || is_down {
                log_uncounted(attempt, name, if is_down { "down" } else { "not listed" });
            }
            is_listed && !is_down
        });
        self.with_query(|state, query| state.find_path(query))
    }

    /// Calls a function with the requirements for this stream's path. After the maximum number of
    /// attempts, the path must start at an endpoint that was tried before.
    fn with_query<T>(&self, run: impl FnOnce(&EntryState, &PathQuery<'_>) -> T) -> T {
        let is_limit_reached = self.sent_to.len() >= self.call.route.max_attempts.max(1) as usize;
        let broken = (!is_limit_reached).then_some(&self.broken);
        let avoid = self.avoid.iter().chain(broken.into_iter().flatten()).cloned().collect();
        let query = PathQuery {
            service: &self.call.service,
            tokens: self.expected_tokens(),
            starts: is_limit_reached.then_some(&self.sent_to),
            avoid: &avoid,
        };
        run(&self.state, &query)
    }

    /// Waits for the next complete events; `None` at the end of the stream.
    async fn next_events(&mut self) -> Result<Option<Bytes>, Box<str>> {
        let Some(open) = self.open.as_mut() else { return Ok(None) };
        let record = open.guard.record();
        record.set_waiting(true, Instant::now());
        let result = loop {
            let frame = tokio::select! {
                biased;
                frame = open.body.frame() => frame,
                () = record.reroute_requested.notified() => {
                    if reroute(&self.state, &self.call, &open.guard).await {
                        continue;
                    }
                    break Err("silent for too long".into());
                }
                () = &mut self.deadline => break Err("the request's time is over".into()),
            };
            let bytes = match frame {
                None if self.framer.has_partial() => break Err("ended within an event".into()),
                None => break Ok(None),
                Some(Err(error)) => break Err(format!("broke off: {error}").into()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_trailers) => continue,
                },
            };
            let now = Instant::now();
            open.guard.record_event(now);
            self.last_event_at = now;
            if let Some(complete) = self.framer.push(bytes) {
                break Ok(Some(complete));
            }
            if self.framer.is_over_limit() {
                break Err("an event is too large".into());
            }
        };
        record.set_waiting(false, Instant::now());
        if let Ok(None) = &result
            && let Some(open) = self.open.take()
        {
            open.lease.return_to_pool();
            drop(open.guard);
            self.state.wake_queue();
        }
        result
    }

    /// Leaves the current path after a fault.
    fn drop_path(&mut self, fault: &str) {
        self.framer.drop_partial();
        if let Some(open) = self.open.take() {
            let path = open.guard.record().path();
            self.log_fault(&path, fault);
            self.broken.insert(path[0].name.clone());
            tokio::task::spawn_local(probe(self.state.clone(), path[0].name.clone()));
        }
    }

    /// Builds the response to the caller: the first events, then the others as they arrive.
    fn into_response(
        mut self,
        status: StatusCode,
        headers: &hyper::HeaderMap,
        first: Option<Bytes>,
    ) -> Response<ResponseBody> {
        if first.is_none() {
            self.is_finished = true;
        }
        let later = stream::unfold(self, |mut relay| async move {
            let item = relay.next_frame().await?;
            Some((item, relay))
        });
        let first = first.map(|bytes| Ok(Frame::data(bytes)));
        let frames = futures::StreamExt::chain(stream::iter(first), later);
        endpoint_response(status, headers, Box::pin(StreamBody::new(frames)))
    }

    /// Next frame of the response to the caller; resumes the stream after a fault.
    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, AbortedResponse>> {
        if self.is_finished {
            return None;
        }
        loop {
            match self.next_events().await {
                Ok(Some(bytes)) => return Some(Ok(Frame::data(bytes))),
                Ok(None) => {
                    self.is_finished = true;
                    let (now, service) = (Instant::now(), &self.call.service);
                    let time = now - self.call.arrived;
                    self.state.stream_times.borrow_mut().record(service, time, now);
                    count_outcome(&self.state, &self.call.service, "answered");
                    return None;
                }
                Err(fault) => self.drop_path(&fault),
            }
            if !self.resume().await {
                self.is_finished = true;
                count_outcome(&self.state, &self.call.service, "broken_off");
                log::warn!(
                    event = "stream_broken", attempt = &*self.call.head.attempt,
                    sends = self.sends, last_event = self.framer.last_event_id().unwrap_or(0),
                    age_ms = self.call.arrived.elapsed().as_millis() as u64;
                    "stream interrupted and not resumed"
                );
                return Some(Err(AbortedResponse));
            }
        }
    }

    /// Continues over another path after the last complete event; returns whether that worked.
    async fn resume(&mut self) -> bool {
        let Some(last) = self.framer.last_event_id() else { return false };
        if !self.call.route.retry_policy.is_idempotent() {
            return false;
        }
        while self.last_event_at.elapsed() < CALLER_TIMEOUT && self.take_retry() {
            match self.open_stream(Some(last)).await {
                Ok(open) => {
                    self.open = Some(open);
                    return true;
                }
                Err(OpenFailure::NotRun(_) | OpenFailure::Unknown(_)) => {}
                Err(
                    OpenFailure::Response(_) | OpenFailure::NoPath(_) | OpenFailure::DeadlinePassed,
                ) => return false,
            }
        }
        false
    }
}

fn log_uncounted(attempt: &str, endpoint: &EndpointName, reason: &str) {
    log::info!(
        event = "attempt_uncounted", attempt, endpoint = &**endpoint, reason;
        "endpoint no longer counts as an attempt of the request"
    );
}
