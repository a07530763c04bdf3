//! Every ordering of a few events of two candidates for the lease.
//!
//! `JACINTHROCK_DEPTH=9 cargo test --release --test lease_exhaustive` goes deeper.

use jacinthrock::{
    LeaseAction, LeaseElector, LeaseEvent, LeaseGuard, LeaseOptions, OrderGuard, OrderOptions,
    OrderReconciler, StoreError, StoredObject,
};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

const CI_DEPTH: usize = 7;
const UNIT: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// A host's next platform call is made and answered.
    Ok(usize),
    /// A host's next platform call takes effect; its reply is lost.
    LoseReply(usize),
    /// A host's next write leaves, and neither has an effect nor an answer yet.
    Hold(usize),
    /// The held write takes effect.
    Land(usize),
    /// The held write's answer arrives.
    Answer(usize),
    /// The host gives up waiting for the held write, which may still land.
    GiveUp(usize),
    /// A host that holds the lease decides on an order.
    Decide(usize),
    /// The order is sent, after the check before sending.
    Send(usize),
    /// Time passes.
    Time,
}

#[derive(Clone)]
struct HeldWrite {
    expected: u64,
    value: Box<[u8]>,
    landed: Option<Result<u64, StoreError>>,
    waited_for: bool,
}

#[derive(Clone)]
struct Candidate {
    keeper: LeaseElector,
    held: Option<HeldWrite>,
    decided: Option<u64>,
}

#[derive(Clone)]
struct Model {
    now: Instant,
    version: u64,
    value: Option<Box<[u8]>>,
    hosts: [Candidate; 2],
    fences: BTreeMap<u64, usize>,
    wrong: Option<String>,
}

