//! Runs controllers of several hosts on one store and one fleet of engines, and checks them.
#![allow(dead_code)]

use jacinthrock::{
    ControllerLoop, ControllerOptions, CounterRegistry, EffectiveConfig, EffectiveService,
    EndpointDeclaration, LayerRange, LeaseGuard, ModelDeclaration, OrderGuard, PlatformStore,
    PriorityClass, ServiceTarget, stage_ranges,
};
use jacinthrock_standins::fake_store::{FakeStore, StoreFaults};
use jacinthrock_standins::host_gate::{GateFault, GatePoint, GatedCaller, GatedStore, HostGate};
use jacinthrock_standins::order_engine::{AppliedOrder, OrderFaults, OrderFleet};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time between samples of who holds the lease.
const SAMPLE_EVERY: Duration = Duration::from_millis(50);
/// Time after healing in which everything must be as placed: a lapse, the wait and three polls.
const HEAL_TIME: Duration = Duration::from_secs(45);

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn schedules(ci_share: u64) -> u64 {
    let wanted = std::env::var("JACINTHROCK_SCHEDULES").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(ci_share)
}

pub(crate) fn run_paused<T>(future: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

#[derive(Clone)]
pub(crate) enum Change {
    Kill(usize),
    Freeze(usize, Duration),
    Stop(usize),
    NewHost,
    Outage(Duration),
    /// The host can't reach the store; others can.
    Cut(usize, Duration),
    EngineDown(usize, Duration),
    Leave(usize),
    NewVersion,
}

#[derive(Clone)]
pub(crate) struct LeaseScenario {
    pub(crate) seed: u64,
    pub(crate) hosts: usize,
    pub(crate) engines: Vec<bool>,
    pub(crate) stages: u16,
    pub(crate) points: Vec<(usize, GatePoint, GateFault)>,
    pub(crate) changes: Vec<(Duration, Change)>,
    pub(crate) store_faults: StoreFaults,
    pub(crate) order_faults: OrderFaults,
    pub(crate) lease_guard: Option<LeaseGuard>,
    pub(crate) order_guard: Option<OrderGuard>,
}

impl LeaseScenario {
    /// Whether a host may stand still between its check of the lease and its order.
    fn freezes(&self) -> bool {
        let frozen_change = |(_, change): &(Duration, Change)| matches!(change, Change::Freeze(..));
        let frozen_point =
            |(_, _, fault): &(usize, GatePoint, GateFault)| matches!(fault, GateFault::Freeze(_));
        self.changes.iter().any(frozen_change) || self.points.iter().any(frozen_point)
    }
}

struct ControllerHost {
    gate: HostGate,
    store: FakeStore,
    controller: Rc<ControllerLoop>,
}

struct LeaseWorld {
    store: FakeStore,
    fleet: OrderFleet,
    config: Rc<RefCell<Rc<EffectiveConfig>>>,
    options: ControllerOptions,
    hosts: Vec<ControllerHost>,
}

/// What a run left behind.
pub(crate) struct LeaseReport {
    pub(crate) wrong: Vec<String>,
    pub(crate) effects: Vec<AppliedOrder>,
    pub(crate) highest_fence: u64,
    /// Planned steps that no host reached.
    pub(crate) unreached: usize,
}

fn config_of(scenario: &LeaseScenario, version: &str) -> Rc<EffectiveConfig> {
    let declare = |(index, checks): (usize, &bool)| EndpointDeclaration {
        name: format!("engine-{index}").into(),
        address: format!("engine-{index}").into(),
        domain: format!("domain-{}", index % 3).into(),
        accelerator: "kind".into(),
        checks_fence: *checks,
    };
    let model = ModelDeclaration {
        name: "guide".into(),
        version: version.into(),
        layers: 12,
        stages: scenario.stages,
        endpoint_slots: 4,
        endpoints: scenario.engines.iter().enumerate().map(declare).collect(),
    };
    let service = EffectiveService {
        name: "guide".into(),
        priority: PriorityClass::Guidance,
        deadline: ms(5000),
        token_gap: ms(500),
        max_tokens: 100,
        queue_length: 10,
        target: ServiceTarget::Model(model),
    };
    let services = BTreeMap::from([("guide".into(), service)]);
    Rc::new(EffectiveConfig { revision: 1, services, ..EffectiveConfig::default() })
}

impl LeaseWorld {
    fn new(scenario: &LeaseScenario) -> Self {
        let store = FakeStore::new(scenario.seed);
        store.set_faults(scenario.store_faults.clone());
        let fleet = OrderFleet::new(scenario.seed ^ 0xf1ee7);
        fleet.set_faults(scenario.order_faults.clone());
        for (index, checks) in scenario.engines.iter().enumerate() {
            fleet.add(&format!("engine-{index}"), *checks);
        }
        let config = Rc::new(RefCell::new(config_of(scenario, "v1")));
        let mut options = ControllerOptions::default();
        // Every clock of a test runs at the same rate.
        options.lease.margin = ms(20);
        options.lease.disabled = scenario.lease_guard;
        options.order.disabled = scenario.order_guard;
        let mut world = Self { store, fleet, config, options, hosts: Vec::new() };
        for _ in 0..scenario.hosts {
            world.add_host();
        }
        for (host, point, fault) in &scenario.points {
            world.hosts[*host].gate.plan(*point, fault.clone());
        }
        world
    }

    fn add_host(&mut self) {
        let name = format!("host-{}", self.hosts.len());
        let gate = HostGate::new();
        let handle = self.store.handle();
        let store = Rc::new(GatedStore::new(gate.clone(), Rc::new(handle.clone())));
        let fleet = Rc::new(self.fleet.handle(&name));
        let caller = Rc::new(GatedCaller::new(gate.clone(), fleet));
        let config = self.config.clone();
        let source = Rc::new(move || Some(config.borrow().clone()));
        let counters = Rc::new(CounterRegistry::new());
        let options = self.options.clone();
        let holder = (name.into(), 1);
        let controller = ControllerLoop::new(store, caller, source, holder, options, counters);
        tokio::task::spawn_local(controller.clone().run());
        self.hosts.push(ControllerHost { gate, store: handle, controller });
    }

    fn holders(&self) -> Vec<(usize, u64)> {
        let alive = self.hosts.iter().enumerate().filter(|(_, host)| !host.gate.is_dead());
        alive.filter_map(|(index, host)| Some((index, host.controller.fence()?))).collect()
    }

    async fn change(&mut self, scenario: &LeaseScenario, change: Change) {
        match change {
            Change::Kill(host) => self.hosts[host].gate.kill(),
            Change::Freeze(host, time) => {
                let gate = self.hosts[host].gate.clone();
                gate.set_frozen(true);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(time).await;
                    gate.set_frozen(false);
                });
            }
            Change::Stop(host) => self.hosts[host].controller.stop(),
            Change::NewHost => self.add_host(),
            Change::Outage(time) => {
                let store = self.store.clone();
                store.set_down(true);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(time).await;
                    store.set_down(false);
                });
            }
            Change::Cut(host, time) => {
                let store = self.hosts[host].store.clone();
                store.set_cut(true);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(time).await;
                    store.set_cut(false);
                });
            }
            Change::EngineDown(engine, time) => {
                let (fleet, address) = (self.fleet.clone(), format!("engine-{engine}"));
                fleet.set_down(&address, true);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(time).await;
                    fleet.set_down(&address, false);
                });
            }
            Change::Leave(engine) => self.mark_leaving(engine).await,
            Change::NewVersion => {
                self.config.replace(config_of(scenario, "v2"));
            }
        }
    }

    /// Writes the platform's own list, which no fault of the system's hosts can stop.
    async fn mark_leaving(&self, engine: usize) {
        let key = format!("hosts/engine-{engine}");
        let value: Box<[u8]> = br#"{"state":"leaving"}"#.as_slice().into();
        while self.store.peek(&key).is_none() {
            if self.store.put(&key, 0, value.clone()).await.is_err() {
                tokio::time::sleep(ms(100)).await;
            }
        }
    }
}

