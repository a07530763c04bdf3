//! Simulates controllers of several hosts on one store and one fleet of engines, injects faults,
//! and checks the result.
#![allow(dead_code)]

use jacinthrock::{
    ControllerLoop, ControllerOptions, EffectiveConfig, EffectiveService, EndpointDeclaration,
    LayerRange, LeaseRule, MetricRegistry, ModelDeclaration, OrderRule, PlatformStore,
    PriorityClass, ServiceTarget, stage_ranges,
};
use jacinthrock_standins::fake_store::{FakeStore, StoreFaults};
use jacinthrock_standins::host_gate::{
    GateFault, GatePoint, GatedEndpointClient, GatedStore, HostGate,
};
use jacinthrock_standins::order_engine::{AppliedOrder, OrderFaults, OrderFleet};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time between samples of the lease holders.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time after all faults are cleared within which the engines must match the placement: the lease
/// expires, the new holder waits out older orders, and engines are polled three times.
const CONVERGENCE_TIME: Duration = Duration::from_secs(45);

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn schedule_count(default_count: u64) -> u64 {
    let requested = std::env::var("JACINTHROCK_SCHEDULES").ok();
    requested.and_then(|text| text.parse().ok()).unwrap_or(default_count)
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
    StoreOutage(Duration),
    /// This host can't reach the store; the other hosts can.
    Partition(usize, Duration),
    EngineDown(usize, Duration),
    EngineLeaving(usize),
    NewVersion,
}

#[derive(Clone)]
pub(crate) struct LeaseScenario {
    pub(crate) seed: u64,
    pub(crate) hosts: usize,
    /// Whether each engine checks the fence.
    pub(crate) engines: Vec<bool>,
    pub(crate) stages: u16,
    pub(crate) gate_faults: Vec<(usize, GatePoint, GateFault)>,
    pub(crate) changes: Vec<(Duration, Change)>,
    pub(crate) store_faults: StoreFaults,
    pub(crate) order_faults: OrderFaults,
    pub(crate) disabled_lease_rule: Option<LeaseRule>,
    pub(crate) disabled_order_rule: Option<OrderRule>,
}

impl LeaseScenario {
    /// Whether a host may be frozen between its check of the lease and its order.
    fn has_freeze(&self) -> bool {
        let frozen_change = |(_, change): &(Duration, Change)| matches!(change, Change::Freeze(..));
        let frozen_point =
            |(_, _, fault): &(usize, GatePoint, GateFault)| matches!(fault, GateFault::Freeze(_));
        self.changes.iter().any(frozen_change) || self.gate_faults.iter().any(frozen_point)
    }
}

struct SimulatedHost {
    gate: HostGate,
    store: FakeStore,
    controller: Rc<ControllerLoop>,
}

struct TestCluster {
    store: FakeStore,
    fleet: OrderFleet,
    config: Rc<RefCell<Rc<EffectiveConfig>>>,
    options: ControllerOptions,
    hosts: Vec<SimulatedHost>,
}

/// Outcome of a scenario.
pub(crate) struct LeaseReport {
    pub(crate) violations: Vec<String>,
    pub(crate) applied_orders: Vec<AppliedOrder>,
    pub(crate) highest_fence: u64,
    /// Planned gate faults whose step no host reached.
    pub(crate) unreached_faults: usize,
}

