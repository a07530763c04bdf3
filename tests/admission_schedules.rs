//! Seeded schedules of arrivals, releases and faults at the admission gate. A checker that tracks
//! every request independently verifies each decision.

mod schedules;

use jacinthrock::{
    AdmissionGate, AdmissionRequest, GateAction, GateEvent, GateOptions, PriorityClass, ResultCode,
    TicketNumber,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

const SERVICE: &str = "guide";
const CLASSES: [PriorityClass; 3] =
    [PriorityClass::Guidance, PriorityClass::Interactive, PriorityClass::Batch];
const SHARES: [u32; 4] = [1, 1, 2, 4];
const QUEUE_LENGTH: u32 = 40;

/// Requests of other classes that may be admitted in a row while a class waits: the default
/// starvation limit, and a margin for another overdue class that is served first.
const STARVATION_BOUND: u32 = 20 + 2;

/// Time past its deadline after which a request may not be waiting any more.
const SWEEP_BOUND: Duration = Duration::from_millis(25);

/// Steps of a schedule; each draws one event from `EVENTS`.
const STEPS: usize = 200;

/// Events and faults at the gate, with the weights of their random choice.
const EVENTS: [(ScheduleEvent, u32); 9] = [
    (ScheduleEvent::Arrive, 40),
    (ScheduleEvent::Flood, 2),
    (ScheduleEvent::Cancel, 3),
    (ScheduleEvent::Wait, 50),
    (ScheduleEvent::Capacity, 1),
    (ScheduleEvent::NoCapacity, 1),
    (ScheduleEvent::SlowDown, 1),
    (ScheduleEvent::Freeze, 1),
    (ScheduleEvent::Drain, 1),
];

#[derive(Clone, Copy, Debug)]
enum ScheduleEvent {
    Arrive,
    Flood,
    Cancel,
    Wait,
    Capacity,
    NoCapacity,
    SlowDown,
    Freeze,
    Drain,
}

/// Violation that the checker can detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum GateViolation {
    SlotIdleWhileWaiting,
    AboveCapacity,
    PriorityInverted,
    ClassStarved,
    ShareUnfair,
    QueuedPastDeadline,
    AdmittedPastDeadline,
    WrongCustomerEvicted,
    RetryTimesCollide,
    RetryTimeOutOfRange,
    DecidedTwice,
    ServedWhileDraining,
}

#[derive(Clone)]
struct TrackedRequest {
    class: PriorityClass,
    customer: usize,
    deadline: Instant,
}

struct GateRun {
    gate: AdmissionGate,
    rng: ChaCha8Rng,
    now: Instant,
    slots: usize,
    service_time: Duration,
    next_ticket: TicketNumber,
    requests: BTreeMap<TicketNumber, TrackedRequest>,
    waiting: BTreeSet<TicketNumber>,
    running: BTreeMap<TicketNumber, Instant>,
    passed_over: [u32; 3],
    /// Admitted requests by class and customer since the class was last reset, such as when one of
    /// its customers became idle.
    served: BTreeMap<(PriorityClass, usize), u32>,
    violations: BTreeSet<GateViolation>,
}

impl GateRun {
    fn new(options: GateOptions, seed: u64) -> Self {
        let mut run = Self {
            gate: AdmissionGate::new(options, seed),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::now(),
            slots: 0,
            service_time: Duration::from_millis(100),
            next_ticket: 1,
            requests: BTreeMap::new(),
            waiting: BTreeSet::new(),
            running: BTreeMap::new(),
            passed_over: [0; 3],
            served: BTreeMap::new(),
            violations: BTreeSet::new(),
        };
        let slots = run.rng.random_range(1..6);
        run.set_capacity(slots);
        run
    }

