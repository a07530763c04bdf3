//! Admission control: decides which requests start, wait or are refused.

use futures::FutureExt;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::codes::ResultCode;
use crate::endpoint::PriorityClass;
use crate::ids::{CustomerName, ServiceName};
use crate::metrics::{MetricName, MetricRegistry};
use crate::queue::{ALL_CLASSES, FairQueue, QueueOptions, TicketNumber};

/// Interval at which the deadlines of waiting requests are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);

/// Bounds of the retry delay that a refused caller is given, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Retry delay while this host drains, in which a caller can reach another host.
const DRAINING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Smoothing factor of the moving average and deviation of service times.
const ESTIMATE_GAIN: f64 = 0.1;

/// Half-life of an estimate while nothing runs. Without decay, a stale high estimate would refuse
/// every request and never be corrected.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_secs(2);

/// A request for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Service whose capacity the request uses.
    pub service: ServiceName,
    /// Customer that sent the request.
    pub customer: CustomerName,
    /// Fair-queueing weight of the customer.
    pub share: u32,
    /// Priority class.
    pub priority: PriorityClass,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Maximum number of requests waiting for the service.
    pub queue_length: u32,
}

/// Why a request is refused, and when the caller should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("request refused with code {}; retry after {retry_after:?}", code.number())]
pub struct AdmissionRefusal {
    /// Result code.
    pub code: ResultCode,
    /// Delay after which capacity is likely to be available.
    pub retry_after: Duration,
}

/// Policies of an [`AdmissionGate`]; only tests and measurements disable them.
#[derive(Clone, Copy, Debug)]
pub struct GateOptions {
    /// Whether customers of a class share capacity by weight.
    pub fair_sharing: bool,
    /// Starts of other classes after which a waiting class is served next; 0 means no limit.
    pub starvation_limit: u32,
    /// Whether requests that can't meet their deadline are refused.
    pub deadline_refusal: bool,
    /// Whether retry delays are staggered and jittered.
    pub spread_retries: bool,
}

impl Default for GateOptions {
    fn default() -> Self {
        Self {
            fair_sharing: true,
            starvation_limit: 20,
            deadline_refusal: true,
            spread_retries: true,
        }
    }
}

/// Input to an [`AdmissionGate`].
#[derive(Clone, Debug)]
pub enum GateEvent {
    /// A request arrived under a new ticket.
    Arrive(TicketNumber, AdmissionRequest),
    /// An admitted request ended.
    Release(TicketNumber),
    /// The caller cancelled a waiting or admitted request; its service time is not recorded.
    Cancel(TicketNumber),
    /// The number of slots of a service changed.
    Capacity(ServiceName, u32),
    /// The host starts (`true`) or stops (`false`) refusing new requests.
    Draining(bool),
    /// The time returned by [`AdmissionGate::next_wake`] is reached.
    Timer,
}

/// Decision of an [`AdmissionGate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// The request starts now.
    Admit(TicketNumber),
    /// The request is refused.
    Refuse(TicketNumber, AdmissionRefusal),
}

/// Load of one service on this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Maximum number of requests running at once.
    pub slots: u32,
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Moving average of observed service times.
    pub service_time: Duration,
}

/// Admission decisions of one host, as a state machine without I/O.
///
/// ```
/// use jacinthrock::{AdmissionGate, AdmissionRequest, GateAction, GateEvent, GateOptions};
/// use jacinthrock::PriorityClass;
/// use std::time::Duration;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut gate = AdmissionGate::new(GateOptions::default(), 1);
/// gate.handle(now, GateEvent::Capacity("guide".into(), 1));
/// let request = AdmissionRequest {
///     service: "guide".into(),
///     customer: "studio".into(),
///     share: 1,
///     priority: PriorityClass::Guidance,
///     deadline: now + Duration::from_secs(5),
///     queue_length: 10,
/// };
/// assert_eq!(gate.handle(now, GateEvent::Arrive(1, request.clone())), [GateAction::Admit(1)]);
/// assert_eq!(gate.handle(now, GateEvent::Arrive(2, request)), []);
/// assert_eq!(gate.handle(now, GateEvent::Release(1)), [GateAction::Admit(2)]);
/// ```
pub struct AdmissionGate {
    options: GateOptions,
    rng: ChaCha8Rng,
    is_draining: bool,
    services: BTreeMap<ServiceName, ServiceGate>,
    services_by_ticket: BTreeMap<TicketNumber, ServiceName>,
    next_sweep: Option<Instant>,
}

