//! Sources of a stream's events. Each sends the request on a path and reads the events of the reply.
//!
//! A source that falls silent goes on waiting, as its endpoint may go on as well; the relay decides
//! whether another source is opened beside it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::{self, LocalBoxStream};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Response, StatusCode};
use jacinthrock::EndpointName;
use sha2::{Digest, Sha256};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::attempts::AttemptLog;
use crate::call::AllowedCall;
use crate::endpoints::EndpointEntry;
use crate::events::EventFramer;
use crate::inflight::{StreamGuard, StreamRecord};
use crate::path::{PathStage, crossings, stage_at};
use crate::pool::{ConnectionLease, SendError};
use crate::queue::{QueuePosition, WaitClass};
use crate::reply::ReplyBody;
use crate::reroute::reroute;
use crate::response::{ResponseBody, endpoint_response, full_body};
use crate::sending::{
    SendTarget, SentReply, check_refusal, exclude_endpoint, probe, probe_entry, read_answer, send,
};
use crate::stall::MIN_SILENCE;
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
/// Time since the last event after which callers have given up, so that an interrupted stream is
/// not resumed.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_millis(1_900);
/// Part of the retry budget reserved for resuming interrupted streams. A stream without any event
/// yet can be refused, and its caller may retry; a silent one may go on by itself.
const RESUME_RESERVED_SHARE: f64 = 0.2;
/// Maximum sends per stream, regardless of the rules; more would only add to an overload.
const MAX_SENDS: u32 = 4;
/// Number of arrivals of events after which an endpoint has gone on past the beginning of an answer.
const ANSWERED_ARRIVALS: u32 = 2;
/// Time after the first failed search for a detour before the next, while a source stays silent; it
/// doubles with each further one, since each may try orders that endpoints refuse.
const REROUTE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Why a source ended before the end of the stream.
pub(crate) enum SourceFailure {
    /// The endpoint sent a reply that is not a stream, to be forwarded to the caller.
    Response(Box<Response<ResponseBody>>),
    /// The request has not run.
    NotRun(Box<str>),
    /// The request may have run.
    Unknown(Box<str>),
    /// No path has room, for the given reason.
    NoPath(Box<str>),
    /// A part of the prompt crashes endpoints; the request was not sent to another one.
    PoisonPrompt(Box<str>),
    /// The deadline of the request has passed.
    DeadlinePassed,
}

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryReason {
    /// The sources before have failed.
    Fault,
    /// The only source is silent.
    Hedge,
}

impl RetryReason {
    /// Label in metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Fault => "stream",
            Self::Hedge => "hedge",
        }
    }
}

/// Head of the reply with which a source opened.
#[derive(Default)]
pub(crate) struct SourceHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

/// What a source has come to.
pub(crate) enum SourceStep {
    /// The first stage has sent the head of its reply.
    Opened(SourceHead),
    /// Complete events, with the last identifier among them.
    Events(Bytes, Option<u64>),
    /// The stream is complete.
    Ended,
    /// The source is silent, and no detour was found; it goes on waiting.
    Silent,
    /// The source has failed and ended.
    Failed(SourceFailure),
}

/// What the sources of one stream share.
pub(crate) struct StreamContext {
    pub(crate) state: Rc<EntryState>,
    pub(crate) call: Rc<AllowedCall>,
    pub(crate) last_event_id: Cell<Option<u64>>,
    /// Time of the last event, or of the request's arrival before the first.
    pub(crate) last_event_at: Cell<Instant>,
    sends: Cell<u32>,
    attempts: RefCell<AttemptLog>,
    /// Endpoints that failed or refused the stream.
    avoid: RefCell<BTreeSet<EndpointName>>,
    /// First stages on which sources wait.
    held: RefCell<BTreeSet<EndpointName>>,
}

/// Endpoints at which the next path of a stream may start.
struct StartLimits {
    /// Endpoints to choose from, once the route allows no others.
    starts: Option<BTreeSet<EndpointName>>,
    avoid: BTreeSet<EndpointName>,
}

impl StreamContext {
    pub(crate) fn new(state: &Rc<EntryState>, call: Rc<AllowedCall>) -> Self {
        Self {
            state: state.clone(),
            last_event_id: Cell::new(None),
            last_event_at: Cell::new(call.arrived),
            sends: Cell::new(0),
            attempts: RefCell::default(),
            avoid: RefCell::default(),
            held: RefCell::default(),
            call,
        }
    }

