//! What the sources of one stream share: where its request was sent, and where it may be sent next.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use jacinthrock::{EndpointName, HostName, ServiceName};
use tokio::time::{Instant, timeout_at};

use crate::adapter::PromptPart;
use crate::attempts::AttemptLog;
use crate::call::AllowedCall;
use crate::demand::DemandMeter;
use crate::endpoints::EndpointEntry;
use crate::failure::SourceFailure;
use crate::forward::{self, ForwardHost, ForwardRetry};
use crate::path::{PathStage, crossings};
use crate::queue::{QueuePosition, WaitClass};
use crate::returns::{MIN_RETURN_DELAY, ReturnSchedule};
use crate::routing::PathQuery;
use crate::sending::probe_entry;
use crate::state::{EntryState, RetryPermit};
use crate::waiting::CALLER_TIMEOUT;

/// Maximum wait for a path when none has room: most of the delay of the first event that callers
/// tolerate. Beyond that, a refusal with a retry delay serves them better.
const MAX_PATH_WAIT: Duration = Duration::from_millis(350);
/// A request whose deadline is shorter than the route's timeout by more than this margin is a
/// retry, since callers count their deadline from the first attempt.
const RETRY_DEADLINE_MARGIN: Duration = Duration::from_millis(100);
/// Part of the retry budget reserved for resuming interrupted streams. A stream without any event
/// yet can be refused, and its caller may retry; a silent one may go on by itself.
const RESUME_RESERVED_SHARE: f64 = 0.2;
/// Maximum sends per stream, regardless of the rules; more would only add to an overload.
const MAX_SENDS: u32 = 4;

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

/// What the sources of one stream share.
pub(crate) struct StreamContext {
    pub(crate) state: Rc<EntryState>,
    pub(crate) call: Rc<AllowedCall>,
    pub(crate) last_event_id: Cell<Option<u64>>,
    /// Time of the last event, or of the request's arrival before the first.
    pub(crate) last_event_at: Cell<Instant>,
    /// Whether the streams of the service have different priorities.
    pub(crate) has_priorities: bool,
    /// Whether the caller has returned after a refusal; `None` before that was looked up.
    is_returned: OnceCell<bool>,
    /// Total time for which the stream waited for paths.
    pub(crate) waited: Cell<Duration>,
    sends: Cell<u32>,
    attempts: RefCell<AttemptLog>,
    /// Endpoints that failed or refused the stream.
    avoid: RefCell<BTreeSet<EndpointName>>,
    /// First stages on which sources wait.
    held: RefCell<BTreeSet<EndpointName>>,
    /// Other hosts that the stream was passed on to.
    tried_hosts: RefCell<BTreeSet<HostName>>,
    /// Whether the source that was opened last is at another host.
    pub(crate) is_forwarded: Cell<bool>,
}

/// Endpoints at which the next path of a stream may start.
pub(crate) struct StartLimits {
    /// Endpoints to choose from, once the route allows no others.
    pub(crate) starts: Option<BTreeSet<EndpointName>>,
    avoid: BTreeSet<EndpointName>,
}

impl StreamContext {
    pub(crate) fn new(state: &Rc<EntryState>, call: Rc<AllowedCall>) -> Self {
        let rules = state.rules();
        Self {
            state: state.clone(),
            last_event_id: Cell::new(None),
            last_event_at: Cell::new(call.arrived),
            has_priorities: rules.is_some_and(|rules| rules.has_priorities(&call.service)),
            is_returned: OnceCell::new(),
            waited: Cell::new(Duration::ZERO),
            sends: Cell::new(0),
            attempts: RefCell::default(),
            avoid: RefCell::default(),
            held: RefCell::default(),
            tried_hosts: RefCell::default(),
            is_forwarded: Cell::new(false),
            call,
        }
    }

    /// Changes the counts of this host's demand, which cover services with priorities only.
    pub(crate) fn count_demand(
        &self,
        record: impl FnOnce(&mut DemandMeter, &ServiceName, u8, Instant),
    ) {
        if self.has_priorities {
            let mut meter = self.state.demand.borrow_mut();
            record(&mut meter, &self.call.service, self.call.level, Instant::now());
        }
    }

    /// Changes or reads the outcomes of the service's streams.
    pub(crate) fn change_returns<T>(&self, change: impl FnOnce(&mut ReturnSchedule) -> T) -> T {
        let mut schedules = self.state.return_schedules.borrow_mut();
        change(schedules.get_mut(&self.call.service, self.has_priorities))
    }