/// Slots, running requests and waiting requests of one service.
struct ServiceGate {
    slots: u32,
    queue: FairQueue,
    waiting: BTreeMap<TicketNumber, WaitingRequest>,
    running: BTreeMap<TicketNumber, RunningRequest>,
    service_time: TimeEstimate,
    class_times: [TimeEstimate; ALL_CLASSES.len()],
    /// Retry time given to the caller refused last.
    last_retry_at: Option<Instant>,
}

#[derive(Clone, Copy)]
struct WaitingRequest {
    class: PriorityClass,
    deadline: Instant,
}

#[derive(Clone, Copy)]
struct RunningRequest {
    class: PriorityClass,
    started: Instant,
}

/// Moving average and mean deviation of service times, in seconds.
#[derive(Clone, Copy, Default)]
struct TimeEstimate {
    mean: f64,
    deviation: f64,
    last_observed: Option<Instant>,
}

impl AdmissionGate {
    /// Creates a gate without any capacity; the seed determines the jitter of retry delays.
    pub fn new(options: GateOptions, seed: u64) -> Self {
        Self {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            is_draining: false,
            services: BTreeMap::new(),
            services_by_ticket: BTreeMap::new(),
            next_sweep: None,
        }
    }

    /// Applies an event and returns the resulting decisions, in order.
    pub fn handle(&mut self, now: Instant, event: GateEvent) -> Vec<GateAction> {
        let mut actions = Vec::new();
        if self.next_sweep.is_some_and(|due| due <= now) {
            self.sweep(now, &mut actions);
        }
        match event {
            GateEvent::Arrive(ticket, request) => self.arrive(now, ticket, request, &mut actions),
            GateEvent::Release(ticket) => self.release(now, ticket, true, &mut actions),
            GateEvent::Cancel(ticket) => self.release(now, ticket, false, &mut actions),
            GateEvent::Capacity(service, slots) => {
                self.set_capacity(now, &service, slots, &mut actions);
            }
            GateEvent::Draining(is_draining) => self.is_draining = is_draining,
            // The sweep above has already done what the timer is for.
            GateEvent::Timer => {}
        }
        self.schedule_sweep(now);
        actions
    }

    /// Time at which [`GateEvent::Timer`] is due; `None` if no request is waiting.
    pub fn next_wake(&self) -> Option<Instant> {
        self.next_sweep
    }

