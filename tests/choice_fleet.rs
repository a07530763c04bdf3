//! Choice of endpoints for new work by their reports, their failures and whether they are leaving.

use assert_matches::assert_matches;
use jacinthrock::{
    AvoidSet, CallFailure, ChainRequest, EffectiveConfig, EffectiveService, EjectionOptions,
    EjectionTable, EndpointDeclaration, EndpointFleet, EndpointHealth, EndpointPicker,
    EngineStatus, FleetOptions, LeavingSource, MetricRegistry, ModelDeclaration, PlainDeclaration,
    PriorityClass, ServiceTarget, poll_engines,
};
use jacinthrock_standins::fake_engine::{EngineSpec, EngineTimes, FakeEngines};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

fn endpoint(name: &str, domain: &str) -> EndpointDeclaration {
    EndpointDeclaration {
        name: name.into(),
        address: format!("{name}:80").into(),
        domain: domain.into(),
        accelerator: "small".into(),
        checks_fence: false,
    }
}

fn endpoints(count: usize) -> Vec<EndpointDeclaration> {
    (0..count).map(|index| endpoint(&format!("e{index}"), &format!("d{}", index % 3))).collect()
}

fn model(count: usize) -> ModelDeclaration {
    ModelDeclaration {
        name: "guide".into(),
        version: "3".into(),
        layers: 4,
        stages: 1,
        endpoint_slots: 4,
        endpoints: endpoints(count),
    }
}

fn config(target: ServiceTarget) -> EffectiveConfig {
    let service = EffectiveService {
        name: "service".into(),
        priority: PriorityClass::Guidance,
        deadline: Duration::from_secs(5),
        token_gap: Duration::from_secs(1),
        max_tokens: 64,
        queue_length: 8,
        target,
    };
    let services = BTreeMap::from([(service.name.clone(), service)]);
    EffectiveConfig { revision: 1, services, ..EffectiveConfig::default() }
}

fn status(name: &str, load: u32) -> EngineStatus {
    EngineStatus {
        endpoint: name.into(),
        model: "guide".into(),
        version: "3".into(),
        first_layer: 0,
        last_layer: 3,
        fence: 0,
        running: load,
        waiting: 0,
        leaving: false,
    }
}

fn fleet(target: ServiceTarget, options: FleetOptions) -> EndpointFleet {
    let fleet = EndpointFleet::new(options, Rc::new(MetricRegistry::new()));
    fleet.apply_config(&config(target));
    fleet
}

fn model_fleet(count: usize, now: Instant) -> (EndpointFleet, ModelDeclaration) {
    let model = model(count);
    let fleet = fleet(ServiceTarget::Model(model.clone()), FleetOptions::default());
    for endpoint in &model.endpoints {
        fleet.observe_status(now, status(&endpoint.name, 0));
    }
    (fleet, model)
}

fn chosen(fleet: &EndpointFleet, model: &ModelDeclaration, now: Instant) -> BTreeSet<Box<str>> {
    let avoid = AvoidSet::default();
    let chains = (0..200).filter_map(|index| {
        let prompt = format!("prompt {index}");
        fleet.plan(now, &ChainRequest { model, prompt: &prompt, avoid: &avoid })
    });
    chains.flat_map(|chain| chain.stages).map(|stage| stage.endpoint).collect()
}

#[test]
fn one_leaving_source_suffices_to_stop_new_work() {
    let now = Instant::now();
    let (fleet, model) = model_fleet(4, now);
    assert!(chosen(&fleet, &model, now).contains("e1"));
    for source in [LeavingSource::PlatformList, LeavingSource::DrainMark] {
        fleet.set_leaving("e1", source, true);
        assert!(!chosen(&fleet, &model, now).contains("e1"), "{source:?}");
        fleet.set_leaving("e1", source, false);
        assert!(chosen(&fleet, &model, now).contains("e1"), "{source:?}");
    }
    fleet.set_leaving("e1", LeavingSource::PlatformList, true);
    fleet.set_leaving("e1", LeavingSource::DrainMark, true);
    fleet.set_leaving("e1", LeavingSource::DrainMark, false);
    assert!(!chosen(&fleet, &model, now).contains("e1"));
}

