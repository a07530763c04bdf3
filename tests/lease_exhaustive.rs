//! Explores every interleaving of the events of two candidates for the lease, up to a given depth.
//!
//! `JACINTHROCK_DEPTH=9 cargo test --release --test lease_exhaustive` explores deeper than CI.

use jacinthrock::{
    LeaseAction, LeaseElector, LeaseEvent, LeaseOptions, LeaseRule, OrderOptions, OrderReconciler,
    OrderRule, StoreError, StoredObject,
};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

const CI_DEPTH: usize = 7;
const TIME_STEP: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// A host makes its next platform call and receives the reply.
    Call(usize),
    /// A host's next write takes effect, but its reply is lost.
    LoseReply(usize),
    /// A host sends its next write, which stays in transit without effect or reply.
    DelayWrite(usize),
    /// The delayed write takes effect.
    ApplyWrite(usize),
    /// The reply to the delayed write arrives.
    DeliverReply(usize),
    /// The host stops waiting for the delayed write, which may still take effect later.
    TimeOut(usize),
    /// A host that holds the lease decides on an order.
    DecideOrder(usize),
    /// The host sends the order if the check before sending allows it.
    SendOrder(usize),
    /// Time advances by one step.
    AdvanceTime,
}

#[derive(Clone)]
struct DelayedWrite {
    expected: u64,
    value: Box<[u8]>,
    outcome: Option<Result<u64, StoreError>>,
    is_awaited: bool,
}

#[derive(Clone)]
struct CandidateHost {
    elector: LeaseElector,
    delayed_write: Option<DelayedWrite>,
    decided_fence: Option<u64>,
}

#[derive(Clone)]
struct LeaseModel {
    now: Instant,
    version: u64,
    value: Option<Box<[u8]>>,
    hosts: [CandidateHost; 2],
    owners: BTreeMap<u64, usize>,
    violation: Option<String>,
}

impl LeaseModel {
    fn new(now: Instant, disabled: Option<LeaseRule>) -> Self {
        let options = LeaseOptions {
            ttl: TIME_STEP * 2,
            renew_interval: TIME_STEP,
            drift_margin: Duration::ZERO,
            poll_interval: TIME_STEP / 2,
            disabled,
        };
        let host = |name: &str| CandidateHost {
            elector: LeaseElector::new(name, 1, options.clone()),
            delayed_write: None,
            decided_fence: None,
        };
        let hosts = [host("a"), host("b")];
        Self { now, version: 0, value: None, hosts, owners: BTreeMap::new(), violation: None }
    }

    fn read(&self) -> Option<StoredObject> {
        let value = self.value.clone()?;
        Some(StoredObject { key: "lease/controller".into(), version: self.version, value })
    }

    fn write(&mut self, expected: u64, value: Box<[u8]>) -> Result<u64, StoreError> {
        if expected != self.version {
            return Err(StoreError::Conflict { current: self.version });
        }
        self.version += 1;
        self.value = Some(value);
        Ok(self.version)
    }

    /// Applies an event; `None` if the event is not possible in this state.
    fn apply(&self, event: Event, orders: &OrderReconciler) -> Option<Self> {
        let mut next = self.clone();
        let is_possible = match event {
            Event::AdvanceTime => {
                next.now += TIME_STEP;
                true
            }
            Event::Call(host) => next.call(host, false),
            Event::LoseReply(host) => next.call(host, true),
            Event::DelayWrite(host) => next.delay_write(host),
            Event::ApplyWrite(host) => next.apply_write(host),
            Event::DeliverReply(host) => next.deliver_reply(host),
            Event::TimeOut(host) => next.time_out(host),
            Event::DecideOrder(host) => next.decide_order(host),
            Event::SendOrder(host) => next.send_order(host, orders),
        };
        if !is_possible {
            return None;
        }
        next.check();
        Some(next)
    }

    fn is_waiting(&self, host: usize) -> bool {
        self.hosts[host].delayed_write.as_ref().is_some_and(|delayed| delayed.is_awaited)
    }