    /// Whether no request is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.services_by_ticket.is_empty()
    }

    /// Load of each service.
    pub fn load(&self, now: Instant) -> BTreeMap<ServiceName, ServiceLoad> {
        let loads = self.services.iter();
        loads.map(|(name, service)| (name.clone(), service.load(now))).collect()
    }

    /// Number of waiting requests of a class, over all services.
    pub fn waiting_in(&self, class: PriorityClass) -> usize {
        self.services.values().map(|service| service.queue.class_len(class)).sum()
    }

    fn arrive(
        &mut self,
        now: Instant,
        ticket: TicketNumber,
        request: AdmissionRequest,
        actions: &mut Vec<GateAction>,
    ) {
        if self.is_draining {
            let retry_after = self.jitter(DRAINING_RETRY_AFTER);
            let refusal = AdmissionRefusal { code: ResultCode::Draining, retry_after };
            actions.push(GateAction::Refuse(ticket, refusal));
            return;
        }
        let name = request.service.clone();
        let service = self.service(&name);
        if service.slots == 0 {
            let refused = [(ticket, ResultCode::NoEndpoint)];
            self.refuse(now, &name, &refused, actions);
            return;
        }
        service.enqueue(ticket, &request);
        self.services_by_ticket.insert(ticket, name.clone());
        self.admit(now, &name, actions);
        let refused = self.services[&name].refused_on_arrival(now, ticket, &request, self.options);
        self.refuse(now, &name, &refused, actions);
    }

    fn release(
        &mut self,
        now: Instant,
        ticket: TicketNumber,
        is_complete: bool,
        actions: &mut Vec<GateAction>,
    ) {
        let Some(name) = self.services_by_ticket.remove(&ticket) else {
            return;
        };
        let service = self.service(&name);
        if service.waiting.remove(&ticket).is_some() {
            service.queue.remove(ticket);
            return;
        }
        service.finish(now, ticket, is_complete);
        self.admit(now, &name, actions);
    }

    fn set_capacity(
        &mut self,
        now: Instant,
        name: &ServiceName,
        slots: u32,
        actions: &mut Vec<GateAction>,
    ) {
        self.service(name).slots = slots;
        if slots > 0 {
            self.admit(now, name, actions);
            return;
        }
        let waiting = self.services[name].queue.tickets();
        let refused: Vec<_> = waiting.map(|ticket| (ticket, ResultCode::NoEndpoint)).collect();
        self.refuse(now, name, &refused, actions);
    }

    /// Starts waiting requests while slots are free.
    fn admit(&mut self, now: Instant, name: &ServiceName, actions: &mut Vec<GateAction>) {
        while let Some((ticket, request)) = self.service(name).take_next() {
            let is_enforced = self.options.deadline_refusal;
            let service = self.service(name);
            if is_enforced && service.misses_deadline(now, now, request) {
                let refused = [(ticket, ResultCode::DeadlineUnreachable)];
                self.refuse(now, name, &refused, actions);
                continue;
            }
            service.start(now, ticket, request.class);
            actions.push(GateAction::Admit(ticket));
        }
    }

    /// Refuses every waiting request that can no longer meet its deadline.
    fn sweep(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
        if !self.options.deadline_refusal {
            return;
        }
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            let refused = self.services[&name].unreachable_tickets(now);
            self.refuse(now, &name, &refused, actions);
        }
    }

    fn refuse(
        &mut self,
        now: Instant,
        name: &ServiceName,
        refused: &[(TicketNumber, ResultCode)],
        actions: &mut Vec<GateAction>,
    ) {
        for &(ticket, code) in refused {
            let service = self.service(name);
            service.queue.remove(ticket);
            service.waiting.remove(&ticket);
            self.services_by_ticket.remove(&ticket);
            let retry_after = self.retry_after(now, name);
            actions.push(GateAction::Refuse(ticket, AdmissionRefusal { code, retry_after }));
        }
    }

    /// Retry delay after the expected drain of the backlog. Successive refusals are spaced by the
    /// mean start interval, so that callers don't all retry at once.
    fn retry_after(&mut self, now: Instant, name: &ServiceName) -> Duration {
        let spread = self.options.spread_retries;
        let service = self.service(name);
        let interval = service.mean_start_interval(now);
        let backlog = interval.mul_f64(service.queue.len() as f64);
        let earliest = now + backlog.min(MAX_RETRY_AFTER);
        if !spread {
            return (earliest + interval - now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        }
        let previous = service.last_retry_at.unwrap_or(earliest).max(earliest);
        let latest = now + MAX_RETRY_AFTER;
        let retry_at = (previous + interval).min(latest);
        service.last_retry_at = Some(retry_at);
        let wait = (retry_at - now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        self.jitter(wait)
    }

    fn jitter(&mut self, wait: Duration) -> Duration {
        if !self.options.spread_retries {
            return wait;
        }
        wait.mul_f64(self.rng.random_range(0.75..1.25))
    }

    fn schedule_sweep(&mut self, now: Instant) {
        let has_waiting = self.services.values().any(|service| service.queue.len() > 0);
        self.next_sweep = match self.next_sweep {
            Some(due) if has_waiting && due > now => Some(due),
            _ if has_waiting => Some(now + SWEEP_INTERVAL),
            _ => None,
        };
    }

    fn service(&mut self, name: &ServiceName) -> &mut ServiceGate {
        let options = self.options;
        self.services.entry(name.clone()).or_insert_with(|| ServiceGate::new(options))
    }
}

impl ServiceGate {
    fn new(options: GateOptions) -> Self {
        let GateOptions { fair_sharing, starvation_limit, .. } = options;
        Self {
            slots: 0,
            queue: FairQueue::new(QueueOptions { fair_sharing, starvation_limit }),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            service_time: TimeEstimate::default(),
            class_times: Default::default(),
            last_retry_at: None,
        }
    }

    fn load(&self, now: Instant) -> ServiceLoad {
        ServiceLoad {
            slots: self.slots,
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            service_time: self.service_time.mean(now, !self.running.is_empty()),
        }
    }

    fn enqueue(&mut self, ticket: TicketNumber, request: &AdmissionRequest) {
        let waiting = WaitingRequest { class: request.priority, deadline: request.deadline };
        self.waiting.insert(ticket, waiting);
        self.queue.push(ticket, request.priority, &request.customer, request.share);
    }

    /// Dequeues the next request if a slot is free.
    fn take_next(&mut self) -> Option<(TicketNumber, WaitingRequest)> {
        if self.running.len() >= self.slots as usize {
            return None;
        }
        let ticket = self.queue.pop()?;
        let request = self.waiting.remove(&ticket).expect("a queued ticket has a waiting request");
        Some((ticket, request))
    }

    fn start(&mut self, now: Instant, ticket: TicketNumber, class: PriorityClass) {
        self.queue.record_start(class);
        self.running.insert(ticket, RunningRequest { class, started: now });
    }

    fn finish(&mut self, now: Instant, ticket: TicketNumber, is_complete: bool) {
        let Some(request) = self.running.remove(&ticket) else {
            return;
        };
        if !is_complete {
            return;
        }
        let elapsed = now.saturating_duration_since(request.started);
        self.service_time.observe(now, elapsed);
        self.class_times[request.class as usize].observe(now, elapsed);
    }

    /// Requests to refuse after this arrival: the request itself or one evicted by it.
    fn refused_on_arrival(
        &self,
        now: Instant,
        ticket: TicketNumber,
        request: &AdmissionRequest,
        options: GateOptions,
    ) -> Vec<(TicketNumber, ResultCode)> {
        if !self.waiting.contains_key(&ticket) {
            return Vec::new();
        }
        if options.deadline_refusal && self.is_unreachable(now, ticket) {
            return vec![(ticket, ResultCode::DeadlineUnreachable)];
        }
        let limit = request.queue_length as usize;
        if self.queue.len() <= limit {
            return Vec::new();
        }
        let evicted = self.queue.eviction_victim(ticket, limit).unwrap_or(ticket);
        vec![(evicted, ResultCode::QueueFull)]
    }

    fn unreachable_tickets(&self, now: Instant) -> Vec<(TicketNumber, ResultCode)> {
        let tickets = self.queue.tickets().filter(|&ticket| self.is_unreachable(now, ticket));
        tickets.map(|ticket| (ticket, ResultCode::DeadlineUnreachable)).collect()
    }

    fn is_unreachable(&self, now: Instant, ticket: TicketNumber) -> bool {
        let Some(&request) = self.waiting.get(&ticket) else {
            return false;
        };
        let start = self.predicted_start(now, self.queue.ahead_of(ticket));
        self.misses_deadline(now, start, request)
    }

    /// Whether a request that starts at `start` misses its deadline even with a service time one
    /// mean deviation below the average.
    fn misses_deadline(&self, now: Instant, start: Instant, request: WaitingRequest) -> bool {
        let is_busy = !self.running.is_empty();
        start + self.class_times[request.class as usize].lower_estimate(now, is_busy)
            > request.deadline
            || start >= request.deadline
    }

    /// Expected start of a request with `ahead` others before it in the queue.
    fn predicted_start(&self, now: Instant, ahead: usize) -> Instant {
        let slots = self.slots.max(1) as usize;
        let mean = self.service_time.mean(now, !self.running.is_empty());
        let mut slot_free_times: Vec<Duration> =
            self.running.values().map(|request| request.remaining(now, mean)).collect();
        slot_free_times.resize(slot_free_times.len().max(slots), Duration::ZERO);
        slot_free_times.sort();
        let excess = slot_free_times.len() - slots;
        let position = excess + ahead % slots;
        let rounds = (ahead / slots) as f64;
        now + slot_free_times[position.min(slot_free_times.len() - 1)] + mean.mul_f64(rounds)
    }

    /// Mean time between two starts while all slots are in use.
    fn mean_start_interval(&self, now: Instant) -> Duration {
        let mean = self.service_time.mean(now, !self.running.is_empty());
        let mean = if mean.is_zero() { MIN_RETRY_AFTER } else { mean };
        mean.div_f64(f64::from(self.slots.max(1)))
    }
}

impl RunningRequest {
    /// Expected remaining time. A request that runs longer than the average is expected to take
    /// half its age again, up to the average.
    fn remaining(&self, now: Instant, mean: Duration) -> Duration {
        let age = now.saturating_duration_since(self.started);
        mean.saturating_sub(age).max(age.div_f64(2.0).min(mean))
    }
}

impl TimeEstimate {
    fn observe(&mut self, now: Instant, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        if self.last_observed.is_none() {
            self.mean = elapsed;
            self.deviation = elapsed / 2.0;
        }
        let error = elapsed - self.mean;
        self.mean += ESTIMATE_GAIN * error;
        self.deviation += ESTIMATE_GAIN * (error.abs() - self.deviation);
        self.last_observed = Some(now);
    }

    fn mean(&self, now: Instant, is_busy: bool) -> Duration {
        Duration::from_secs_f64(self.mean * self.decay(now, is_busy))
    }

    fn lower_estimate(&self, now: Instant, is_busy: bool) -> Duration {
        let low = (self.mean - self.deviation).max(0.0);
        Duration::from_secs_f64(low * self.decay(now, is_busy))
    }

    fn decay(&self, now: Instant, is_busy: bool) -> f64 {
        let Some(last_observed) = self.last_observed.filter(|_| !is_busy) else {
            return 1.0;
        };
        let idle = now.saturating_duration_since(last_observed);
        0.5f64.powf(idle.as_secs_f64() / ESTIMATE_HALF_LIFE.as_secs_f64())
    }
}

/// Asynchronous interface to the [`AdmissionGate`] of one host. Clones share it.
///
/// Must be used inside a [`tokio::task::LocalSet`].
#[derive(Clone)]
pub struct AdmissionService {
    state: Rc<SharedState>,
}

struct SharedState {
    gate: RefCell<AdmissionGate>,
    callers: RefCell<BTreeMap<TicketNumber, oneshot::Sender<Result<(), AdmissionRefusal>>>>,
    next_ticket: Cell<TicketNumber>,
    changed: Rc<Notify>,
    idle: Notify,
    metrics: Arc<MetricRegistry>,
}

/// Permit to run one request; dropping it frees the slot and records the service time.
#[must_use]
pub struct AdmissionPermit {
    state: Rc<SharedState>,
    ticket: TicketNumber,
}

/// Cancels a request on drop unless its caller has received the decision.
struct QueueGuard {
    state: Rc<SharedState>,
    ticket: TicketNumber,
    is_decided: bool,
}

impl AdmissionService {
    /// Starts the service, with a task in the current [`tokio::task::LocalSet`] that checks the
    /// deadlines of waiting requests.
    pub fn start(options: GateOptions, seed: u64, metrics: Arc<MetricRegistry>) -> Self {
        let changed = Rc::new(Notify::new());
        let state = Rc::new(SharedState {
            gate: RefCell::new(AdmissionGate::new(options, seed)),
            callers: RefCell::new(BTreeMap::new()),
            next_ticket: Cell::new(1),
            changed: changed.clone(),
            idle: Notify::new(),
            metrics,
        });
        tokio::task::spawn_local(watch_deadlines(Rc::downgrade(&state), changed));
        Self { state }
    }

    /// Sets how many requests of a service may run at once; 0 refuses all requests.
    pub fn set_capacity(&self, service: &str, slots: u32) {
        self.state.apply(GateEvent::Capacity(service.into(), slots));
    }

    /// Waits until the request may start. Dropping the future cancels the request.
    ///
    /// The request is queued when the future is first polled.
    ///
    /// # Errors
    ///
    /// Refuses with `DeadlineUnreachable`, `QueueFull`, `NoEndpoint` or `Draining`, as soon as the
    /// reason is known.
    pub fn admit(
        &self,
        request: AdmissionRequest,
    ) -> impl Future<Output = Result<AdmissionPermit, AdmissionRefusal>> + use<> {
        let state = self.state.clone();
        async move {
            let ticket = state.next_ticket.replace(state.next_ticket.get() + 1);
            let (sender, receiver) = oneshot::channel();
            state.callers.borrow_mut().insert(ticket, sender);
            let mut guard = QueueGuard { state: state.clone(), ticket, is_decided: false };
            state.apply(GateEvent::Arrive(ticket, request));
            let decision = receiver.await.expect("the gate decides every ticket");
            guard.is_decided = true;
            decision?;
            Ok(AdmissionPermit { state, ticket })
        }
    }

    /// Starts or stops refusing new requests; waiting requests are still served.
    pub fn set_draining(&self, draining: bool) {
        self.state.apply(GateEvent::Draining(draining));
    }

    /// Whether no request is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.state.gate.borrow().is_idle()
    }

    /// Waits until no request is running or waiting.
    pub async fn wait_idle(&self) {
        while !self.is_idle() {
            self.state.idle.notified().await;
        }
    }

    /// Load of each service.
    pub fn load(&self) -> BTreeMap<ServiceName, ServiceLoad> {
        self.state.gate.borrow().load(Instant::now())
    }
}