#[test]
fn a_report_from_before_a_refusal_does_not_clear_it() {
    let now = Instant::now();
    let (fleet, model) = model_fleet(4, now);
    let refusal = CallFailure::Refused { reason: "leaving".into(), leaving: true };
    fleet.observe_failure(now, "e1", &refusal);
    fleet.observe_status(now + Duration::from_millis(20), status("e1", 0));
    assert!(!chosen(&fleet, &model, now).contains("e1"));
    fleet.observe_status(now + Duration::from_secs(2), status("e1", 0));
    assert!(chosen(&fleet, &model, now).contains("e1"));
}

#[test]
fn only_endpoints_that_report_the_declared_model_version_and_range_take_work() {
    let now = Instant::now();
    for changed in [
        EngineStatus { version: "2".into(), ..status("e1", 0) },
        EngineStatus { model: "draft".into(), ..status("e1", 0) },
        EngineStatus { last_layer: 2, ..status("e1", 0) },
        EngineStatus { last_layer: 4, ..status("e1", 0) },
    ] {
        let (fleet, model) = model_fleet(4, now);
        fleet.observe_status(now, changed.clone());
        assert!(!chosen(&fleet, &model, now).contains("e1"), "{changed:?}");
    }
    let unreported = fleet(ServiceTarget::Model(model(4)), FleetOptions::default());
    assert!(chosen(&unreported, &model(4), now).is_empty());
}

#[test]
fn with_the_version_check_disabled_any_version_takes_work() {
    let now = Instant::now();
    let options = FleetOptions { match_version: false, ..FleetOptions::default() };
    let fleet = fleet(ServiceTarget::Model(model(2)), options);
    fleet.observe_status(now, EngineStatus { version: "2".into(), ..status("e1", 0) });
    assert!(chosen(&fleet, &model(2), now).contains("e1"));
}

#[test]
fn a_report_does_not_count_this_routers_own_requests_twice() {
    let now = Instant::now();
    let (fleet, model) = model_fleet(2, now);
    let _guards: Vec<_> = (0..8).map(|_| fleet.track_in_flight(["e0".into()])).collect();
    fleet.observe_status(now, status("e0", 8));
    fleet.observe_status(now, status("e1", 12));
    assert_eq!(chosen(&fleet, &model, now), BTreeSet::from(["e0".into()]));
}

#[test]
fn requests_in_flight_end_when_their_guard_is_dropped() {
    let (fleet, _) = model_fleet(2, Instant::now());
    let guard = fleet.track_in_flight(["e0".into(), "e1".into()]);
    assert_eq!(fleet.in_flight("e0"), 1);
    drop(guard);
    assert_eq!((fleet.in_flight("e0"), fleet.in_flight("e1")), (0, 0));
}

#[test]
fn an_older_configuration_has_no_effect() {
    let now = Instant::now();
    let (fleet, model) = model_fleet(2, now);
    fleet.apply_config(&EffectiveConfig::default());
    assert_eq!(chosen(&fleet, &model, now).len(), 2);
}

#[test]
fn a_failing_endpoint_is_ejected_with_backoff_and_then_probed() {
    let now = Instant::now();
    let (fleet, model) = model_fleet(4, now);
    fleet.observe_failure(now, "e1", &CallFailure::NotSent("refused".into()));
    assert_eq!(fleet.health(now, "e1"), EndpointHealth::Ejected);
    assert!(!chosen(&fleet, &model, now).contains("e1"));
    let later = now + Duration::from_millis(1500);
    assert_eq!(fleet.health(later, "e1"), EndpointHealth::Probing);
    assert!(!chosen(&fleet, &model, later).contains("e1"), "no answer since the failure");
    fleet.observe_failure(later, "e1", &CallFailure::NotSent("refused".into()));
    let second = later + Duration::from_millis(1500);
    assert_eq!(fleet.health(second, "e1"), EndpointHealth::Ejected, "the backoff doubles");
}