    fn call(&mut self, host: usize, lose_reply: bool) -> bool {
        if self.is_waiting(host) {
            return false;
        }
        let event = match self.hosts[host].elector.advance(self.now) {
            LeaseAction::Wait(_) => return false,
            LeaseAction::Read if lose_reply => return false,
            LeaseAction::Read => LeaseEvent::Read(Ok(self.read())),
            LeaseAction::Write { expected, value } => {
                let result = self.write(expected, value);
                let lost_reply = Err(StoreError::Ambiguous("reply lost".into()));
                LeaseEvent::Write(if lose_reply { lost_reply } else { result })
            }
        };
        self.hosts[host].elector.observe(self.now, event);
        true
    }

    fn delay_write(&mut self, host: usize) -> bool {
        if self.hosts[host].delayed_write.is_some() {
            return false;
        }
        let LeaseAction::Write { expected, value } = self.hosts[host].elector.advance(self.now)
        else {
            return false;
        };
        let delayed = DelayedWrite { expected, value, outcome: None, is_awaited: true };
        self.hosts[host].delayed_write = Some(delayed);
        true
    }

    fn apply_write(&mut self, host: usize) -> bool {
        let Some(delayed) =
            self.hosts[host].delayed_write.clone().filter(|delayed| delayed.outcome.is_none())
        else {
            return false;
        };
        let result = self.write(delayed.expected, delayed.value.clone());
        let applied = DelayedWrite { outcome: Some(result), ..delayed };
        self.hosts[host].delayed_write = Some(applied).filter(|delayed| delayed.is_awaited);
        true
    }

    fn deliver_reply(&mut self, host: usize) -> bool {
        let outcome =
            self.hosts[host].delayed_write.as_ref().and_then(|delayed| delayed.outcome.clone());
        let Some(result) = outcome else {
            return false;
        };
        self.hosts[host].delayed_write = None;
        self.hosts[host].elector.observe(self.now, LeaseEvent::Write(result));
        true
    }

    fn time_out(&mut self, host: usize) -> bool {
        if !self.is_waiting(host) {
            return false;
        }
        let delayed =
            self.hosts[host].delayed_write.as_mut().expect("a waiting host has a delayed write");
        delayed.is_awaited = false;
        if delayed.outcome.is_some() {
            self.hosts[host].delayed_write = None;
        }
        let lost_reply = LeaseEvent::Write(Err(StoreError::Ambiguous("timed out".into())));
        self.hosts[host].elector.observe(self.now, lost_reply);
        true
    }

    fn decide_order(&mut self, host: usize) -> bool {
        let lease = self.hosts[host].elector.held(self.now);
        let fence = lease.map(|lease| lease.fence);
        if fence.is_none() || self.hosts[host].decided_fence == fence {
            return false;
        }
        self.hosts[host].decided_fence = fence;
        true
    }

    fn send_order(&mut self, host: usize, orders: &OrderReconciler) -> bool {
        let Some(fence) = self.hosts[host].decided_fence.take() else {
            return false;
        };
        let lease = self.hosts[host].elector.held(self.now);
        let other_lease = self.hosts[1 - host].elector.held(self.now);
        if !orders.may_send(lease, fence) {
            return true;
        }
        if lease.is_none_or(|lease| lease.fence != fence) || other_lease.is_some() {
            self.violation =
                Some(format!("host {host} ordered with fence {fence} without the lease"));
        }
        true
    }

    fn check(&mut self) {
        let leases = [0, 1].map(|host| self.hosts[host].elector.held(self.now));
        if leases[0].is_some() && leases[1].is_some() {
            self.violation = Some(format!("two holders: {leases:?}"));
        }
        for (host, lease) in leases.iter().enumerate() {
            let Some(lease) = lease else {
                continue;
            };
            let owner = *self.owners.entry(lease.fence).or_insert(host);
            let highest = *self.owners.keys().last().expect("an entry was just inserted");
            if owner != host || lease.fence < highest {
                self.violation = Some(format!("fence {} was used by two holders", lease.fence));
            }
        }
    }
}

