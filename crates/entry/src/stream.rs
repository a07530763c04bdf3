//! Streams: one answer of many events, which another path may continue.

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

use crate::answer::{AbortedResponse, ResponseBody, endpoint_response, full_body, not_run_refusal};
use crate::call::{AllowedCall, OpenRequest, count_outcome, unknown_outcome};
use crate::events::EventCutter;
use crate::inflight::StreamFlight;
use crate::line::{LineTicket, WaitClass};
use crate::path::{PathStage, crossings};
use crate::pool::{ConnectionLease, SendError};
use crate::repath::repath;
use crate::sending::{SendTarget, check_refusal, exclude_endpoint, probe, send};
use crate::state::{EntryState, PathDemand};

/// Longest wait for a path when none has room: most of the time to the first event that callers
/// accept, beyond which a refusal with a time to come back serves them better.
const PATH_WAIT: Duration = Duration::from_millis(350);
/// Time by which a caller's own deadline is shorter than the route's when it came back after a
/// refusal: callers count their deadline from the first attempt.
const RETURNED_SLACK: Duration = Duration::from_millis(100);
/// Time after which a caller may come back when no path has room: a range of layers is loaded
/// within one to two seconds.
const NO_PATH_RETRY: Duration = Duration::from_millis(900);
/// Urgency of a stream that goes on after a fault: its caller waits in the middle of an answer.
const RESUMED_URGENCY: u8 = 0;
/// Urgency of a new stream of rank 0; each rank adds one.
const NEW_URGENCY: u8 = 3;
/// Lowest urgency.
const LAST_URGENCY: u8 = 9;
/// Part of the retry budget that is kept for streams that break off midway: one that has not begun
/// can be refused, and its caller may come back.
const BROKEN_RESERVE: f64 = 0.2;
/// Sends of one stream, whatever the rules allow: more would only add to an overload.
const MAX_SENDS: u32 = 4;
/// Time since the last event after which a broken stream is not continued: callers have left.
const CALLER_PATIENCE: Duration = Duration::from_millis(1_900);

/// A stream that an endpoint has begun to answer.
struct OpenStream {
    flight: StreamFlight,
    status: StatusCode,
    headers: hyper::HeaderMap,
    body: Incoming,
    lease: ConnectionLease,
}

/// Why a send gave no stream.
enum SendEnd {
    /// An answer that is not a stream, for the caller.
    Answer(Box<Response<ResponseBody>>),
    /// It has not run.
    NotRun(Box<str>),
    /// It may have run.
    Unknown(Box<str>),
    /// No path has room, and why.
    NoPath(Box<str>),
    /// The time is over.
    Late,
}

/// A place in the line of waiting streams, given up when it is dropped.
struct LinePlace {
    state: Rc<EntryState>,
    ticket: LineTicket,
    expected: Duration,
}

impl LinePlace {
    fn new(state: &Rc<EntryState>, class: WaitClass, priority: u8) -> Self {
        let (ticket, expected) = state.line.borrow_mut().join(class, priority);
        Self { state: state.clone(), ticket, expected }
    }

    fn is_first(&self) -> bool {
        self.state.line.borrow().is_first(self.ticket)
    }
}

impl Drop for LinePlace {
    fn drop(&mut self) {
        self.state.line.borrow_mut().leave(self.ticket);
        self.state.path_changed.notify_waiters();
    }
}

struct StreamRelay {
    state: Rc<EntryState>,
    call: Rc<AllowedCall>,
    cutter: EventCutter,
    open: Option<OpenStream>,
    sent_to: BTreeSet<EndpointName>,
    avoid: BTreeSet<EndpointName>,
    sends: u32,
    last_event: Instant,
    deadline: Pin<Box<Sleep>>,
    is_over: bool,
    _request: OpenRequest,
}

