//! Checks of the load tool: arrivals and faults are determined by the seed, and the consistency
//! checks detect every kind of violation.

use jacinthrock_standins::caller::{CallEnd, Refusal};
use jacinthrock_standins::fleet::declaration_tree;
use jacinthrock_standins::load::{
    CallAttempt, CallKind, CallResult, CallSample, FaultKind, FaultPlan, LoadScenario, built_in,
    call_arrivals, check_samples, draw_faults, recovery_report,
};
use jacinthrock_standins::service::ServiceRecord;
use std::collections::BTreeSet;
use std::time::Duration;

fn millis(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn sample(kind: CallKind, result: CallResult, ends: &[CallEnd]) -> CallSample {
    let attempt = |end: &CallEnd| CallAttempt {
        router: 0,
        started: millis(0),
        ended: millis(1),
        end: end.clone(),
    };
    CallSample {
        kind,
        customer: 0,
        due: millis(0),
        ended: millis(1),
        token_times: Vec::new(),
        request: "r".into(),
        key: "k".into(),
        attempts: ends.iter().map(attempt).collect(),
        result,
    }
}

fn refused(outcome: &str) -> CallEnd {
    CallEnd::Refused(Refusal {
        status: 503,
        code: 4003,
        outcome: outcome.into(),
        retry_after: None,
    })
}

fn record(times_run: u32) -> ServiceRecord {
    ServiceRecord { key: "k".into(), body: "".into(), times_run }
}

#[test]
fn the_same_seed_gives_the_same_arrivals() {
    let scenario = built_in("lasitaide").unwrap();
    let arrivals = |seed| call_arrivals(&scenario, seed, 50.0, Duration::from_secs(10));
    assert_eq!(arrivals(1), arrivals(1));
    assert_ne!(arrivals(1), arrivals(2));
}

#[test]
fn arrivals_follow_the_rate_and_the_bursts() {
    let scenario = built_in("lasitaide").unwrap();
    let arrivals = call_arrivals(&scenario, 3, 100.0, Duration::from_secs(20));
    let within = |from: u64, to: u64| {
        let inside = |at: Duration| at >= Duration::from_secs(from) && at < Duration::from_secs(to);
        arrivals.iter().filter(|arrival| inside(arrival.at)).count()
    };
    assert!((850..1150).contains(&within(0, 10)), "{}", within(0, 10));
    assert!(
        (850..1150).contains(&within(10, 15)),
        "calls during a burst of factor 2: {}",
        within(10, 15)
    );
}

#[test]
fn drawn_faults_depend_on_the_seed_and_every_freeze_ends() {
    let plan = built_in("demo").unwrap().fleet;
    let faults = draw_faults(&plan, 7, 60.0);
    assert_eq!(faults, draw_faults(&plan, 7, 60.0));
    let count =
        |wanted: fn(&FaultKind) -> bool| faults.iter().filter(|fault| wanted(&fault.kind)).count();
    let frozen = count(|kind| matches!(kind, FaultKind::FreezeRouter { .. }));
    assert!(frozen > 0);
    assert_eq!(count(|kind| matches!(kind, FaultKind::WakeRouter { .. })), frozen);
    assert!(count(|kind| matches!(kind, FaultKind::KillRouter { .. })) <= 1);
    assert!(faults.is_sorted_by(|first, second| first.at_s <= second.at_s));
}

#[test]
fn scenarios_round_trip_through_toml() {
    for name in ["demo", "faults", "lasitaide", "oficina"] {
        let scenario = built_in(name).unwrap();
        let text = toml::to_string(&scenario).unwrap();
        assert_eq!(toml::from_str::<LoadScenario>(&text).unwrap(), scenario);
    }
}

#[test]
fn the_tree_declares_every_service_and_customer_under_one_root() {
    let plan = built_in("demo").unwrap().fleet;
    let nodes = declaration_tree(&plan, &[], &[]);
    assert_eq!(nodes.iter().filter(|node| node.parent.is_none()).count(), 1);
    let children = nodes.iter().filter(|node| node.parent.is_some());
    let is_known = |name: &str| nodes.iter().any(|node| &*node.name == name);
    assert!(children.clone().all(|node| is_known(node.parent.as_deref().unwrap())));
    assert_eq!(children.count(), 2 + 1 + plan.services.len() + plan.customers.len());
}

#[test]
fn a_key_that_ran_twice_is_found() {
    let samples = [sample(CallKind::Run, CallResult::Whole, &[CallEnd::Whole])];
    assert!(check_samples(&samples, &[record(1)]).has_passed());
    let report = check_samples(&samples, &[record(1), record(1)]);
    assert_eq!((report.run_twice, report.has_passed()), (1, false));
}

#[test]
fn an_acknowledged_call_that_did_not_run_is_found() {
    let samples = [sample(CallKind::Run, CallResult::Whole, &[CallEnd::Whole])];
    let report = check_samples(&samples, &[]);
    assert_eq!((report.acknowledged_not_run, report.has_passed()), (1, false));
}

#[test]
fn a_call_that_ran_but_was_reported_as_not_run_is_found() {
    let samples = [sample(CallKind::Run, CallResult::Refused, &[refused("not-run")])];
    assert!(check_samples(&samples, &[]).has_passed());
    let report = check_samples(&samples, &[record(1)]);
    assert_eq!((report.refused_but_run, report.has_passed()), (1, false));
}

#[test]
fn a_cut_or_unknown_call_may_have_run() {
    let unknown = sample(CallKind::Run, CallResult::Unknown, &[refused("unknown")]);
    let cut = sample(CallKind::Run, CallResult::Refused, &[CallEnd::Cut, refused("not-run")]);
    for sample in [unknown, cut] {
        assert!(check_samples(&[sample], &[record(1)]).has_passed());
    }
}

#[test]
fn a_wrong_answer_is_found() {
    let samples = [sample(CallKind::Answer, CallResult::Wrong, &[CallEnd::Whole])];
    assert!(!check_samples(&samples, &[]).has_passed());
}

#[test]
fn recovery_time_runs_from_the_fault_to_the_next_token() {
    let fault = FaultPlan { at_s: 0.1, kind: FaultKind::KillEngine { index: 0 } };
    let mut interrupted = sample(CallKind::Answer, CallResult::Whole, &[CallEnd::Whole]);
    interrupted.token_times = [70, 80, 90, 400, 410].map(millis).into();
    interrupted.ended = millis(420);
    let mut steady = interrupted.clone();
    steady.token_times = (7..42).map(|number| millis(number * 10 + 5)).collect();
    let report = recovery_report(&fault, &[interrupted, steady.clone()], &BTreeSet::new());
    assert_eq!((report.streaming, report.interrupted, report.lost), (2, 1, 0));
    assert_eq!(report.next_token_ms, [300.0; 4]);
    let resumed = recovery_report(&fault, &[steady], &BTreeSet::from(["r".into()]));
    assert_eq!((resumed.interrupted, resumed.next_token_ms), (1, [5.0; 4]));
}