struct StateExplorer {
    orders: OrderReconciler,
    states: u64,
    counterexample: Option<(Vec<Event>, String)>,
}

impl StateExplorer {
    fn explore(&mut self, model: &LeaseModel, depth: usize, path: &mut Vec<Event>) {
        self.states += 1;
        if let Some(violation) = &model.violation {
            self.counterexample = Some((path.clone(), violation.clone()));
        }
        if depth == 0 || self.counterexample.is_some() {
            return;
        }
        for event in events() {
            let Some(next) = model.apply(event, &self.orders) else {
                continue;
            };
            path.push(event);
            self.explore(&next, depth - 1, path);
            path.pop();
            if self.counterexample.is_some() {
                return;
            }
        }
    }
}

fn events() -> impl Iterator<Item = Event> {
    let host_events = |host| {
        [
            Event::Call(host),
            Event::LoseReply(host),
            Event::DelayWrite(host),
            Event::ApplyWrite(host),
            Event::DeliverReply(host),
            Event::TimeOut(host),
            Event::DecideOrder(host),
            Event::SendOrder(host),
        ]
    };
    (0..2).flat_map(host_events).chain([Event::AdvanceTime])
}

/// Both candidates have read that there is no lease, and the first has taken it.
const FIRST_LEASE_TAKEN: [Event; 3] = [Event::Call(0), Event::Call(1), Event::Call(0)];
/// The same state at the time when the first renewal is due.
const RENEWAL_DUE: [Event; 4] =
    [Event::Call(0), Event::Call(1), Event::Call(0), Event::AdvanceTime];

fn explore(
    start: &[Event],
    depth: usize,
    disabled_lease_rule: Option<LeaseRule>,
    disabled_order_rule: Option<OrderRule>,
) -> StateExplorer {
    let options = OrderOptions { disabled: disabled_order_rule, ..OrderOptions::default() };
    let mut explorer =
        StateExplorer { orders: OrderReconciler::new(options), states: 0, counterexample: None };
    let mut model = LeaseModel::new(Instant::now(), disabled_lease_rule);
    for event in start {
        model = model.apply(*event, &explorer.orders).expect("the initial events are possible");
    }
    explorer.explore(&model, depth, &mut Vec::new());
    explorer
}

#[tokio::test(start_paused = true)]
async fn two_candidates_never_hold_the_lease_at_once() {
    let depth = std::env::var("JACINTHROCK_DEPTH").ok().and_then(|text| text.parse().ok());
    let explorer = explore(&FIRST_LEASE_TAKEN, depth.unwrap_or(CI_DEPTH), None, None);
    println!("states: {}", explorer.states);
    assert!(explorer.counterexample.is_none(), "{:?}", explorer.counterexample);
}

#[tokio::test(start_paused = true)]
async fn every_disabled_lease_rule_is_detected() {
    let rules = [
        LeaseRule::ExpiryFromSend,
        LeaseRule::WatchFullTtl,
        LeaseRule::FenceIncrement,
        LeaseRule::ReadBack,
        LeaseRule::LocalExpiry,
    ];
    for rule in rules {
        let counterexample =
            (3..=8).find_map(|depth| explore(&RENEWAL_DUE, depth, Some(rule), None).counterexample);
        println!("{rule:?}: {counterexample:?}");
        assert!(counterexample.is_some(), "disabling {rule:?} is not detected");
    }
}

#[tokio::test(start_paused = true)]
async fn an_order_sent_without_a_lease_check_is_detected() {
    let rule = Some(OrderRule::CheckBeforeSend);
    let counterexample =
        (3..=8).find_map(|depth| explore(&RENEWAL_DUE, depth, None, rule).counterexample);
    println!("{rule:?}: {counterexample:?}");
    assert!(counterexample.is_some());
}
