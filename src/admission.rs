//! Admission: which request starts next, which waits, and which is refused at once.

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
use crate::counters::{CounterRegistry, MetricName};
use crate::endpoint::PriorityClass;
use crate::ids::{CustomerName, ServiceName};
use crate::queue::{ALL_CLASSES, FairQueue, QueueOptions, TicketNumber};

/// Longest time between two looks at the deadlines of waiting requests.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);

/// Bounds of the time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Time after which callers may find another host, when this one shuts down.
const DRAINING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Weight of the newest service time in the running mean.
const ESTIMATE_GAIN: f64 = 0.1;

/// Time in which an estimate halves while nothing runs, so that an old one can't refuse for ever.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_secs(2);

/// A request that asks to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Service whose capacity the request uses.
    pub service: ServiceName,
    /// Customer that it belongs to.
    pub customer: CustomerName,
    /// Weight of the customer when capacity is short.
    pub share: u32,
    /// Priority class.
    pub priority: PriorityClass,
    /// Time by which its answer must be whole.
    pub deadline: Instant,
    /// Requests that may wait for the service.
    pub queue_length: u32,
}

/// Why a request may not start, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("request refused with code {}: come back after {retry_after:?}", code.number())]
pub struct AdmissionRefusal {
    /// Result code.
    pub code: ResultCode,
    /// Time after which capacity is likely.
    pub retry_after: Duration,
}

/// Protections of an [`AdmissionGate`]; only tests and measurements turn them off.
#[derive(Clone, Copy, Debug)]
pub struct GateOptions {
    /// Whether customers share a class by weight.
    pub fair_sharing: bool,
    /// Starts of other classes after which a waiting class is served; 0 turns the guard off.
    pub starvation_limit: u32,
    /// Whether requests that can't make their deadline are refused.
    pub deadline_refusal: bool,
    /// Whether refused callers are spread over time.
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

/// Something that happened at the gate.
#[derive(Clone, Debug)]
pub enum GateEvent {
    /// A request arrived under a new ticket.
    Arrive(TicketNumber, AdmissionRequest),
    /// An admitted request ended.
    Release(TicketNumber),
    /// The caller of a waiting or admitted request went away.
    Leave(TicketNumber),
    /// The capacity of a service changed.
    Capacity(ServiceName, u32),
    /// The host starts or stops refusing new requests.
    Draining(bool),
    /// The time given by [`AdmissionGate::next_wake`] came.
    Timer,
}

/// What the gate decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// The request starts now.
    Admit(TicketNumber),
    /// The request does not start.
    Refuse(TicketNumber, AdmissionRefusal),
}

/// Requests at one service of this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Requests that may run at once.
    pub slots: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Running mean of observed service times.
    pub service_time: Duration,
}

/// Decides about admission on one host; free of I/O.
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
    draining: bool,
    services: BTreeMap<ServiceName, ServiceGate>,
    owners: BTreeMap<TicketNumber, ServiceName>,
    next_sweep: Option<Instant>,
}

/// Capacity, running and waiting requests of one service.
struct ServiceGate {
    slots: u32,
    queue: FairQueue,
    waiting: BTreeMap<TicketNumber, WaitingRequest>,
    running: BTreeMap<TicketNumber, RunningRequest>,
    service_time: TimeEstimate,
    class_times: [TimeEstimate; ALL_CLASSES.len()],
    next_return: Option<Instant>,
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

/// Running mean and deviation of service times.
#[derive(Clone, Copy, Default)]
struct TimeEstimate {
    mean: f64,
    deviation: f64,
    last_used: Option<Instant>,
}

impl AdmissionGate {
    /// A gate without any capacity; the seed decides the jitter of retry times.
    pub fn new(options: GateOptions, seed: u64) -> Self {
        Self {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            draining: false,
            services: BTreeMap::new(),
            owners: BTreeMap::new(),
            next_sweep: None,
        }
    }

