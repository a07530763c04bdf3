//! Seeded random schedules of the ledger: several hosts on one platform, with faults of all kinds.
//!
//! `JACINTHROCK_SCHEDULES=10000 cargo test --release --test ledger_schedules` runs more than CI.

mod ledger_support;

use jacinthrock::{CallOutcome, LedgerRule, PlainRule};
use ledger_support::{find_violations, first_violation, run, schedule_count, seeded_scenario};
use std::collections::BTreeMap;

const CI_SCHEDULES: u64 = 400;
const MAX_RULE_SCHEDULES: u64 = 3000;

#[test]
fn no_schedule_runs_a_key_twice() {
    let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
    for seed in 0..schedule_count(CI_SCHEDULES) {
        let report = run(&seeded_scenario(seed));
        let violations = find_violations(&report);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        for answer in &report.answers {
            let label = match &answer.result {
                None => "no answer".to_string(),
                Some(result) => format!("{:?} {:?}", result.outcome, result.code),
            };
            *outcomes.entry(label).or_default() += 1;
        }
    }
    println!("answers: {outcomes:#?}");
    assert!(outcomes.keys().any(|label| label.starts_with("Done")));
    let unknown = format!("{:?}", CallOutcome::Unknown);
    assert!(outcomes.keys().any(|label| label.starts_with(&unknown)));
}

#[test]
fn every_disabled_ledger_rule_is_detected() {
    let rules = [
        LedgerRule::WriteBeforeGrant,
        LedgerRule::ReadBack,
        LedgerRule::DecideAgain,
        LedgerRule::UnknownIsFinal,
        LedgerRule::DeadHolderKeepsClaim,
        LedgerRule::FloorCheck,
    ];
    for rule in rules {
        let violation = first_violation(MAX_RULE_SCHEDULES, Some(rule), None);
        println!("{rule:?}: {violation:?}");
        assert!(violation.is_some(), "disabling {rule:?} is not detected");
    }
}

#[test]
fn every_disabled_plain_call_rule_is_detected() {
    for rule in [PlainRule::BrokenIsUnknown, PlainRule::ClaimBeforeSend] {
        let violation = first_violation(MAX_RULE_SCHEDULES, None, Some(rule));
        println!("{rule:?}: {violation:?}");
        assert!(violation.is_some(), "disabling {rule:?} is not detected");
    }
}