    fn step(&mut self) {
        let total: u32 = EVENTS.iter().map(|(_, weight)| weight).sum();
        let mut draw = self.rng.random_range(0..total);
        let event = EVENTS.iter().find(|(_, weight)| {
            let found = draw < *weight;
            draw = draw.saturating_sub(*weight);
            found
        });
        match event.expect("the draw is below the sum of weights").0 {
            ScheduleEvent::Arrive => self.arrive_any(),
            ScheduleEvent::Flood => (0..60).for_each(|_| self.arrive(PriorityClass::Guidance, 0)),
            ScheduleEvent::Cancel => self.cancel(),
            ScheduleEvent::Wait => self.wait(),
            ScheduleEvent::Capacity => {
                let slots = self.rng.random_range(1..6);
                self.set_capacity(slots);
            }
            ScheduleEvent::NoCapacity => {
                self.set_capacity(0);
                self.arrive_any();
                self.set_capacity(3);
            }
            ScheduleEvent::Freeze => {
                self.now += Duration::from_millis(self.rng.random_range(100..10_000));
                self.arrive_any();
            }
            ScheduleEvent::Drain => self.drain(),
            ScheduleEvent::SlowDown => {
                self.service_time = Duration::from_millis(self.rng.random_range(20..400));
            }
        }
    }

    fn arrive_any(&mut self) {
        let class = CLASSES[self.rng.random_range(0..3)];
        let customer = self.rng.random_range(0..SHARES.len());
        self.arrive(class, customer);
    }