impl SharedState {
    fn apply(&self, event: GateEvent) {
        let is_timer = matches!(event, GateEvent::Timer);
        let actions = self.gate.borrow_mut().handle(Instant::now(), event);
        for action in actions {
            self.deliver(action);
        }
        for class in ALL_CLASSES {
            let waiting = self.gate.borrow().waiting_in(class) as i64;
            self.metrics.set(MetricName::AdmissionWaiting, &[class_label(class)], waiting);
        }
        // The timer task rereads the next wake time itself; notifying it here would make it run
        // in an endless loop.
        if !is_timer {
            self.changed.notify_one();
        }
        if self.gate.borrow().is_idle() {
            self.idle.notify_waiters();
        }
    }

    fn deliver(&self, action: GateAction) {
        let (ticket, decision) = match action {
            GateAction::Admit(ticket) => (ticket, Ok(())),
            GateAction::Refuse(ticket, refusal) => (ticket, Err(refusal)),
        };
        if let Some(sender) = self.callers.borrow_mut().remove(&ticket) {
            // If the receiver is gone, the caller's `QueueGuard` cancels the ticket.
            let _ = sender.send(decision);
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.state.apply(GateEvent::Release(self.ticket));
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        self.state.callers.borrow_mut().remove(&self.ticket);
        self.state.apply(GateEvent::Cancel(self.ticket));
    }
}

/// Sends a timer event whenever one is due, until the service is dropped.
async fn watch_deadlines(service: Weak<SharedState>, changed: Rc<Notify>) {
    while let Some(state) = service.upgrade() {
        let wake = state.gate.borrow().next_wake();
        if wake.is_some_and(|wake| wake <= Instant::now()) {
            state.apply(GateEvent::Timer);
            continue;
        }
        drop(state);
        wait_until(wake, &changed).await;
    }
}

/// Waits until `wake` or until the state changes, whichever comes first.
async fn wait_until(wake: Option<Instant>, changed: &Notify) {
    let Some(wake) = wake else {
        return changed.notified().await;
    };
    let sleep = tokio::time::sleep_until(wake);
    futures::future::select(sleep.boxed_local(), changed.notified().boxed_local()).await;
}

fn class_label(class: PriorityClass) -> &'static str {
    match class {
        PriorityClass::Guidance => "guidance",
        PriorityClass::Interactive => "interactive",
        PriorityClass::Batch => "batch",
    }
}