    /// Number of times that the request was sent or tried to be sent.
    pub(crate) fn sends(&self) -> u32 {
        self.sends.get()
    }

    /// Whether the request may be sent again, as far as the route, the retry budget and the time
    /// allow it.
    pub(crate) fn may_resend(&self, reason: RetryReason) -> bool {
        self.sends() < MAX_SENDS
            && !self.call.remaining().is_zero()
            && self.state.has_retry(&self.call.service, self.reserved_share(reason))
            && (reason == RetryReason::Fault || self.may_hedge())
    }

    /// Whether there is an endpoint to start at other than those on which sources wait.
    fn may_hedge(&self) -> bool {
        let limits = self.start_limits();
        let Some(starts) = limits.starts else { return true };
        let now = Instant::now();
        starts.difference(&limits.avoid).any(|name| {
            self.state.endpoint(name).is_some_and(|entry| self.state.accepts_work(&entry, now))
        })
    }

    /// Part of the retry budget that a retry must leave for interrupted streams.
    fn reserved_share(&self, reason: RetryReason) -> f64 {
        let is_interrupted = reason == RetryReason::Fault && self.last_event_id.get().is_some();
        if is_interrupted { 0.0 } else { RESUME_RESERVED_SHARE }
    }

    /// Takes a retry from the budget.
    fn take_retry(&self, reason: RetryReason) -> bool {
        self.state.allow_retry(&self.call.service, reason.label(), self.reserved_share(reason))
    }

    /// Fails if a part of the prompt is known to crash endpoints. Returns whether the request is a
    /// trial of such a part.
    fn check_prompt(&self) -> Result<bool, SourceFailure> {
        let (parts, now) = (&self.call.head.shared_parts, Instant::now());
        let mut table = self.state.poison.borrow_mut();
        let is_blamed = table.is_blamed(parts, now);
        match table.verdict(parts, self.state.is_holder(), now) {
            Some(blamed) => Err(SourceFailure::PoisonPrompt(blamed.to_string().into())),
            None => Ok(is_blamed),
        }
    }

    /// Records that an endpoint has gone on past the beginning of the answer, or has ended it.
    fn record_answer(&self) {
        let parts = &self.call.head.shared_parts;
        self.state.poison.borrow_mut().record_answer(parts, Instant::now());
    }