impl Model {
    fn new(now: Instant, disabled: Option<LeaseGuard>) -> Self {
        let options = LeaseOptions {
            ttl: UNIT * 2,
            renew_every: UNIT,
            margin: Duration::ZERO,
            poll_every: UNIT / 2,
            disabled,
        };
        let host = |name: &str| Candidate {
            keeper: LeaseElector::new(name, 1, options.clone()),
            held: None,
            decided: None,
        };
        let hosts = [host("a"), host("b")];
        Self { now, version: 0, value: None, hosts, fences: BTreeMap::new(), wrong: None }
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

    /// Applies an event; `None` where it changes nothing.
    fn apply(&self, event: Event, orders: &OrderReconciler) -> Option<Self> {
        let mut next = self.clone();
        let happened = match event {
            Event::Time => {
                next.now += UNIT;
                true
            }
            Event::Ok(host) => next.call(host, false),
            Event::LoseReply(host) => next.call(host, true),
            Event::Hold(host) => next.hold(host),
            Event::Land(host) => next.land(host),
            Event::Answer(host) => next.answer(host),
            Event::GiveUp(host) => next.give_up(host),
            Event::Decide(host) => next.decide(host),
            Event::Send(host) => next.send(host, orders),
        };
        if !happened {
            return None;
        }
        next.check();
        Some(next)
    }

    fn waits(&self, host: usize) -> bool {
        self.hosts[host].held.as_ref().is_some_and(|held| held.waited_for)
    }

    fn call(&mut self, host: usize, lose_reply: bool) -> bool {
        if self.waits(host) {
            return false;
        }
        let event = match self.hosts[host].keeper.advance(self.now) {
            LeaseAction::Wait(_) => return false,
            LeaseAction::Read if lose_reply => return false,
            LeaseAction::Read => LeaseEvent::Read(Ok(self.read())),
            LeaseAction::Write { expected, value } => {
                let result = self.write(expected, value);
                let lost = Err(StoreError::Ambiguous("reply lost".into()));
                LeaseEvent::Write(if lose_reply { lost } else { result })
            }
        };
        self.hosts[host].keeper.observe(self.now, event);
        true
    }

    fn hold(&mut self, host: usize) -> bool {
        if self.hosts[host].held.is_some() {
            return false;
        }
        let LeaseAction::Write { expected, value } = self.hosts[host].keeper.advance(self.now)
        else {
            return false;
        };
        let held = HeldWrite { expected, value, landed: None, waited_for: true };
        self.hosts[host].held = Some(held);
        true
    }

    fn land(&mut self, host: usize) -> bool {
        let Some(held) = self.hosts[host].held.clone().filter(|held| held.landed.is_none()) else {
            return false;
        };
        let result = self.write(held.expected, held.value.clone());
        let landed = HeldWrite { landed: Some(result), ..held };
        self.hosts[host].held = Some(landed).filter(|held| held.waited_for);
        true
    }

    fn answer(&mut self, host: usize) -> bool {
        let landed = self.hosts[host].held.as_ref().and_then(|held| held.landed.clone());
        let Some(result) = landed else {
            return false;
        };
        self.hosts[host].held = None;
        self.hosts[host].keeper.observe(self.now, LeaseEvent::Write(result));
        true
    }

    fn give_up(&mut self, host: usize) -> bool {
        if !self.waits(host) {
            return false;
        }
        let held = self.hosts[host].held.as_mut().expect("a host that waits has a held write");
        held.waited_for = false;
        if held.landed.is_some() {
            self.hosts[host].held = None;
        }
        let lost = LeaseEvent::Write(Err(StoreError::Ambiguous("gave up".into())));
        self.hosts[host].keeper.observe(self.now, lost);
        true
    }

    fn decide(&mut self, host: usize) -> bool {
        let held = self.hosts[host].keeper.held(self.now);
        let fence = held.map(|held| held.fence);
        if fence.is_none() || self.hosts[host].decided == fence {
            return false;
        }
        self.hosts[host].decided = fence;
        true
    }

    fn send(&mut self, host: usize, orders: &OrderReconciler) -> bool {
        let Some(fence) = self.hosts[host].decided.take() else {
            return false;
        };
        let held = self.hosts[host].keeper.held(self.now);
        let other = self.hosts[1 - host].keeper.held(self.now);
        if !orders.may_send(held, fence) {
            return true;
        }
        if held.is_none_or(|held| held.fence != fence) || other.is_some() {
            self.wrong = Some(format!("host {host} ordered with fence {fence} without the lease"));
        }
        true
    }

    fn check(&mut self) {
        let held = [0, 1].map(|host| self.hosts[host].keeper.held(self.now));
        if held[0].is_some() && held[1].is_some() {
            self.wrong = Some(format!("two holders: {held:?}"));
        }
        for (host, lease) in held.iter().enumerate() {
            let Some(lease) = lease else {
                continue;
            };
            let owner = *self.fences.entry(lease.fence).or_insert(host);
            let highest = *self.fences.keys().last().expect("an entry was just made");
            if owner != host || lease.fence < highest {
                self.wrong = Some(format!("fence {} was used by two holders", lease.fence));
            }
        }
    }
}

struct Explorer {
    orders: OrderReconciler,
    states: u64,
    caught: Option<(Vec<Event>, String)>,
}

impl Explorer {
    fn explore(&mut self, model: &Model, depth: usize, path: &mut Vec<Event>) {
        self.states += 1;
        if let Some(wrong) = &model.wrong {
            self.caught = Some((path.clone(), wrong.clone()));
        }
        if depth == 0 || self.caught.is_some() {
            return;
        }
        for event in events() {
            let Some(next) = model.apply(event, &self.orders) else {
                continue;
            };
            path.push(event);
            self.explore(&next, depth - 1, path);
            path.pop();
            if self.caught.is_some() {
                return;
            }
        }
    }
}

fn events() -> impl Iterator<Item = Event> {
    let of_host = |host| {
        [
            Event::Ok(host),
            Event::LoseReply(host),
            Event::Hold(host),
            Event::Land(host),
            Event::Answer(host),
            Event::GiveUp(host),
            Event::Decide(host),
            Event::Send(host),
        ]
    };
    (0..2).flat_map(of_host).chain([Event::Time])
}

/// Both have read the empty object, and the first has taken the lease.
const TAKEN: [Event; 3] = [Event::Ok(0), Event::Ok(1), Event::Ok(0)];
/// The same, when the first renewal is due.
const RENEWAL_DUE: [Event; 4] = [Event::Ok(0), Event::Ok(1), Event::Ok(0), Event::Time];

fn explore(
    start: &[Event],
    depth: usize,
    lease_guard: Option<LeaseGuard>,
    order_guard: Option<OrderGuard>,
) -> Explorer {
    let options = OrderOptions { disabled: order_guard, ..OrderOptions::default() };
    let mut explorer = Explorer { orders: OrderReconciler::new(options), states: 0, caught: None };
    let mut model = Model::new(Instant::now(), lease_guard);
    for event in start {
        model = model.apply(*event, &explorer.orders).expect("the first calls are made");
    }
    explorer.explore(&model, depth, &mut Vec::new());
    explorer
}

#[tokio::test(start_paused = true)]
async fn two_candidates_never_hold_the_lease_at_once() {
    let depth = std::env::var("JACINTHROCK_DEPTH").ok().and_then(|text| text.parse().ok());
    let explorer = explore(&TAKEN, depth.unwrap_or(CI_DEPTH), None, None);
    println!("states: {}", explorer.states);
    assert!(explorer.caught.is_none(), "{:?}", explorer.caught);
}

#[tokio::test(start_paused = true)]
async fn every_planted_fault_of_the_lease_is_caught() {
    let guards = [
        LeaseGuard::TimeFromSend,
        LeaseGuard::WatchWholeTime,
        LeaseGuard::FenceRises,
        LeaseGuard::ReadBack,
        LeaseGuard::HolderExpires,
    ];
    for guard in guards {
        let caught =
            (3..=8).find_map(|depth| explore(&RENEWAL_DUE, depth, Some(guard), None).caught);
        println!("{guard:?}: {caught:?}");
        assert!(caught.is_some(), "{guard:?} is not caught");
    }
}

#[tokio::test(start_paused = true)]
async fn an_order_sent_without_the_check_is_caught() {
    let guard = Some(OrderGuard::CheckBeforeSend);
    let caught = (3..=8).find_map(|depth| explore(&RENEWAL_DUE, depth, None, guard).caught);
    println!("{guard:?}: {caught:?}");
    assert!(caught.is_some());
}