fn build_config(scenario: &LeaseScenario, version: &str) -> Rc<EffectiveConfig> {
    let declare = |(index, checks_fence): (usize, &bool)| EndpointDeclaration {
        name: format!("engine-{index}").into(),
        address: format!("engine-{index}").into(),
        domain: format!("domain-{}", index % 3).into(),
        accelerator: "kind".into(),
        checks_fence: *checks_fence,
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

impl TestCluster {
    fn new(scenario: &LeaseScenario) -> Self {
        let store = FakeStore::new(scenario.seed);
        store.set_faults(scenario.store_faults.clone());
        let fleet = OrderFleet::new(scenario.seed ^ 0xf1ee7);
        fleet.set_faults(scenario.order_faults.clone());
        for (index, checks_fence) in scenario.engines.iter().enumerate() {
            fleet.add(&format!("engine-{index}"), *checks_fence);
        }
        let config = Rc::new(RefCell::new(build_config(scenario, "v1")));
        let mut options = ControllerOptions::default();
        // All hosts of a test share one clock, which can't drift.
        options.lease.drift_margin = ms(20);
        options.lease.disabled = scenario.disabled_lease_rule;
        options.order.disabled = scenario.disabled_order_rule;
        let mut cluster = Self { store, fleet, config, options, hosts: Vec::new() };
        for _ in 0..scenario.hosts {
            cluster.add_host();
        }
        for (host, point, fault) in &scenario.gate_faults {
            cluster.hosts[*host].gate.plan(*point, fault.clone());
        }
        cluster
    }

    fn add_host(&mut self) {
        let name = format!("host-{}", self.hosts.len());
        let gate = HostGate::new();
        let handle = self.store.handle();
        let store = Rc::new(GatedStore::new(gate.clone(), Rc::new(handle.clone())));
        let fleet = Rc::new(self.fleet.handle(&name));
        let client = Rc::new(GatedEndpointClient::new(gate.clone(), fleet));
        let config = self.config.clone();
        let source = Rc::new(move || Some(config.borrow().clone()));
        let metrics = Rc::new(MetricRegistry::new());
        let options = self.options.clone();
        let holder = (name.into(), 1);
        let controller = ControllerLoop::new(store, client, source, holder, options, metrics);
        tokio::task::spawn_local(controller.clone().run());
        self.hosts.push(SimulatedHost { gate, store: handle, controller });
    }

    fn holders(&self) -> Vec<(usize, u64)> {
        let alive = self.hosts.iter().enumerate().filter(|(_, host)| !host.gate.is_dead());
        alive.filter_map(|(index, host)| Some((index, host.controller.fence()?))).collect()
    }

    async fn apply_change(&mut self, scenario: &LeaseScenario, change: Change) {
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
            Change::StoreOutage(time) => {
                let store = self.store.clone();
                store.set_down(true);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(time).await;
                    store.set_down(false);
                });
            }
            Change::Partition(host, time) => {
                let store = self.hosts[host].store.clone();
                store.set_partitioned(true);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(time).await;
                    store.set_partitioned(false);
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
            Change::EngineLeaving(engine) => self.mark_leaving(engine).await,
            Change::NewVersion => {
                self.config.replace(build_config(scenario, "v2"));
            }
        }
    }

    /// Marks an engine as leaving in the platform's list. The platform writes this list itself, so
    /// faults of the hosts don't affect it and the write is retried until it succeeds.
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

/// Runs a scenario, clears all faults, and checks the final engine states and the recorded orders.
pub(crate) fn run_scenario(scenario: &LeaseScenario) -> LeaseReport {
    run_paused(async { execute(scenario).await })
}

async fn execute(scenario: &LeaseScenario) -> LeaseReport {
    let mut cluster = TestCluster::new(scenario);
    let mut violations = BTreeSet::new();
    let mut owners = BTreeMap::new();
    let started = Instant::now();
    let mut changes = scenario.changes.clone();
    changes.sort_by_key(|(at, _)| *at);
    for (at, change) in changes {
        sample_until(&cluster, started + at, &mut owners, &mut violations).await;
        cluster.apply_change(scenario, change).await;
    }
    sample_until(&cluster, Instant::now() + ms(15_000), &mut owners, &mut violations).await;
    cluster.store.set_faults(StoreFaults::default());
    cluster.fleet.set_faults(OrderFaults::default());
    cluster.store.set_down(false);
    cluster.hosts.iter().for_each(|host| host.store.set_partitioned(false));
    for index in 0..scenario.engines.len() {
        cluster.fleet.set_down(&format!("engine-{index}"), false);
    }
    cluster.add_host();
    sample_until(&cluster, Instant::now() + CONVERGENCE_TIME, &mut owners, &mut violations).await;
    violations.extend(check_convergence(&cluster, scenario));
    violations.extend(check_order_fences(&cluster.fleet.applied_orders(), scenario, &owners));
    LeaseReport {
        violations: violations.into_iter().collect(),
        applied_orders: cluster.fleet.applied_orders(),
        unreached_faults: cluster.hosts.iter().map(|host| host.gate.unreached()).sum(),
        highest_fence: owners.keys().last().copied().unwrap_or(0),
    }
}

async fn sample_until(
    cluster: &TestCluster,
    until: Instant,
    owners: &mut BTreeMap<u64, usize>,
    violations: &mut BTreeSet<String>,
) {
    while Instant::now() < until {
        let holders = cluster.holders();
        if holders.len() > 1 {
            violations.insert(format!("several hosts held the lease at once: {holders:?}"));
        }
        for (host, fence) in holders {
            if *owners.entry(fence).or_insert(host) != host {
                violations.insert(format!("fence {fence} was used by two hosts"));
            }
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Checks that, once all faults are cleared, there is one holder, every engine matches its
/// placement, and every layer is covered.
fn check_convergence(cluster: &TestCluster, scenario: &LeaseScenario) -> Vec<String> {
    let holders = cluster.holders();
    let [(holder, fence)] = holders[..] else {
        return vec![format!("expected one holder at the end: {holders:?}")];
    };
    let status = cluster.hosts[holder].controller.status();
    let mut violations = Vec::new();
    let mut covered = BTreeSet::new();
    for (index, checks_fence) in scenario.engines.iter().enumerate() {
        let name = format!("engine-{index}");
        let engine = cluster.fleet.peek(&name).expect("engine");
        let range = LayerRange { first: engine.first_layer, last: engine.last_layer };
        let is_listed_leaving = cluster.store.peek(&format!("hosts/{name}")).is_some();
        if is_listed_leaving != engine.leaving {
            violations
                .push(format!("{name} leaving: {}, listed: {is_listed_leaving}", engine.leaving));
        }
        if is_listed_leaving && cluster.store.peek(&format!("drain/{name}")).is_none() {
            violations.push(format!("{name} is leaving without a drain mark"));
        }
        let Some(desired) = status.plan.engines.get(&*name) else {
            violations.push(format!("{name} is not in the placement"));
            continue;
        };
        if desired.range != range || desired.version != engine.version {
            violations.push(format!("{name} has loaded {engine:?} instead of {desired:?}"));
        }
        if *checks_fence && engine.fence != fence {
            violations
                .push(format!("{name} has fence {}, but the lease has {fence}", engine.fence));
        }
        if !engine.leaving {
            covered.insert(range);
        }
    }
    let staying = scenario.engines.len() - status.leaving.len();
    let ranges = stage_ranges(12, scenario.stages);
    if staying >= ranges.len() && !ranges.iter().all(|range| covered.contains(range)) {
        violations.push(format!("layers are not covered: {covered:?}"));
    }
    violations
}

/// Checks that no engine accepts an older order after a newer one, and that each order carries its
/// sender's own fence. An engine that doesn't check fences may accept an older order if a host was
/// frozen between its check of the lease and its order.
fn check_order_fences(
    applied_orders: &[AppliedOrder],
    scenario: &LeaseScenario,
    owners: &BTreeMap<u64, usize>,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    for applied in applied_orders {
        let index: usize = applied.address["engine-".len()..].parse().expect("engine name");
        let last = highest.entry(&applied.address).or_insert(0);
        let fence = applied.order.fence;
        if fence < *last && (scenario.engines[index] || !scenario.has_freeze()) {
            violations.push(format!("{} accepted fence {fence} after {last}", applied.address));
        }
        *last = fence.max(*last);
        let owner = owners.get(&fence).map(|owner| format!("host-{owner}"));
        if owner.is_some_and(|owner| *owner != *applied.host) {
            violations.push(format!("{} ordered with another host's fence {fence}", applied.host));
        }
    }
    violations
}