    /// Records that an endpoint broke off the stream before it went on past its first event.
    fn record_cut(&self, first: &EndpointEntry) {
        let head = &self.call.head;
        let mut hasher = Sha256::new();
        hasher.update(head.own_part.as_deref().unwrap_or(&head.attempt));
        let tag = hasher.finalize().first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes));
        let mut table = self.state.poison.borrow_mut();
        table.record_break(first.start(), &head.shared_parts, tag, Instant::now());
    }

    /// When the first of the endpoints at which paths start wants requests again, if all have asked
    /// for a pause.
    pub(crate) fn pause_end(&self) -> Option<Instant> {
        let starts = |entry: &EndpointEntry| {
            entry.layers.is_some_and(|span| span.from == 0 && span.count() > 0)
        };
        self.state.first_pause_end(&self.call.service, starts)
    }

    pub(crate) fn log_fault(&self, path: &[PathStage], fault: &str) {
        let stages: Vec<&str> = path.iter().map(|stage| &*stage.name).collect();
        log::info!(
            event = "stream_fault", attempt = &*self.call.head.attempt, sends = self.sends(), fault,
            stages:? = stages, parts:? = self.call.head.shared_parts,
            last_event = self.last_event_id.get().unwrap_or(0),
            silent_ms = self.last_event_at.get().elapsed().as_millis() as u64,
            age_ms = self.call.arrived.elapsed().as_millis() as u64; "stream failed on its path"
        );
    }

    /// Records that the request is over at a first stage.
    fn record_over(&self, first: &EndpointEntry) {
        self.attempts.borrow_mut().record_over(first.start(), Instant::now());
    }

    /// Records that the connection to a first stage broke, and finds out whether it has ended.
    fn record_broken(&self, first: &EndpointEntry) {
        self.record_over(first);
        tokio::task::spawn_local(probe_entry(self.state.clone(), first.clone()));
    }

    /// Endpoints that count against the maximum number of attempts, by their starts.
    fn counted_attempts(&self) -> Vec<EndpointName> {
        let mut attempts = self.attempts.borrow_mut();
        attempts.counted(|endpoint, at| self.state.has_ended_since(endpoint, at))
    }

    fn log_resend(&self, first: &EndpointEntry, resume_after: Option<u64>) {
        log::info!(
            event = "stream_resent", attempt = &*self.call.head.attempt, endpoint = &*first.name,
            sends = self.sends(), counted:? = self.counted_attempts(),
            resume_after = resume_after.unwrap_or(0); "stream is sent again"
        );
    }

    /// After the maximum number of attempts, a path must start at an endpoint that was tried before.
    fn start_limits(&self) -> StartLimits {
        let counted = self.counted_attempts();
        let held = self.held.borrow();
        let mut avoid: BTreeSet<_> = self.avoid.borrow().union(&held).cloned().collect();
        if counted.len() >= self.call.route.max_attempts.max(1) as usize {
            let starts = counted.into_iter().filter(|name| !held.contains(name)).collect();
            return StartLimits { starts: Some(starts), avoid };
        }
        avoid.extend(self.attempts.borrow().over().cloned());
        StartLimits { starts: None, avoid }
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

    /// Calls a function with the requirements for the next path.
    fn with_query<T>(&self, run: impl FnOnce(&EntryState, &PathQuery<'_>) -> T) -> T {
        let limits = self.start_limits();
        let query = PathQuery {
            service: &self.call.service,
            tokens: self.expected_tokens(),
            starts: limits.starts.as_ref(),
            avoid: &limits.avoid,
        };
        run(&self.state, &query)
    }

    fn find_path(&self) -> Option<Rc<[PathStage]>> {
        self.with_query(|state, query| state.find_path(query))
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
        if self.last_event_id.get().is_some() {
            WaitClass::Interrupted
        } else if is_retried || self.sends() > 0 {
            WaitClass::Retried
        } else {
            WaitClass::New
        }
    }

    /// Waits for a path with room, for as long as the caller benefits from it.
    async fn wait_for_path(&self) -> Result<Rc<[PathStage]>, SourceFailure> {
        // An interrupted stream may wait until its caller gives up.
        let until = match self.wait_class() {
            WaitClass::Interrupted => self.last_event_at.get() + CALLER_TIMEOUT,
            WaitClass::Retried | WaitClass::New => Instant::now() + MAX_PATH_WAIT,
        };
        let until = until.min(self.call.deadline);
        // A stream that may start at few endpoints would hold up those behind it.
        let is_limited = self.start_limits().starts.is_some();
        if (is_limited || self.state.path_queue.borrow().is_empty())
            && let Some(path) = self.find_path()
        {
            return Ok(self.accept_path(path));
        }
        if self.pause_end().is_some_and(|end| end >= until) {
            return Err(SourceFailure::NoPath("all first stages have asked for a pause".into()));
        }
        let guard = (!is_limited)
            .then(|| QueueGuard::new(&self.state, self.wait_class(), self.call.priority));
        let expected_wait = guard.as_ref().map_or(Duration::ZERO, |guard| guard.expected_wait);
        if Instant::now() + expected_wait > until {
            let wait_ms = expected_wait.as_millis();
            return Err(SourceFailure::NoPath(format!("the line is {wait_ms} ms long").into()));
        }
        loop {
            let path_changed = self.state.path_changed.notified();
            if guard.as_ref().is_none_or(QueueGuard::is_first)
                && let Some(path) = self.find_path()
            {
                return Ok(self.accept_path(path));
            }
            if timeout_at(until, path_changed).await.is_err() {
                return Err(SourceFailure::NoPath(
                    self.with_query(|state, query| state.explain_no_path(query)),
                ));
            }
        }
    }
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

/// Keeps other sources of the stream away from a first stage until dropped.
struct StageHold {
    context: Rc<StreamContext>,
    name: EndpointName,
}

impl StageHold {
    fn new(context: &Rc<StreamContext>, name: &EndpointName) -> Self {
        context.held.borrow_mut().insert(name.clone());
        Self { context: context.clone(), name: name.clone() }
    }
}

impl Drop for StageHold {
    fn drop(&mut self) {
        self.context.held.borrow_mut().remove(&self.name);
    }
}

/// One source of a stream's events. Dropping it closes its connection.
pub(crate) struct StreamSource {
    /// Head of the reply, once the source has opened.
    pub(crate) head: Option<SourceHead>,
    steps: LocalBoxStream<'static, SourceStep>,
    is_silent: Rc<Cell<bool>>,
}

impl StreamSource {
    /// Creates a source that sends the request once it is polled. Sends after the first take a retry
    /// from the budget.
    pub(crate) fn new(
        context: &Rc<StreamContext>,
        resume_after: Option<u64>,
        retry: Option<RetryReason>,
    ) -> Self {
        let is_silent = Rc::new(Cell::new(false));
        let reader = SourceReader {
            context: context.clone(),
            is_silent: is_silent.clone(),
            resume_after,
            retry,
            framer: EventFramer::new(context.state.pool.budget()),
            open: None,
        };
        let steps = stream::unfold(Some(reader), |reader| async move {
            let mut reader = reader?;
            let step = reader.next_step().await.unwrap_or_else(SourceStep::Failed);
            let is_last = matches!(step, SourceStep::Ended | SourceStep::Failed(_));
            Some((step, (!is_last).then_some(reader)))
        });
        Self { head: None, steps: steps.boxed_local(), is_silent }
    }

    /// Polls for the next step; there is none after `Ended` or `Failed`.
    pub(crate) fn poll_step(&mut self, context: &mut Context<'_>) -> Poll<SourceStep> {
        if let Poll::Ready(Some(step)) = self.steps.poll_next_unpin(context) {
            self.is_silent.set(false);
            return Poll::Ready(step);
        }
        if self.is_silent.take() { Poll::Ready(SourceStep::Silent) } else { Poll::Pending }
    }
}

/// A stream whose first stage has sent the head of its reply.
struct OpenStream {
    guard: StreamGuard,
    first: EndpointEntry,
    body: ReplyBody,
    lease: ConnectionLease,
    silence: SilenceHandler,
    /// Number of times that complete events arrived.
    arrivals: u32,
    _hold: StageHold,
}

/// The state of a source between two steps.
struct SourceReader {
    context: Rc<StreamContext>,
    is_silent: Rc<Cell<bool>>,
    resume_after: Option<u64>,
    retry: Option<RetryReason>,
    framer: EventFramer,
    open: Option<OpenStream>,
}

impl SourceReader {
    async fn next_step(&mut self) -> Result<SourceStep, SourceFailure> {
        if self.open.is_none() { self.open().await } else { self.read().await }
    }

    /// Waits for a path, sends the request on it and waits for the head of the reply.
    async fn open(&mut self) -> Result<SourceStep, SourceFailure> {
        let context = self.context.clone();
        let state = &context.state;
        let is_trial = context.check_prompt()?;
        let path = context.wait_for_path().await?;
        if !is_trial {
            context.check_prompt()?;
        }
        let Some(first) = state.endpoint(&path[0].name) else {
            return Err(SourceFailure::NotRun("first stage has left".into()));
        };
        if self.retry.is_some_and(|reason| !context.take_retry(reason)) {
            return Err(SourceFailure::NoPath("the retry budget is spent".into()));
        }
        let urgency = match context.sends() {
            0 => (NEW_URGENCY + context.call.priority).min(LOWEST_URGENCY),
            _ => RESUMED_URGENCY,
        };
        if context.sends() > 0 {
            context.log_resend(&first, self.resume_after);
        }
        context.sends.set(context.sends() + 1);
        context.attempts.borrow_mut().record_send(first.start());
        let hold = StageHold::new(&context, &first.name);
        let inflight = state.inflight.clone();
        let guard = StreamGuard::new(inflight, path, context.expected_tokens(), Instant::now());
        let mut silence = SilenceHandler::new(&self.is_silent);
        let sent = self.send(&guard, &first, urgency, &mut silence).await?;
        let parts = sent.reply.parts;
        let lease = sent.reply.lease;
        let body = lease.meter(sent.reply.body);
        let open = OpenStream { guard, first, body, lease, silence, arrivals: 0, _hold: hold };
        self.open = Some(open);
        Ok(SourceStep::Opened(SourceHead { status: parts.status, headers: parts.headers }))
    }

    /// Sends the request on the path of `guard` and waits for the head of a stream.
    async fn send(
        &self,
        guard: &StreamGuard,
        first: &EndpointEntry,
        urgency: u8,
        silence: &mut SilenceHandler,
    ) -> Result<SentReply, SourceFailure> {
        let context = &self.context;
        let path = guard.record().path();
        let target = SendTarget {
            endpoint: first,
            path: &path,
            resume_after: self.resume_after,
            urgency: Some(urgency),
        };
        let mut sending = std::pin::pin!(send(&context.state, &context.call, target));
        loop {
            tokio::select! {
                sent = &mut sending => return match sent {
                    Ok(sent) => self.check_reply(guard, first, sent).await,
                    Err(error) => Err(self.send_failure(guard, first, &error)),
                },
                () = silence.search_due(guard.record()) => {
                    if let Err(failure) = silence.handle(context, guard, first).await {
                        return Err(self.log_failure(guard, failure));
                    }
                }
            }
        }
    }

    /// Failure of a send that got no reply.
    fn send_failure(
        &self,
        guard: &StreamGuard,
        first: &EndpointEntry,
        error: &SendError,
    ) -> SourceFailure {
        let context = &self.context;
        context.avoid.borrow_mut().insert(first.name.clone());
        let reason: Box<str> = error.to_string().into();
        if matches!(error, SendError::NotSent { .. }) {
            context.attempts.borrow_mut().record_unsent(first.start());
            tokio::task::spawn_local(probe(context.state.clone(), first.name.clone()));
            return self.log_failure(guard, SourceFailure::NotRun(reason));
        }
        context.record_broken(first);
        self.log_failure(guard, SourceFailure::Unknown(reason))
    }

    /// Checks that a reply is a stream of the endpoint.
    async fn check_reply(
        &self,
        guard: &StreamGuard,
        first: &EndpointEntry,
        sent: SentReply,
    ) -> Result<SentReply, SourceFailure> {
        let context = &self.context;
        let state = &context.state;
        let status = sent.reply.parts.status;
        if sent.is_not_run() {
            let path = guard.record().path();
            let at = sent.head.fault_at.and_then(|address| stage_at(&path, address));
            let culprit = at.map_or(&first.name, |stage| &stage.name).clone();
            if status == StatusCode::MISDIRECTED_REQUEST {
                // Another endpoint may have taken over the address.
                context.record_broken(first);
                exclude_endpoint(state, &culprit, "does not hold its layers");
            } else if !state.mark_overloaded(&culprit) {
                tokio::task::spawn_local(check_refusal(state.clone(), culprit.clone()));
            }
            context.record_over(first);
            context.avoid.borrow_mut().insert(culprit.clone());
            sent.reply.lease.return_to_pool();
            let reason = format!("{culprit} refused with {status}");
            return Err(self.log_failure(guard, SourceFailure::NotRun(reason.into())));
        }
        if !sent.is_genuine() {
            let reason = "answer is not the endpoint's".into();
            return Err(self.log_failure(guard, SourceFailure::Unknown(reason)));
        }
        if status == StatusCode::OK {
            return Ok(sent);
        }
        let reason = format!("first stage answered {status}");
        if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
            context.record_over(first);
            context.avoid.borrow_mut().insert(first.name.clone());
            return Err(self.log_failure(guard, SourceFailure::Unknown(reason.into())));
        }
        let answer = read_answer(state, sent.reply);
        let (parts, body) = match timeout_at(context.call.deadline, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                let reason = format!("{reason}, then: {error}").into();
                return Err(self.log_failure(guard, SourceFailure::Unknown(reason)));
            }
            Err(_) => return Err(self.log_failure(guard, SourceFailure::Unknown(reason.into()))),
        };
        let response = endpoint_response(status, &parts.headers, full_body(body));
        Err(SourceFailure::Response(Box::new(response)))
    }

    /// Logs the fault of a failure, if it has one, and passes the failure on.
    fn log_failure(&self, guard: &StreamGuard, failure: SourceFailure) -> SourceFailure {
        if let SourceFailure::NotRun(fault) | SourceFailure::Unknown(fault) = &failure {
            self.context.log_fault(&guard.record().path(), fault);
        }
        failure
    }

    /// Waits for the next complete events or the end of the stream.
    async fn read(&mut self) -> Result<SourceStep, SourceFailure> {
        let Some(mut open) = self.open.take() else {
            return Err(SourceFailure::Unknown("stream is not open".into()));
        };
        open.guard.record().set_waiting(true, Instant::now());
        let result = read_events(&self.context, &mut open, &mut self.framer).await;
        open.guard.record().set_waiting(false, Instant::now());
        match result {
            Ok(Some(events)) => {
                open.arrivals += 1;
                if open.arrivals == ANSWERED_ARRIVALS {
                    self.context.record_answer();
                }
                self.open = Some(open);
                Ok(SourceStep::Events(events, self.framer.last_event_id()))
            }
            Ok(None) => {
                let OpenStream { guard, lease, arrivals, .. } = open;
                if arrivals < ANSWERED_ARRIVALS {
                    self.context.record_answer();
                }
                lease.return_to_pool();
                drop(guard);
                self.context.state.wake_queue();
                Ok(SourceStep::Ended)
            }
            Err(failure) => Err(self.log_failure(&open.guard, failure)),
        }
    }
}

