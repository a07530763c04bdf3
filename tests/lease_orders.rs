//! Unit tests of the placement of engines and of the orders that follow from it.

use jacinthrock::{
    EffectiveConfig, EffectiveService, EndpointDeclaration, EngineSnapshot, EngineStatus,
    HeldLease, LayerRange, ModelDeclaration, OrderAction, OrderOptions, OrderReconciler,
    PriorityClass, ServiceTarget, plan_placement, stage_ranges,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

const LAYERS: u16 = 8;

fn endpoint(index: usize) -> EndpointDeclaration {
    EndpointDeclaration {
        name: format!("engine-{index}").into(),
        address: format!("engine-{index}").into(),
        domain: format!("domain-{}", index % 3).into(),
        accelerator: format!("kind-{}", index % 2).into(),
        checks_fence: false,
    }
}

fn config(engines: usize, stages: u16) -> EffectiveConfig {
    let model = ModelDeclaration {
        name: "guide".into(),
        version: "v1".into(),
        layers: LAYERS,
        stages,
        endpoint_slots: 4,
        endpoints: (0..engines).map(endpoint).collect(),
    };
    let service = EffectiveService {
        name: "guide".into(),
        priority: PriorityClass::Guidance,
        deadline: Duration::from_secs(5),
        token_gap: Duration::from_secs(1),
        max_tokens: 100,
        queue_length: 10,
        target: ServiceTarget::Model(model),
    };
    EffectiveConfig {
        services: BTreeMap::from([("guide".into(), service)]),
        ..EffectiveConfig::default()
    }
}

fn status(index: usize, range: LayerRange) -> EngineStatus {
    EngineStatus {
        endpoint: format!("engine-{index}").into(),
        model: "guide".into(),
        version: "v1".into(),
        first_layer: range.first,
        last_layer: range.last,
        fence: 0,
        running: 0,
        waiting: 0,
        leaving: false,
    }
}

fn snapshot_of(ranges: &[LayerRange]) -> EngineSnapshot {
    let statuses = ranges
        .iter()
        .enumerate()
        .map(|(index, range)| (format!("engine-{index}").into(), status(index, *range)));
    EngineSnapshot { statuses: statuses.collect(), ..EngineSnapshot::default() }
}

#[test]
fn a_placement_that_fits_moves_nothing() {
    let ranges = stage_ranges(LAYERS, 2);
    let loaded = [ranges[1], ranges[0], ranges[0], ranges[1], ranges[0]];
    let plan = plan_placement(&config(5, 2), &snapshot_of(&loaded));
    for (index, range) in loaded.iter().enumerate() {
        assert_eq!(plan.engines[&*format!("engine-{index}")].range, *range);
    }
}

#[test]
fn a_stage_without_engines_is_covered_by_one_move() {
    let ranges = stage_ranges(LAYERS, 2);
    let mut snapshot = snapshot_of(&[ranges[0], ranges[0], ranges[0], ranges[1]]);
    snapshot.lost = BTreeSet::from(["engine-3".into()]);
    let plan = plan_placement(&config(4, 2), &snapshot);
    let moved = plan.engines.values().filter(|engine| engine.range == ranges[1]).count();
    assert_eq!(moved, 1);
    assert!(plan.uncovered.is_empty());
}

#[test]
fn engines_are_spread_over_failure_domains() {
    let plan = plan_placement(&config(6, 2), &EngineSnapshot::default());
    for range in stage_ranges(LAYERS, 2) {
        let members = plan.engines.values().filter(|engine| engine.range == range);
        let domains: BTreeSet<_> = members.map(|engine| engine.endpoint.domain.clone()).collect();
        assert_eq!(domains.len(), 3);
    }
}

#[test]
fn layers_without_an_engine_are_reported() {
    let plan = plan_placement(&config(1, 2), &EngineSnapshot::default());
    assert_eq!(plan.uncovered.len(), 1);
}

/// Guards against endless swaps: when the placement treated an engine with a pending order as
/// unchanged, it moved another engine in its place, and the two kept exchanging their layers.
#[tokio::test(start_paused = true)]
async fn an_engine_with_a_pending_order_counts_as_changed() {
    let now = Instant::now();
    let lease = HeldLease { fence: 1, since: now, until: now + Duration::from_secs(6) };
    let options = OrderOptions { longest_order_time: Duration::ZERO, ..OrderOptions::default() };
    let (config, ranges) = (config(2, 2), stage_ranges(LAYERS, 2));
    let addresses = (0..2).map(|index| {
        let name = format!("engine-{index}");
        (name.clone().into(), name.into())
    });
    let addresses: BTreeMap<_, _> = addresses.collect();
    let mut orders = OrderReconciler::new(options);
    orders.set_engines(now, lease, &addresses);
    assert_eq!(orders.advance(now, lease).len(), 2);
    for index in 0..2 {
        orders.observe(now, &format!("engine-{index}"), Ok(status(index, ranges[0])));
    }
    let plan = plan_placement(&config, &orders.snapshot(now).expect("both engines answered"));
    orders.set_desired(plan.engines);
    let actions = orders.advance(now, lease);
    let [OrderAction::Send { endpoint, .. }] = &actions[..] else {
        panic!("expected one order that moves an engine: {actions:?}");
    };
    let snapshot = orders.snapshot(now).expect("both engines answered");
    assert_eq!(snapshot.statuses[endpoint].first_layer, ranges[1].first);
    let plan_again = plan_placement(&config, &snapshot);
    assert_eq!(plan_again.engines[endpoint].range, ranges[1]);
}