fn table(options: EjectionOptions, count: usize) -> EjectionTable {
    let mut table = EjectionTable::new(options);
    (0..count).for_each(|index| table.assign_pool(&format!("e{index}"), "pool"));
    table
}

fn ejected(table: &EjectionTable, now: Instant, count: usize) -> usize {
    let is_ejected =
        |index: &usize| table.health(now, &format!("e{index}")) == EndpointHealth::Ejected;
    (0..count).filter(is_ejected).count()
}

#[test]
fn ejection_stays_within_its_fraction_and_stops_at_a_shared_fault() {
    let now = Instant::now();
    for count in 1..12 {
        let mut limited = table(EjectionOptions::default(), count);
        let unlimited =
            EjectionOptions { largest_ejected_fraction: 1.0, ..EjectionOptions::default() };
        let mut unlimited = table(unlimited, count);
        for index in 0..count {
            limited.record_failure(now, &format!("e{index}"), 2);
            unlimited.record_failure(now, &format!("e{index}"), 2);
            assert!(ejected(&limited, now, count) * 2 <= count);
        }
        assert_eq!(ejected(&limited, now, count), 0, "most are faulty: none is ejected");
        assert_eq!(
            ejected(&unlimited, now, count),
            count,
            "without the limit the whole pool is ejected"
        );
    }
}

#[test]
fn a_plain_call_tries_another_domain_first_and_skips_ejected_endpoints() {
    let plain = PlainDeclaration {
        prefix: "/bookings".into(),
        operations: vec![],
        endpoint_slots: 4,
        endpoints: endpoints(6),
    };
    let fleet = fleet(ServiceTarget::Plain(plain), FleetOptions::default());
    let picker = fleet.plain_picker("service");
    let tried = BTreeSet::from(["e0".into()]);
    for _ in 0..50 {
        assert_matches!(picker.pick(&tried), Some(other) if &*other.domain != "d0");
    }
    picker.started("e1");
    let failure = CallFailure::NotSent("refused".into());
    picker.finished("e1", Duration::from_millis(1), Some(&failure));
    for _ in 0..50 {
        assert_matches!(picker.pick(&BTreeSet::new()), Some(other) if &*other.name != "e1");
    }
    let all = (0..6).map(|index| format!("e{index}").into()).collect();
    assert_eq!(picker.pick(&all), None);
}

#[test]
fn an_endpoint_takes_no_work_if_another_answers_at_its_address() {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("a runtime can be built");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (fleet, model) = model_fleet(1, Instant::now());
        assert!(!chosen(&fleet, &model, Instant::now()).is_empty());
        let other = EngineSpec {
            endpoint: "other".into(),
            address: "e0:80".into(),
            domain: "d0".into(),
            model: "guide".into(),
            version: "3".into(),
            first_layer: 0,
            last_layer: 3,
            step_time: Duration::from_millis(10),
            batch: 4,
        };
        let client = Rc::new(FakeEngines::start(vec![other], EngineTimes::default(), true));
        let polls = poll_engines(fleet.clone(), client, Duration::from_millis(100));
        let _ = tokio::time::timeout(Duration::from_secs(2), polls).await;
        assert!(chosen(&fleet, &model, Instant::now()).is_empty());
    });
}

#[test]
fn model_load_counts_a_request_once_over_the_stages_of_its_chain() {
    let now = Instant::now();
    let model = model(2);
    let fleet = fleet(ServiceTarget::Model(model.clone()), FleetOptions::default());
    fleet.observe_status(now, EngineStatus { last_layer: 1, ..status("e0", 3) });
    fleet.observe_status(now, EngineStatus { first_layer: 2, ..status("e1", 3) });
    let load = fleet.model_load(now, &model);
    // Two engines of four slots each. Both report the same three requests, each of which is at one
    // stage at a time.
    assert_eq!((load.slots, load.running), (8, 3));
}