/// Reads the next complete events; `None` at the end of the stream.
async fn read_events(
    context: &Rc<StreamContext>,
    open: &mut OpenStream,
    framer: &mut EventFramer,
) -> Result<Option<Bytes>, SourceFailure> {
    let OpenStream { guard, first, body, silence, arrivals, .. } = open;
    let record_broken = || {
        if *arrivals < ANSWERED_ARRIVALS {
            context.record_cut(first);
        }
        context.record_broken(first);
    };
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = silence.search_due(guard.record()) => {
                silence.handle(context, guard, first).await?;
                continue;
            }
        };
        let bytes = match frame {
            None if framer.has_partial() => {
                record_broken();
                return Err(SourceFailure::Unknown("ended within an event".into()));
            }
            None => return Ok(None),
            Some(Err(error)) => {
                record_broken();
                return Err(SourceFailure::Unknown(format!("broke off: {error}").into()));
            }
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => bytes,
                Err(_trailers) => continue,
            },
        };
        guard.record_event(Instant::now());
        if let Some(complete) = framer.push(bytes) {
            return Ok(Some(complete));
        }
        if framer.is_over_limit() {
            return Err(SourceFailure::Unknown("an event is too large".into()));
        }
    }
}

/// Looks for detours while a source is silent.
struct SilenceHandler {
    is_silent: Rc<Cell<bool>>,
    /// When to look again, after a search that found none.
    next_search: Option<Instant>,
    retry_delay: Duration,
}