/// Serves a stream.
pub(crate) async fn serve(
    state: &Rc<EntryState>,
    call: Rc<AllowedCall>,
    request: OpenRequest,
) -> Result<Response<ResponseBody>, CallRefusal> {
    let mut relay = StreamRelay {
        state: state.clone(),
        cutter: EventCutter::default(),
        open: None,
        sent_to: BTreeSet::new(),
        avoid: BTreeSet::new(),
        sends: 0,
        last_event: call.arrived,
        deadline: Box::pin(sleep_until(call.deadline)),
        is_over: false,
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
                match relay.next_whole().await {
                    Ok(first) => return Ok(relay.into_answer(status, &headers, first)),
                    Err(reason) => {
                        relay.leave(&reason);
                        may_have_run = true;
                        fault = reason;
                    }
                }
            }
            Err(SendEnd::Answer(answer)) => {
                count_outcome(state, &relay.call.service, "endpoint_failed");
                return Ok(*answer);
            }
            Err(SendEnd::NotRun(reason)) => fault = reason,
            Err(SendEnd::Unknown(reason)) => {
                may_have_run = true;
                fault = reason;
            }
            Err(SendEnd::NoPath(reason)) => {
                if fault.is_empty() {
                    fault = reason;
                }
                break;
            }
            Err(SendEnd::Late) => break,
        }
        if may_have_run && !relay.call.route.retry_policy.is_idempotent() {
            break;
        }
        if !relay.may_send_again() {
            break;
        }
    }
    if may_have_run || relay.call.remaining().is_zero() {
        return Err(unknown_outcome(state, &relay.call, fault));
    }
    count_outcome(state, &relay.call.service, "not_run");
    let come_back = NO_PATH_RETRY + state.line.borrow().length();
    Err(not_run_refusal(ResultCode::NoChain, fault, come_back))
}

impl StreamRelay {
    fn may_send_again(&mut self) -> bool {
        self.sends < MAX_SENDS
            && !self.call.remaining().is_zero()
            && self.state.allow_retry(&self.call.service, "stream", self.reserve())
    }

    /// Part of the retry budget that is kept for others.
    fn reserve(&self) -> f64 {
        if self.cutter.last_event().is_none() { BROKEN_RESERVE } else { 0.0 }
    }

    /// Most tokens that the stream is expected to hold.
    fn tokens(&self) -> u32 {
        let rules = self.state.rules();
        let usual = rules.as_ref().and_then(|rules| rules.engine(&self.call.service));
        let (prompt, answer) =
            usual.map_or((0, 0), |e| (e.mean_prompt_tokens, e.mean_output_tokens));
        let head = &self.call.head;
        let answer = head
            .output_tokens_hint
            .unwrap_or(answer)
            .min(head.max_output_tokens.unwrap_or(u32::MAX));
        head.prompt_tokens.unwrap_or(prompt) + answer
    }