/// Runs a scenario, heals everything, and checks the engines' own states and records.
pub(crate) fn run(scenario: &LeaseScenario) -> LeaseReport {
    run_paused(async { run_here(scenario).await })
}

async fn run_here(scenario: &LeaseScenario) -> LeaseReport {
    let mut world = LeaseWorld::new(scenario);
    let mut wrong = BTreeSet::new();
    let mut owners = BTreeMap::new();
    let started = Instant::now();
    let mut changes = scenario.changes.clone();
    changes.sort_by_key(|(at, _)| *at);
    for (at, change) in changes {
        sample_until(&world, started + at, &mut owners, &mut wrong).await;
        world.change(scenario, change).await;
    }
    sample_until(&world, Instant::now() + ms(15_000), &mut owners, &mut wrong).await;
    world.store.set_faults(StoreFaults::default());
    world.fleet.set_faults(OrderFaults::default());
    world.store.set_down(false);
    world.hosts.iter().for_each(|host| host.store.set_cut(false));
    for index in 0..scenario.engines.len() {
        world.fleet.set_down(&format!("engine-{index}"), false);
    }
    world.add_host();
    sample_until(&world, Instant::now() + HEAL_TIME, &mut owners, &mut wrong).await;
    wrong.extend(check_end(&world, scenario));
    wrong.extend(check_effects(&world.fleet.applied_orders(), scenario, &owners));
    LeaseReport {
        wrong: wrong.into_iter().collect(),
        effects: world.fleet.applied_orders(),
        unreached: world.hosts.iter().map(|host| host.gate.unreached()).sum(),
        highest_fence: owners.keys().last().copied().unwrap_or(0),
    }
}