    /// Takes an event and returns what follows from it, in order.
    pub fn handle(&mut self, now: Instant, event: GateEvent) -> Vec<GateAction> {
        let mut actions = Vec::new();
        if self.next_sweep.is_some_and(|due| due <= now) {
            self.sweep(now, &mut actions);
        }
        match event {
            GateEvent::Arrive(ticket, request) => self.arrive(now, ticket, request, &mut actions),
            GateEvent::Release(ticket) => self.release(now, ticket, true, &mut actions),
            GateEvent::Leave(ticket) => self.release(now, ticket, false, &mut actions),
            GateEvent::Capacity(service, slots) => {
                self.set_capacity(now, &service, slots, &mut actions);
            }
            GateEvent::Draining(draining) => self.draining = draining,
            // The sweep that was due came first.
            GateEvent::Timer => {}
        }
        self.schedule_sweep(now);
        actions
    }

    /// Time at which [`GateEvent::Timer`] is due; `None` while nothing waits.
    pub fn next_wake(&self) -> Option<Instant> {
        self.next_sweep
    }

    /// Whether nothing runs and nothing waits.
    pub fn is_idle(&self) -> bool {
        self.owners.is_empty()
    }

    /// Requests at each service.
    pub fn load(&self, now: Instant) -> BTreeMap<ServiceName, ServiceLoad> {
        let loads = self.services.iter();
        loads.map(|(name, service)| (name.clone(), service.load(now))).collect()
    }

    /// Requests of a class that wait, over all services.
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
        if self.draining {
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
        self.owners.insert(ticket, name.clone());
        self.admit(now, &name, actions);
        let refused = self.services[&name].refused_on_arrival(now, ticket, &request, self.options);
        self.refuse(now, &name, &refused, actions);
    }

    fn release(
        &mut self,
        now: Instant,
        ticket: TicketNumber,
        observed: bool,
        actions: &mut Vec<GateAction>,
    ) {
        let Some(name) = self.owners.remove(&ticket) else {
            return;
        };
        let service = self.service(&name);
        if service.waiting.remove(&ticket).is_some() {
            service.queue.remove(ticket);
            return;
        }
        service.finish(now, ticket, observed);
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
            let enforced = self.options.deadline_refusal;
            let service = self.service(name);
            if enforced && service.misses_deadline(now, now, request) {
                let refused = [(ticket, ResultCode::DeadlineUnreachable)];
                self.refuse(now, name, &refused, actions);
                continue;
            }
            service.start(now, ticket, request.class);
            actions.push(GateAction::Admit(ticket));
        }
    }