impl SilenceHandler {
    fn new(is_silent: &Rc<Cell<bool>>) -> Self {
        let is_silent = is_silent.clone();
        Self { is_silent, next_search: None, retry_delay: REROUTE_RETRY_DELAY }
    }

    /// Waits until a detour is to be searched for.
    async fn search_due(&self, record: &StreamRecord) {
        match self.next_search {
            Some(at) => sleep_until(at).await,
            None => record.reroute_due().await,
        }
    }

    /// Moves the stream past lost stages. Fails only if a stage is known to have ended and nothing
    /// stands in for it: one that is silent may go on.
    async fn handle(
        &mut self,
        context: &Rc<StreamContext>,
        guard: &StreamGuard,
        first: &EndpointEntry,
    ) -> Result<(), SourceFailure> {
        let record = guard.record();
        let was_silent = self.next_search.take().is_some();
        if was_silent && record.silence(Instant::now()) < MIN_SILENCE {
            self.retry_delay = REROUTE_RETRY_DELAY;
            return Ok(());
        }
        if reroute(&context.state, &context.call, guard).await {
            return Ok(());
        }
        if context.state.is_replaced(first) {
            context.record_broken(first);
            return Err(SourceFailure::Unknown("first stage has started again".into()));
        }
        let silence = record.silence(Instant::now());
        if silence < MIN_SILENCE {
            self.next_search = Some(Instant::now() + (MIN_SILENCE - silence));
            return Ok(());
        }
        let path = record.path();
        if let Some(stage) = path[1..].iter().find(|stage| context.state.has_ended(stage)) {
            let reason = format!("{} has ended, and nothing stands in for it", stage.name);
            return Err(SourceFailure::Unknown(reason.into()));
        }
        self.next_search = Some(Instant::now() + self.retry_delay);
        self.retry_delay *= 2;
        self.is_silent.set(true);
        Ok(())
    }
}