async fn sample_until(
    world: &LeaseWorld,
    until: Instant,
    owners: &mut BTreeMap<u64, usize>,
    wrong: &mut BTreeSet<String>,
) {
    while Instant::now() < until {
        let holders = world.holders();
        if holders.len() > 1 {
            wrong.insert(format!("hosts held the lease at once: {holders:?}"));
        }
        for (host, fence) in holders {
            if *owners.entry(fence).or_insert(host) != host {
                wrong.insert(format!("fence {fence} was held by two hosts"));
            }
        }
        tokio::time::sleep(SAMPLE_EVERY).await;
    }
}

/// After healing, every engine is as the one holder placed it, and every layer is covered.
fn check_end(world: &LeaseWorld, scenario: &LeaseScenario) -> Vec<String> {
    let holders = world.holders();
    let [(holder, fence)] = holders[..] else {
        return vec![format!("not one holder at the end: {holders:?}")];
    };
    let status = world.hosts[holder].controller.status();
    let mut wrong = Vec::new();
    let mut covered = BTreeSet::new();
    for (index, checks) in scenario.engines.iter().enumerate() {
        let name = format!("engine-{index}");
        let engine = world.fleet.peek(&name).expect("engine");
        let range = LayerRange { first: engine.first_layer, last: engine.last_layer };
        let leaves = world.store.peek(&format!("hosts/{name}")).is_some();
        if leaves != engine.leaving {
            wrong.push(format!("{name} leaving: {}, listed: {leaves}", engine.leaving));
        }
        if leaves && world.store.peek(&format!("drain/{name}")).is_none() {
            wrong.push(format!("{name} is leaving without a drain mark"));
        }
        let Some(desired) = status.plan.engines.get(&*name) else {
            wrong.push(format!("{name} has no place"));
            continue;
        };
        if desired.range != range || desired.version != engine.version {
            wrong.push(format!("{name} holds {engine:?}, should hold {desired:?}"));
        }
        if *checks && engine.fence != fence {
            wrong.push(format!("{name} has fence {}, the lease {fence}", engine.fence));
        }
        if !engine.leaving {
            covered.insert(range);
        }
    }
    let staying = scenario.engines.len() - status.leaving.len();
    let wanted = stage_ranges(12, scenario.stages);
    if staying >= wanted.len() && !wanted.iter().all(|range| covered.contains(range)) {
        wrong.push(format!("layers are not covered: {covered:?}"));
    }
    wrong
}

/// No engine takes an older order after a newer one, where that can be held.
fn check_effects(
    effects: &[AppliedOrder],
    scenario: &LeaseScenario,
    owners: &BTreeMap<u64, usize>,
) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    for effect in effects {
        let index: usize = effect.address["engine-".len()..].parse().expect("engine name");
        let last = highest.entry(&effect.address).or_insert(0);
        let fence = effect.order.fence;
        if fence < *last && (scenario.engines[index] || !scenario.freezes()) {
            wrong.push(format!("{} took fence {fence} after {last}", effect.address));
        }
        *last = fence.max(*last);
        let owner = owners.get(&fence).map(|owner| format!("host-{owner}"));
        if owner.is_some_and(|owner| *owner != *effect.host) {
            wrong.push(format!("{} ordered with another host's fence {fence}", effect.host));
        }
    }
    wrong
}