    fn arrive(&mut self, priority: PriorityClass, customer: usize) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let timeout = Duration::from_millis(self.rng.random_range(50..20_000));
        let deadline = self.now + timeout;
        let tracked = TrackedRequest { class: priority, customer, deadline };
        self.requests.insert(ticket, tracked);
        self.note_backlog_start(priority, customer);
        self.waiting.insert(ticket);
        let request = AdmissionRequest {
            service: SERVICE.into(),
            customer: format!("customer-{customer}").into(),
            share: SHARES[customer],
            priority,
            deadline,
            queue_length: QUEUE_LENGTH,
        };
        self.handle(GateEvent::Arrive(ticket, request));
    }

    /// Lets a request arrive at a draining host, which refuses new requests and still serves
    /// waiting ones.
    fn drain(&mut self) {
        self.handle(GateEvent::Draining(true));
        let waiting = self.waiting.len();
        self.arrive_any();
        if self.waiting.len() > waiting {
            self.violations.insert(GateViolation::ServedWhileDraining);
        }
        self.handle(GateEvent::Draining(false));
    }

    fn cancel(&mut self) {
        let waiting: Vec<_> = self.waiting.iter().copied().collect();
        if waiting.is_empty() {
            return;
        }
        let ticket = waiting[self.rng.random_range(0..waiting.len())];
        self.waiting.remove(&ticket);
        self.reset_fairness(self.requests[&ticket].class);
        self.handle(GateEvent::Cancel(ticket));
    }

    fn set_capacity(&mut self, slots: usize) {
        self.slots = slots;
        self.handle(GateEvent::Capacity(SERVICE.into(), slots as u32));
    }

    /// Advances the time to the next release or timer.
    fn wait(&mut self) {
        let release = self.running.iter().map(|(&ticket, &end)| (end, ticket)).min();
        let timer = self.gate.next_wake();
        match (release, timer) {
            (Some((end, _)), Some(wake)) if wake < end => self.timer(wake),
            (Some((end, ticket)), _) => {
                self.now = self.now.max(end);
                self.running.remove(&ticket);
                self.handle(GateEvent::Release(ticket));
            }
            (None, Some(wake)) => self.timer(wake),
            (None, None) => self.now += Duration::from_millis(10),
        }
    }

    fn timer(&mut self, wake: Instant) {
        self.now = self.now.max(wake);
        self.handle(GateEvent::Timer);
    }

    fn handle(&mut self, event: GateEvent) {
        let actions = self.gate.handle(self.now, event);
        let mut retry_times = Vec::new();
        for action in actions {
            match action {
                GateAction::Admit(ticket) => self.admitted(ticket),
                GateAction::Refuse(ticket, refusal) => {
                    retry_times.push(refusal.retry_after);
                    self.refused(ticket, refusal.code);
                }
            }
        }
        self.check_retry_times(&retry_times);
        self.check_state();
    }

    fn admitted(&mut self, ticket: TicketNumber) {
        if !self.waiting.remove(&ticket) {
            self.violations.insert(GateViolation::DecidedTwice);
            return;
        }
        let tracked = self.requests[&ticket].clone();
        if tracked.deadline <= self.now {
            self.violations.insert(GateViolation::AdmittedPastDeadline);
        }
        self.check_priority(tracked.class);
        self.check_share(tracked.class, tracked.customer);
        let factor = self.rng.random_range(0.5..1.5);
        self.running.insert(ticket, self.now + self.service_time.mul_f64(factor));
    }

    fn refused(&mut self, ticket: TicketNumber, code: ResultCode) {
        let Some(tracked) = self.requests.get(&ticket).cloned() else {
            return;
        };
        if code == ResultCode::QueueFull {
            self.check_eviction(&tracked);
        }
        if !self.waiting.remove(&ticket) {
            self.violations.insert(GateViolation::DecidedTwice);
        }
        self.reset_fairness(tracked.class);
    }

    fn waiting_in(&self, class: PriorityClass) -> usize {
        self.waiting.iter().filter(|ticket| self.requests[ticket].class == class).count()
    }

    /// Checks that the refused request's customer has the longest backlog of its class, relative to
    /// its share.
    fn check_eviction(&mut self, refused: &TrackedRequest) {
        let backlog = |customer: usize| {
            let of_customer = self.waiting.iter().filter(|ticket| {
                let tracked = &self.requests[ticket];
                tracked.class == refused.class && tracked.customer == customer
            });
            of_customer.count() as f64 / f64::from(SHARES[customer])
        };
        let own = backlog(refused.customer);
        if (0..SHARES.len()).any(|other| backlog(other) > own + 1e-9) {
            self.violations.insert(GateViolation::WrongCustomerEvicted);
        }
    }

    fn check_priority(&mut self, class: PriorityClass) {
        let above = CLASSES.iter().filter(|other| **other < class);
        let inverted = above.clone().any(|&other| self.waiting_in(other) > 0);
        if inverted && self.passed_over[class as usize] < 20 {
            self.violations.insert(GateViolation::PriorityInverted);
        }
        for other in CLASSES {
            let index = other as usize;
            let passed = other != class && self.waiting_in(other) > 0;
            self.passed_over[index] = if passed { self.passed_over[index] + 1 } else { 0 };
            if self.passed_over[index] > STARVATION_BOUND {
                self.violations.insert(GateViolation::ClassStarved);
            }
        }
    }

    /// Checks that customers of a class are served in proportion to their shares while they all
    /// have waiting requests.
    fn check_share(&mut self, class: PriorityClass, customer: usize) {
        *self.served.entry((class, customer)).or_default() += 1;
        let is_waiting = |other: usize| {
            self.waiting.iter().any(|ticket| {
                self.requests[ticket].class == class && self.requests[ticket].customer == other
            })
        };
        let waiting_customers: Vec<usize> =
            (0..SHARES.len()).filter(|&other| is_waiting(other)).collect();
        let service = |other: usize| {
            let count = self.served.get(&(class, other)).copied().unwrap_or(0);
            f64::from(count) / f64::from(SHARES[other])
        };
        for (&left, &right) in waiting_customers.iter().zip(waiting_customers.iter().skip(1)) {
            let bound = 1.0 / f64::from(SHARES[left]) + 1.0 / f64::from(SHARES[right]);
            if (service(left) - service(right)).abs() > bound + 1e-6 {
                self.violations.insert(GateViolation::ShareUnfair);
            }
        }
        if !is_waiting(customer) {
            self.reset_fairness(class);
        }
    }

    /// Restarts the fairness measurement when a customer's backlog begins.
    fn note_backlog_start(&mut self, class: PriorityClass, customer: usize) {
        let is_waiting = self.waiting.iter().any(|ticket| {
            self.requests[ticket].class == class && self.requests[ticket].customer == customer
        });
        if !is_waiting {
            self.reset_fairness(class);
        }
    }

    fn reset_fairness(&mut self, class: PriorityClass) {
        self.served.retain(|(other, _), _| *other != class);
    }

    fn check_retry_times(&mut self, times: &[Duration]) {
        let range = Duration::from_millis(75)..=Duration::from_secs(38);
        if times.iter().any(|time| !range.contains(time)) {
            self.violations.insert(GateViolation::RetryTimeOutOfRange);
        }
        let distinct: BTreeSet<_> = times.iter().collect();
        if distinct.len() < times.len() {
            self.violations.insert(GateViolation::RetryTimesCollide);
        }
    }

    fn check_state(&mut self) {
        if self.running.len() < self.slots && !self.waiting.is_empty() {
            self.violations.insert(GateViolation::SlotIdleWhileWaiting);
        }
        if self.running.len() > 5 {
            self.violations.insert(GateViolation::AboveCapacity);
        }
        let late = |ticket: &TicketNumber| self.requests[ticket].deadline + SWEEP_BOUND < self.now;
        if self.waiting.iter().any(late) {
            self.violations.insert(GateViolation::QueuedPastDeadline);
        }
    }
}