    /// Refuses every waiting request that can no longer make its deadline.
    fn sweep(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
        if !self.options.deadline_refusal {
            return;
        }
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            let refused = self.services[&name].unreachable(now);
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
            self.owners.remove(&ticket);
            let retry_after = self.retry_after(now, name);
            actions.push(GateAction::Refuse(ticket, AdmissionRefusal { code, retry_after }));
        }
    }

    /// Gives each refused caller a later place in the drain of the service.
    fn retry_after(&mut self, now: Instant, name: &ServiceName) -> Duration {
        let spread = self.options.spread_retries;
        let service = self.service(name);
        let step = service.drain_step(now);
        let backlog = step.mul_f64(service.queue.len() as f64);
        let earliest = now + backlog.min(MAX_RETRY_AFTER);
        if !spread {
            return (earliest + step - now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        }
        let previous = service.next_return.unwrap_or(earliest).max(earliest);
        let latest = now + MAX_RETRY_AFTER;
        let place = (previous + step).min(latest);
        service.next_return = Some(place);
        let wait = (place - now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        self.jitter(wait)
    }

    fn jitter(&mut self, wait: Duration) -> Duration {
        if !self.options.spread_retries {
            return wait;
        }
        wait.mul_f64(self.rng.random_range(0.75..1.25))
    }

    fn schedule_sweep(&mut self, now: Instant) {
        let waits = self.services.values().any(|service| service.queue.len() > 0);
        self.next_sweep = match self.next_sweep {
            Some(due) if waits && due > now => Some(due),
            _ if waits => Some(now + SWEEP_INTERVAL),
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
            next_return: None,
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

    /// Takes the request to be served next out of the queue, if a slot is free.
    fn take_next(&mut self) -> Option<(TicketNumber, WaitingRequest)> {
        if self.running.len() >= self.slots as usize {
            return None;
        }
        let ticket = self.queue.pop()?;
        let request = self.waiting.remove(&ticket).expect("each queued ticket waits");
        Some((ticket, request))
    }

    fn start(&mut self, now: Instant, ticket: TicketNumber, class: PriorityClass) {
        self.queue.note_start(class);
        self.running.insert(ticket, RunningRequest { class, started: now });
    }

    fn finish(&mut self, now: Instant, ticket: TicketNumber, observed: bool) {
        let Some(request) = self.running.remove(&ticket) else {
            return;
        };
        if !observed {
            return;
        }
        let elapsed = now.saturating_duration_since(request.started);
        self.service_time.observe(now, elapsed);
        self.class_times[request.class as usize].observe(now, elapsed);
    }

    /// Requests that have to go because this one arrived.
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
        let evicted = self.queue.eviction_for(ticket, limit).unwrap_or(ticket);
        vec![(evicted, ResultCode::QueueFull)]
    }

    fn unreachable(&self, now: Instant) -> Vec<(TicketNumber, ResultCode)> {
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

    /// Whether a request that starts at `start` ends too late even if it runs shorter than usual.
    fn misses_deadline(&self, now: Instant, start: Instant, request: WaitingRequest) -> bool {
        let busy = !self.running.is_empty();
        start + self.class_times[request.class as usize].low(now, busy) > request.deadline
            || start >= request.deadline
    }

    /// When a request with this many others ahead of it gets a slot.
    fn predicted_start(&self, now: Instant, ahead: usize) -> Instant {
        let slots = self.slots.max(1) as usize;
        let mean = self.service_time.mean(now, !self.running.is_empty());
        let mut frees: Vec<Duration> =
            self.running.values().map(|request| request.remaining(now, mean)).collect();
        frees.resize(frees.len().max(slots), Duration::ZERO);
        frees.sort();
        let excess = frees.len() - slots;
        let position = excess + ahead % slots;
        let rounds = (ahead / slots) as f64;
        now + frees[position.min(frees.len() - 1)] + mean.mul_f64(rounds)
    }

    /// Mean time between two starts while every slot is taken.
    fn drain_step(&self, now: Instant) -> Duration {
        let mean = self.service_time.mean(now, !self.running.is_empty());
        let mean = if mean.is_zero() { MIN_RETRY_AFTER } else { mean };
        mean.div_f64(f64::from(self.slots.max(1)))
    }
}

impl RunningRequest {
    /// Expected time to the end; one that runs longer than usual is expected to go on.
    fn remaining(&self, now: Instant, mean: Duration) -> Duration {
        let age = now.saturating_duration_since(self.started);
        mean.saturating_sub(age).max(age.div_f64(2.0).min(mean))
    }
}

impl TimeEstimate {
    fn observe(&mut self, now: Instant, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        if self.last_used.is_none() {
            self.mean = elapsed;
            self.deviation = elapsed / 2.0;
        }
        let error = elapsed - self.mean;
        self.mean += ESTIMATE_GAIN * error;
        self.deviation += ESTIMATE_GAIN * (error.abs() - self.deviation);
        self.last_used = Some(now);
    }

    fn mean(&self, now: Instant, busy: bool) -> Duration {
        Duration::from_secs_f64(self.mean * self.decay(now, busy))
    }

    fn low(&self, now: Instant, busy: bool) -> Duration {
        let low = (self.mean - self.deviation).max(0.0);
        Duration::from_secs_f64(low * self.decay(now, busy))
    }

    fn decay(&self, now: Instant, busy: bool) -> f64 {
        let Some(last_used) = self.last_used.filter(|_| !busy) else {
            return 1.0;
        };
        let idle = now.saturating_duration_since(last_used);
        0.5f64.powf(idle.as_secs_f64() / ESTIMATE_HALF_LIFE.as_secs_f64())
    }
}

/// Admission on one host, as the rest of the library uses it.
///
/// Lives in a [`tokio::task::LocalSet`].
#[derive(Clone)]
pub struct AdmissionService {
    state: Rc<ServiceState>,
}

struct ServiceState {
    gate: RefCell<AdmissionGate>,
    callers: RefCell<BTreeMap<TicketNumber, oneshot::Sender<Result<(), AdmissionRefusal>>>>,
    next_ticket: Cell<TicketNumber>,
    changed: Rc<Notify>,
    idle: Notify,
    counters: Arc<CounterRegistry>,
}

/// Permission to run one request; dropping it frees the slot and records the service time.
#[must_use]
pub struct AdmissionPermit {
    state: Rc<ServiceState>,
    ticket: TicketNumber,
}

/// Takes a request out of the queue unless it was admitted.
struct QueuePass {
    state: Rc<ServiceState>,
    ticket: TicketNumber,
    settled: bool,
}

impl AdmissionService {
    /// Starts the service; a task in the current [`tokio::task::LocalSet`] watches deadlines.
    pub fn start(options: GateOptions, seed: u64, counters: Arc<CounterRegistry>) -> Self {
        let changed = Rc::new(Notify::new());
        let state = Rc::new(ServiceState {
            gate: RefCell::new(AdmissionGate::new(options, seed)),
            callers: RefCell::new(BTreeMap::new()),
            next_ticket: Cell::new(1),
            changed: changed.clone(),
            idle: Notify::new(),
            counters,
        });
        tokio::task::spawn_local(watch_deadlines(Rc::downgrade(&state), changed));
        Self { state }
    }

    /// Sets the requests that may run at once for a service; 0 refuses all of them.
    pub fn set_capacity(&self, service: &str, slots: u32) {
        self.state.apply(GateEvent::Capacity(service.into(), slots));
    }

    /// Waits until the request may start. Dropping the future leaves the queue.
    ///
    /// The request is in the queue from the first poll on.
    ///
    /// # Errors
    ///
    /// Refuses with `DeadlineUnreachable`, `QueueFull`, `NoEndpoint` or `Draining`, at once when
    /// it is known.
    pub fn enter(
        &self,
        request: AdmissionRequest,
    ) -> impl Future<Output = Result<AdmissionPermit, AdmissionRefusal>> + use<> {
        let state = self.state.clone();
        async move {
            let ticket = state.next_ticket.replace(state.next_ticket.get() + 1);
            let (sender, receiver) = oneshot::channel();
            state.callers.borrow_mut().insert(ticket, sender);
            let mut waiting = QueuePass { state: state.clone(), ticket, settled: false };
            state.apply(GateEvent::Arrive(ticket, request));
            let verdict = receiver.await.expect("the gate answers each ticket once");
            waiting.settled = true;
            verdict?;
            Ok(AdmissionPermit { state, ticket })
        }
    }

    /// Starts or stops refusing new requests; waiting ones still get their turn.
    pub fn set_draining(&self, draining: bool) {
        self.state.apply(GateEvent::Draining(draining));
    }

    /// Whether nothing runs and nothing waits.
    pub fn is_idle(&self) -> bool {
        self.state.gate.borrow().is_idle()
    }

    /// Waits until nothing runs and nothing waits.
    pub async fn wait_idle(&self) {
        while !self.is_idle() {
            self.state.idle.notified().await;
        }
    }

    /// Requests at each service.
    pub fn load(&self) -> BTreeMap<ServiceName, ServiceLoad> {
        self.state.gate.borrow().load(Instant::now())
    }
}

impl ServiceState {
    fn apply(&self, event: GateEvent) {
        let is_timer = matches!(event, GateEvent::Timer);
        let actions = self.gate.borrow_mut().handle(Instant::now(), event);
        for action in actions {
            self.answer(action);
        }
        for class in ALL_CLASSES {
            let waiting = self.gate.borrow().waiting_in(class) as i64;
            self.counters.set(MetricName::AdmissionWaiting, &[class_label(class)], waiting);
        }
        // The timer's own task looks at the next wake time anyway; waking it would never end.
        if !is_timer {
            self.changed.notify_one();
        }
        if self.gate.borrow().is_idle() {
            self.idle.notify_waiters();
        }
    }

    fn answer(&self, action: GateAction) {
        let (ticket, verdict) = match action {
            GateAction::Admit(ticket) => (ticket, Ok(())),
            GateAction::Refuse(ticket, refusal) => (ticket, Err(refusal)),
        };
        if let Some(sender) = self.callers.borrow_mut().remove(&ticket) {
            // A caller that is gone gives its ticket back when it is dropped.
            let _ = sender.send(verdict);
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.state.apply(GateEvent::Release(self.ticket));
    }
}

impl Drop for QueuePass {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        self.state.callers.borrow_mut().remove(&self.ticket);
        self.state.apply(GateEvent::Leave(self.ticket));
    }
}

/// Applies the timer whenever it is due, until the service is dropped.
async fn watch_deadlines(service: Weak<ServiceState>, changed: Rc<Notify>) {
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