    /// Shortest delay after which the caller is to come back, with the wait in the queue of its
    /// service.
    pub(crate) fn return_delay(&self, now: Instant) -> Duration {
        let remaining = self.call.remaining();
        let delay = self.change_returns(|schedule| schedule.delay(now, remaining));
        if !self.has_priorities {
            return delay + self.state.path_queue.borrow().drain_time();
        }
        let wait = self.wait_after_return(now + delay, now);
        self.change_returns(|schedule| schedule.delay_with_wait(now, remaining, wait))
    }

    /// The next host that the stream is passed on to; none while this host reaches the service, or
    /// if no other host may be asked.
    pub(crate) fn next_host(&self) -> Option<ForwardHost> {
        forward::next_host(&self.state, &self.call, &self.tried_hosts.borrow())
    }

    /// Records that the stream is passed on to a host.
    pub(crate) fn record_host(&self, host: &ForwardHost) {
        self.tried_hosts.borrow_mut().insert(host.name.clone());
        self.is_forwarded.set(true);
    }

    /// Records that another host may have run the request.
    pub(crate) fn record_forwarded_send(&self) {
        self.sends.set(self.sends() + 1);
    }

    /// Waits until this host has lost connectivity to the service and another one may be asked.
    pub(crate) async fn host_due(&self) -> ForwardHost {
        loop {
            forward::lost(&self.state, &self.call.service).await;
            match self.next_host() {
                Some(host) => return host,
                None => self.state.reach_changed.notified().await,
            }
        }
    }

    /// Waits until this host has lost connectivity to the service of a stream that another host has
    /// passed on; that host can resume it at once. Does not end for other streams.
    pub(crate) async fn return_due(&self) {
        if self.call.forwarded().is_none() {
            std::future::pending::<()>().await;
        }
        forward::lost(&self.state, &self.call.service).await;
    }

    /// Whether the stream can go on at another host, once it is known whether this one has lost
    /// connectivity; waits only if connections to the service have just failed.
    pub(crate) async fn may_go_on_elsewhere(&self) -> bool {
        forward::resolve_doubt(&self.state, &self.call.service).await
            && self.may_resend(RetryReason::Fault)
            && self.next_host().is_some()
    }

    /// Whether the route allows the stream at a further endpoint beside that of a host which does not
    /// answer.
    pub(crate) fn allows_second_host(&self) -> bool {
        self.sends() + 1 < self.call.route.max_attempts.max(1)
    }

    /// Number of times that the request was sent or tried to be sent.
    pub(crate) fn sends(&self) -> u32 {
        self.sends.get()
    }

    /// Records that the request is being sent to a first stage.
    pub(crate) fn record_send(&self, first: &EndpointEntry) {
        self.sends.set(self.sends() + 1);
        self.attempts.borrow_mut().record_send(first.start());
    }

    /// Takes back a send that got no connection.
    pub(crate) fn record_unsent(&self, first: &EndpointEntry) {
        self.attempts.borrow_mut().record_unsent(first.start());
    }

    /// Keeps the stream away from an endpoint that failed or refused it.
    pub(crate) fn avoid(&self, name: &EndpointName) {
        self.avoid.borrow_mut().insert(name.clone());
    }

    /// Whether the request may be sent again, as far as the route, the retry budget and the time
    /// allow it.
    pub(crate) fn may_resend(&self, reason: RetryReason) -> bool {
        if self.next_host().is_some() {
            return !self.call.is_doubtful(&self.state)
                && !self.call.remaining().is_zero()
                && ((self.sends() == 0 && reason == RetryReason::Fault)
                    || self.is_interrupted(reason)
                    || self.state.has_retry(&self.call.service, self.reserved_share(reason)));
        }
        self.sends() < MAX_SENDS
            && !self.call.is_doubtful(&self.state)
            && !self.call.remaining().is_zero()
            && self.state.has_retry(&self.call.service, self.reserved_share(reason))
            && (reason == RetryReason::Fault || self.may_hedge())
    }