fn violations_of(options: GateOptions, seed: u64) -> BTreeSet<GateViolation> {
    let mut run = GateRun::new(options, seed);
    for _ in 0..STEPS {
        run.step();
    }
    run.violations
}

#[test]
fn random_schedules_preserve_the_invariants() {
    let count = schedules::schedule_count(50);
    let found = (0..count).map(|seed| (seed, violations_of(GateOptions::default(), seed)));
    let found: Vec<_> = found.filter(|(_, violations)| !violations.is_empty()).collect();
    println!("{count} schedules of {STEPS} steps, {} with violations", found.len());
    assert!(found.is_empty(), "{:?}", &found[..found.len().min(5)]);
}

#[test]
fn a_request_refused_at_its_turn_does_not_count_as_admitted() {
    let now = Instant::now();
    let request = |priority: PriorityClass, timeout: u64| AdmissionRequest {
        service: SERVICE.into(),
        customer: "studio".into(),
        share: 1,
        priority,
        deadline: now + Duration::from_millis(timeout),
        queue_length: QUEUE_LENGTH,
    };
    let options = GateOptions { starvation_limit: 3, ..GateOptions::default() };
    let mut gate = AdmissionGate::new(options, 1);
    gate.handle(now, GateEvent::Capacity(SERVICE.into(), 1));
    gate.handle(now, GateEvent::Arrive(1, request(PriorityClass::Guidance, 60_000)));
    gate.handle(now, GateEvent::Arrive(2, request(PriorityClass::Batch, 60_000)));
    for ticket in 3..6 {
        gate.handle(now, GateEvent::Arrive(ticket, request(PriorityClass::Guidance, 5)));
    }
    gate.handle(now, GateEvent::Arrive(6, request(PriorityClass::Guidance, 60_000)));
    let actions = gate.handle(now + Duration::from_millis(10), GateEvent::Release(1));
    assert!(actions.contains(&GateAction::Admit(6)), "{actions:?}");
    assert_eq!(actions.len(), 4);
}

fn assert_detected(options: GateOptions, expected: GateViolation) {
    let is_detected = (0..100).any(|seed| violations_of(options, seed).contains(&expected));
    assert!(is_detected, "{expected:?} was not detected");
}

#[test]
fn first_come_first_served_is_detected() {
    let options = GateOptions { fair_sharing: false, ..GateOptions::default() };
    assert_detected(options, GateViolation::ShareUnfair);
    assert_detected(options, GateViolation::WrongCustomerEvicted);
}

#[test]
fn classes_without_a_starvation_limit_are_detected() {
    let options = GateOptions { starvation_limit: 0, ..GateOptions::default() };
    assert_detected(options, GateViolation::ClassStarved);
}

#[test]
fn requests_queued_past_their_deadline_are_detected() {
    let options = GateOptions { deadline_refusal: false, ..GateOptions::default() };
    assert_detected(options, GateViolation::QueuedPastDeadline);
    assert_detected(options, GateViolation::AdmittedPastDeadline);
}

#[test]
fn identical_retry_times_are_detected() {
    let options = GateOptions { spread_retries: false, ..GateOptions::default() };
    assert_detected(options, GateViolation::RetryTimesCollide);
}