    async fn open_stream(&mut self, resume_after: Option<u64>) -> Result<OpenStream, SendEnd> {
        let path = self.wait_for_path().await?;
        let state = self.state.clone();
        let Some(first) = state.endpoint(&path[0].name) else {
            return Err(SendEnd::NotRun("first stage has left".into()));
        };
        self.sends += 1;
        self.sent_to.insert(first.name.clone());
        let inflight = state.inflight.clone();
        let flight = StreamFlight::new(inflight, path, self.tokens(), Instant::now());
        let urgency = match self.sends {
            1 => (NEW_URGENCY + self.call.priority).min(LAST_URGENCY),
            _ => RESUMED_URGENCY,
        };
        let path = flight.record().path();
        let stream =
            SendTarget { endpoint: &first, path: &path, resume_after, urgency: Some(urgency) };
        let call = self.call.clone();
        let mut sending = std::pin::pin!(send(&state, &call, stream));
        let sent = loop {
            tokio::select! {
                sent = &mut sending => break sent,
                () = flight.record().abandon.notified() => {
                    if !repath(&state, &call, &flight).await {
                        let fault = SendEnd::Unknown("silent before its head".into());
                        return Err(self.note(&flight, fault));
                    }
                }
                () = &mut self.deadline => return Err(SendEnd::Late),
            }
        };
        let sent = match sent {
            Ok(sent) => sent,
            Err(fault) => {
                let is_unsent = matches!(fault, SendError::NotSent { .. });
                tokio::task::spawn_local(probe(state.clone(), first.name.clone()));
                self.avoid.insert(first.name.clone());
                let text: Box<str> = fault.to_string().into();
                if is_unsent {
                    self.sent_to.remove(&first.name);
                    return Err(self.note(&flight, SendEnd::NotRun(text)));
                }
                return Err(self.note(&flight, SendEnd::Unknown(text)));
            }
        };
        let status = sent.reply.parts.status;
        if sent.is_not_run() {
            let at = sent.head.fault_at.and_then(|address| state.endpoint_at(address));
            let culprit = at.unwrap_or_else(|| first.name.clone());
            if status == StatusCode::MISDIRECTED_REQUEST {
                exclude_endpoint(&state, &culprit, "does not hold its layers");
            } else if state.mark_overloaded(&culprit) {
                tokio::task::spawn_local(check_refusal(state.clone(), culprit.clone()));
            }
            self.avoid.insert(culprit.clone());
            sent.reply.lease.return_to_pool();
            let text = format!("{culprit} refused with {status}");
            return Err(self.note(&flight, SendEnd::NotRun(text.into())));
        }
        if !sent.is_genuine() {
            return Err(self.note(&flight, SendEnd::Unknown("answer is not the endpoint's".into())));
        }
        if status != StatusCode::OK {
            let text = format!("first stage answered {status}");
            if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
                self.avoid.insert(first.name.clone());
                return Err(self.note(&flight, SendEnd::Unknown(text.into())));
            }
            let body = timeout_at(self.call.deadline, sent.reply.body.collect()).await;
            let Ok(Ok(body)) = body else {
                return Err(self.note(&flight, SendEnd::Unknown(text.into())));
            };
            sent.reply.lease.return_to_pool();
            let body = full_body(body.to_bytes());
            let answer = endpoint_response(status, &sent.reply.parts.headers, body);
            return Err(SendEnd::Answer(Box::new(answer)));
        }
        Ok(OpenStream {
            flight,
            status,
            headers: sent.reply.parts.headers,
            body: sent.reply.body,
            lease: sent.reply.lease,
        })
    }

    fn note(&self, flight: &StreamFlight, end: SendEnd) -> SendEnd {
        if let SendEnd::NotRun(fault) | SendEnd::Unknown(fault) = &end {
            self.log_fault(&flight.record().path(), fault);
        }
        end
    }

    fn log_fault(&self, path: &[PathStage], fault: &str) {
        let stages: Vec<&str> = path.iter().map(|stage| &*stage.name).collect();
        log::info!(
            event = "stream_fault", attempt = &*self.call.head.attempt, sends = self.sends, fault,
            stages:? = stages, last_event = self.cutter.last_event().unwrap_or(0),
            silent_ms = self.last_event.elapsed().as_millis() as u64,
            age_ms = self.call.arrived.elapsed().as_millis() as u64; "stream left its path"
        );
    }

    /// Waits for a path with room, as long as that serves the caller.
    async fn wait_for_path(&mut self) -> Result<Rc<[PathStage]>, SendEnd> {
        let state = self.state.clone();
        // A stream that broke off midway is still worth waiting for until its caller leaves.
        let until = match self.wait_class() {
            WaitClass::BrokenOff => self.last_event + CALLER_PATIENCE,
            WaitClass::Returned | WaitClass::New => Instant::now() + PATH_WAIT,
        };
        let until = until.min(self.call.deadline);
        if state.line.borrow().is_empty()
            && let Some(path) = self.find_path()
        {
            return Ok(self.take_path(path));
        }
        let place = LinePlace::new(&state, self.wait_class(), self.call.priority);
        if Instant::now() + place.expected > until {
            let wait_ms = place.expected.as_millis();
            return Err(SendEnd::NoPath(format!("the line is {wait_ms} ms long").into()));
        }
        loop {
            let path_changed = state.path_changed.notified();
            if place.is_first()
                && let Some(path) = self.find_path()
            {
                return Ok(self.take_path(path));
            }
            if timeout_at(until, path_changed).await.is_err() {
                return Err(SendEnd::NoPath(self.with_demand(|state, d| state.explain_no_path(d))));
            }
        }
    }

    fn take_path(&self, path: Rc<[PathStage]>) -> Rc<[PathStage]> {
        self.state.line.borrow_mut().served(Instant::now());
        self.state.crossings_taken(crossings(&path));
        path
    }

    fn wait_class(&self) -> WaitClass {
        let head = &self.call.head;
        let is_returned = head
            .deadline
            .is_some_and(|deadline| deadline + RETURNED_SLACK < self.call.route.timeout);
        if self.cutter.last_event().is_some() {
            WaitClass::BrokenOff
        } else if is_returned || self.sends > 0 {
            WaitClass::Returned
        } else {
            WaitClass::New
        }
    }

    fn find_path(&mut self) -> Option<Rc<[PathStage]>> {
        let state = self.state.clone();
        // Endpoints that have ended meanwhile do not count as attempts.
        self.sent_to
            .retain(|name| state.endpoint(name).is_some() && !state.beliefs.borrow().is_down(name));
        self.with_demand(|state, demand| state.find_path(demand))
    }

    fn with_demand<T>(&self, ask: impl FnOnce(&EntryState, &PathDemand<'_>) -> T) -> T {
        let is_spent = self.sent_to.len() >= self.call.route.max_attempts.max(1) as usize;
        let demand = PathDemand {
            service: &self.call.service,
            tokens: self.tokens(),
            starts: is_spent.then_some(&self.sent_to),
            avoid: &self.avoid,
        };
        ask(&self.state, &demand)
    }

    /// Waits for the next whole events; `None` at the end of the stream.
    async fn next_whole(&mut self) -> Result<Option<Bytes>, Box<str>> {
        let Some(open) = self.open.as_mut() else { return Ok(None) };
        let record = open.flight.record();
        record.set_waiting(true, Instant::now());
        let result = loop {
            let frame = tokio::select! {
                biased;
                frame = open.body.frame() => frame,
                () = record.abandon.notified() => {
                    if repath(&self.state, &self.call, &open.flight).await {
                        continue;
                    }
                    break Err("silent for too long".into());
                }
                () = &mut self.deadline => break Err("the request's time is over".into()),
            };
            let bytes = match frame {
                None if self.cutter.has_unfinished() => break Err("ended within an event".into()),
                None => break Ok(None),
                Some(Err(error)) => break Err(format!("broke off: {error}").into()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_trailers) => continue,
                },
            };
            let now = Instant::now();
            open.flight.event(now);
            self.last_event = now;
            if let Some(whole) = self.cutter.push(bytes) {
                break Ok(Some(whole));
            }
            if self.cutter.is_overfull() {
                break Err("an event is too large".into());
            }
        };
        record.set_waiting(false, Instant::now());
        if let Ok(None) = &result
            && let Some(open) = self.open.take()
        {
            open.lease.return_to_pool();
            drop(open.flight);
            self.state.wake_queue();
        }
        result
    }

    /// Drops the current path after a fault.
    fn leave(&mut self, fault: &str) {
        self.cutter.drop_unfinished();
        if let Some(open) = self.open.take() {
            self.log_fault(&open.flight.record().path(), fault);
        }
    }

    fn into_answer(
        mut self,
        status: StatusCode,
        headers: &hyper::HeaderMap,
        first: Option<Bytes>,
    ) -> Response<ResponseBody> {
        if first.is_none() {
            self.is_over = true;
        }
        let later = stream::unfold(self, |mut relay| async move {
            let item = relay.next_item().await?;
            Some((item, relay))
        });
        let first = first.map(|bytes| Ok(Frame::data(bytes)));
        let frames = futures::StreamExt::chain(stream::iter(first), later);
        endpoint_response(status, headers, Box::pin(StreamBody::new(frames)))
    }

    async fn next_item(&mut self) -> Option<Result<Frame<Bytes>, AbortedResponse>> {
        if self.is_over {
            return None;
        }
        loop {
            match self.next_whole().await {
                Ok(Some(bytes)) => return Some(Ok(Frame::data(bytes))),
                Ok(None) => {
                    self.is_over = true;
                    count_outcome(&self.state, &self.call.service, "answered");
                    return None;
                }
                Err(fault) => self.leave(&fault),
            }
            if !self.resume().await {
                self.is_over = true;
                count_outcome(&self.state, &self.call.service, "broken_off");
                log::warn!(
                    event = "stream_broken", attempt = &*self.call.head.attempt,
                    sends = self.sends, last_event = self.cutter.last_event().unwrap_or(0),
                    age_ms = self.call.arrived.elapsed().as_millis() as u64; "stream broken off"
                );
                return Some(Err(AbortedResponse));
            }
        }
    }

    /// Goes on after the last whole event over another path.
    async fn resume(&mut self) -> bool {
        let Some(last) = self.cutter.last_event() else { return false };
        if !self.call.route.retry_policy.is_idempotent() {
            return false;
        }
        while self.last_event.elapsed() < CALLER_PATIENCE && self.may_send_again() {
            match self.open_stream(Some(last)).await {
                Ok(open) => {
                    self.open = Some(open);
                    return true;
                }
                Err(SendEnd::NotRun(_) | SendEnd::Unknown(_)) => {}
                Err(SendEnd::Answer(_) | SendEnd::NoPath(_) | SendEnd::Late) => return false,
            }
        }
        false
    }
}