    /// Why [`may_resend`](Self::may_resend) does not allow another send, for logs.
    pub(crate) fn resend_obstacle(&self, reason: RetryReason) -> &'static str {
        let has_retry = self.state.has_retry(&self.call.service, self.reserved_share(reason));
        match self.next_host() {
            _ if self.call.is_doubtful(&self.state) => "doubtful",
            _ if !has_retry => "retry_budget",
            None if self.sends() >= MAX_SENDS => "sends",
            _ => "other",
        }
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
        let is_resumed_for = self.call.forwarded().is_some_and(|forwarded| forwarded.takes_retry);
        if self.is_interrupted(reason) || is_resumed_for { 0.0 } else { RESUME_RESERVED_SHARE }
    }

    /// Whether another send would resume the stream after an event.
    fn is_interrupted(&self, reason: RetryReason) -> bool {
        reason == RetryReason::Fault && self.last_event_id.get().is_some()
    }

    /// Takes a retry from this host's share of the budget.
    pub(crate) fn take_retry(&self, reason: RetryReason) -> Option<RetryPermit> {
        let reserved = self.reserved_share(reason);
        self.state.take_retry(&self.call.service, reason.label(), reserved)
    }

    /// Takes a retry for a send to another host: from this host's share, or else from that of the
    /// other host if the stream is interrupted.
    pub(crate) fn take_forward_retry(&self, reason: RetryReason) -> Option<ForwardRetry> {
        let own = self.take_retry(reason).map(ForwardRetry::Own);
        own.or_else(|| self.is_interrupted(reason).then_some(ForwardRetry::OfReceiver))
    }

    /// Fails if the request or a part of its prompt is known to crash endpoints. Returns whether it
    /// is sent as a trial all the same.
    pub(crate) fn check_poison(&self) -> Result<bool, SourceFailure> {
        self.call.check_poison(&self.state).map_err(SourceFailure::Poison)
    }

    /// Records that an endpoint has gone on past the beginning of the answer, or has ended it.
    pub(crate) fn record_answer(&self) {
        self.call.record_answer(&self.state);
    }

    /// Records that an endpoint broke off the stream before it went on past its first event. `parts`
    /// are those parts of its prompt that may be the cause, apart from the request itself.
    pub(crate) fn record_cut(&self, first: &EndpointEntry, parts: &[PromptPart]) {
        self.call.record_cut(&self.state, first, parts);
    }

    /// When the first of the endpoints at which paths start takes requests again, if none does at
    /// present.
    pub(crate) fn next_opening(&self) -> Option<Instant> {
        let starts = |entry: &EndpointEntry| {
            entry.layers.is_some_and(|span| span.from == 0 && span.count() > 0)
        };
        self.state.first_opening(&self.call.service, 0, starts)
    }

    pub(crate) fn log_fault(&self, path: &[PathStage], fault: &str) {
        let stages: Vec<&str> = path.iter().map(|stage| &*stage.name).collect();
        log::info!(
            event = "stream_fault", attempt = &*self.call.head.attempt,
            request:% = self.call.fingerprint(), sends = self.sends(), fault,
            stages:? = stages, parts:? = self.call.head.shared_parts,
            last_event = self.last_event_id.get().unwrap_or(0),
            silent_ms = self.last_event_at.get().elapsed().as_millis() as u64,
            age_ms = self.call.arrived.elapsed().as_millis() as u64; "stream failed on its path"
        );
    }

    /// Records that the request is over at a first stage.
    pub(crate) fn record_over(&self, first: &EndpointEntry) {
        self.attempts.borrow_mut().record_over(first.start(), Instant::now());
    }

    /// Records that the connection to a first stage broke, and finds out whether it has ended.
    pub(crate) fn record_broken(&self, first: &EndpointEntry) {
        self.record_over(first);
        tokio::task::spawn_local(probe_entry(self.state.clone(), first.clone()));
    }

    /// Endpoints that count against the maximum number of attempts, by their starts.
    fn counted_attempts(&self) -> Vec<EndpointName> {
        let mut attempts = self.attempts.borrow_mut();
        attempts.counted(|endpoint, at| self.state.has_ended_since(endpoint, at))
    }

    pub(crate) fn log_resend(&self, first: &EndpointEntry, resume_after: Option<u64>) {
        log::info!(
            event = "stream_resent", attempt = &*self.call.head.attempt, endpoint = &*first.name,
            sends = self.sends(), counted:? = self.counted_attempts(),
            resume_after = resume_after.unwrap_or(0); "stream is sent again"
        );
    }

    /// After the maximum number of attempts, a path must start at an endpoint that was tried before.
    pub(crate) fn start_limits(&self) -> StartLimits {
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
    pub(crate) fn expected_tokens(&self) -> u32 {
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
    pub(crate) fn with_query<T>(&self, run: impl FnOnce(&EntryState, &PathQuery<'_>) -> T) -> T {
        let limits = self.start_limits();
        let query = PathQuery {
            service: &self.call.service,
            tokens: self.expected_tokens(),
            starts: limits.starts.as_ref(),
            avoid: &limits.avoid,
            ignores_rates: false,
        };
        run(&self.state, &query)
    }

    pub(crate) fn find_path(&self) -> Option<Rc<[PathStage]>> {
        self.with_query(|state, query| state.find_path(query))
    }

    /// Records that the stream takes a path.
    pub(crate) fn accept_path(&self, path: Rc<[PathStage]>) -> Rc<[PathStage]> {
        let now = Instant::now();
        self.state.path_queue.borrow_mut().record_served(now);
        if self.sends() == 0 {
            self.count_demand(match self.is_new() {
                true => DemandMeter::record_started,
                false => DemandMeter::record_returned,
            });
        }
        let crossings = crossings(&path);
        self.state.consume_crossings(crossings);
        self.state.debit_crossings(&self.call.service, self.expected_tokens(), crossings);
        path
    }

    /// Records that the stream is refused for lack of capacity, so that its caller is known when it
    /// returns.
    pub(crate) fn record_refusal(&self, now: Instant) {
        self.change_returns(|schedule| schedule.record_refused(now));
        if self.has_priorities {
            self.state.refusals.borrow_mut().record(self.call.return_key(), now);
        }
    }

    fn is_returned(&self) -> bool {
        *self.is_returned.get_or_init(|| {
            let now = Instant::now();
            let (loads, mut own) =
                (self.state.peer_loads.borrow(), self.state.refusals.borrow_mut());
            let others = loads.refused(now).filter(|filter| !filter.is_empty());
            if others.is_none() && own.is_empty(now) {
                return false;
            }
            let key = self.call.return_key();
            own.contains(key, now) || others.is_some_and(|filter| filter.contains(key))
        })
    }

    /// Time between the first attempt of the caller and this one, if it returns after a refusal; the
    /// shortest possible one where it is not known.
    pub(crate) fn retry_age(&self) -> Option<Duration> {
        if self.has_priorities {
            return self.is_returned().then_some(MIN_RETURN_DELAY);
        }
        let deadline = self.call.head.deadline?;
        let is_retried = deadline.saturating_add(RETRY_DEADLINE_MARGIN) < self.call.route.timeout;
        is_retried.then(|| self.call.route.timeout - deadline)
    }

    /// Whether the caller sends the request for the first time, as far as its head tells.
    pub(crate) fn is_new(&self) -> bool {
        self.retry_age().is_none() && self.call.head.resume_after.is_none()
    }

    /// Class of the stream in the queue.
    pub(crate) fn wait_class(&self) -> WaitClass {
        if self.last_event_id.get().is_some() {
            WaitClass::Interrupted
        } else if self.retry_age().is_some() || self.sends() > 0 {
            WaitClass::Retried
        } else {
            WaitClass::New
        }
    }

    /// Waits for a path with room, for as long as the caller benefits from it.
    pub(crate) async fn wait_for_path(&self) -> Result<Rc<[PathStage]>, SourceFailure> {
        let began = Instant::now();
        let found = if self.has_priorities {
            self.search_by_objective().await
        } else {
            self.search_path().await
        };
        self.waited.set(self.waited.get() + began.elapsed());
        let first = found.as_ref().ok().and_then(|path| path.first());
        self.state.record_held_back(&self.call.service, first);
        found
    }

    async fn search_path(&self) -> Result<Rc<[PathStage]>, SourceFailure> {
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
        if self.next_opening().is_some_and(|opening| opening >= until) {
            return Err(SourceFailure::NoPath("no first stage takes requests at present".into()));
        }
        let guard = (!is_limited).then(|| QueueGuard::new(self));
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
struct QueueGuard<'a> {
    context: &'a StreamContext,
    position: QueuePosition,
    expected_wait: Duration,
}

impl<'a> QueueGuard<'a> {
    fn new(context: &'a StreamContext) -> Self {
        let mut queue = context.state.path_queue.borrow_mut();
        let (position, expected_wait) = queue.join(context.wait_class(), context.call.priority);
        Self { context, position, expected_wait }
    }

    fn is_first(&self) -> bool {
        self.context.state.path_queue.borrow().is_first(self.position)
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.context.state.path_queue.borrow_mut().leave(self.position);
        self.context.state.path_changed.notify_waiters();
    }
}

/// Keeps other sources of the stream away from a first stage until dropped.
pub(crate) struct StageHold {
    context: Rc<StreamContext>,
    name: EndpointName,
}

impl StageHold {
    pub(crate) fn new(context: &Rc<StreamContext>, name: &EndpointName) -> Self {
        context.held.borrow_mut().insert(name.clone());
        Self { context: context.clone(), name: name.clone() }
    }
}

impl Drop for StageHold {
    fn drop(&mut self) {
        self.context.held.borrow_mut().remove(&self.name);
    }
}
