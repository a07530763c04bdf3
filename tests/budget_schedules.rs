//! Checks the retry budget against a log of every attempt, on random schedules.

mod schedules;

use jacinthrock::{BudgetOptions, RetryBudget};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::time::Duration;
use tokio::time::Instant;

/// Window in which retries are limited, and in which first attempts count towards the limit.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct LoggedAttempt {
    at: Instant,
    customer: usize,
    endpoint: usize,
    is_retry: bool,
}

/// Delay in milliseconds, customer, endpoint and whether the attempt is a retry.
type AttemptStep = (u64, usize, usize, bool);

fn step() -> impl Strategy<Value = AttemptStep> {
    (0u64..400, 0usize..3, 0usize..3, any::<bool>())
}

/// Whether the budget allowed any retry beyond the limit.
fn exceeds(options: BudgetOptions, steps: &[AttemptStep]) -> bool {
    let mut budget = RetryBudget::new(options);
    let mut now = Instant::now() + Duration::from_secs(100);
    let mut log: Vec<LoggedAttempt> = Vec::new();
    let mut exceeded = false;
    for &(wait, customer, endpoint, is_retry) in steps {
        now += Duration::from_millis(wait);
        let names = (format!("customer-{customer}"), format!("endpoint-{endpoint}"));
        if !is_retry {
            budget.record_first(now, &names.0, &names.1);
        } else if !budget.allow(now, &names.0, &names.1) {
            continue;
        }
        let attempt = LoggedAttempt { at: now, customer, endpoint, is_retry };
        log.push(attempt);
        if is_retry {
            exceeded |= exceeds_limit(&log, now, |other| other.customer == customer);
            exceeded |= exceeds_limit(&log, now, |other| other.endpoint == endpoint);
        }
    }
    exceeded
}

fn exceeds_limit(
    log: &[LoggedAttempt],
    now: Instant,
    counts: impl Fn(&LoggedAttempt) -> bool,
) -> bool {
    let recent = log.iter().filter(|attempt| now - attempt.at <= RETRY_WINDOW && counts(attempt));
    let retries = recent.clone().filter(|attempt| attempt.is_retry).count();
    let firsts = recent.filter(|attempt| !attempt.is_retry).count();
    retries as f64 > 3.0 + 0.1 * firsts as f64 + 1e-9
}

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    })
}

#[test]
fn retries_stay_a_fixed_fraction_of_first_attempts() {
    let cases = schedules::schedule_count(60) as u32;
    let checked = runner(cases).run(&prop::collection::vec(step(), 1..400), |steps| {
        prop_assert!(!exceeds(BudgetOptions::default(), &steps));
        Ok(())
    });
    checked.expect("no schedule exceeds the budget");
}

#[test]
fn retries_without_a_budget_are_detected() {
    let options = BudgetOptions { enforced: false, ..BudgetOptions::default() };
    let checked = runner(60).run(&prop::collection::vec(step(), 1..400), |steps| {
        prop_assert!(!exceeds(options, &steps));
        Ok(())
    });
    assert!(checked.is_err());
}

#[test]
fn refusals_name_the_budget_that_was_spent() {
    let mut budget = RetryBudget::new(BudgetOptions::default());
    let now = Instant::now();
    for _ in 0..3 {
        assert!(budget.allow(now, "studio", "booking-1"));
    }
    assert!(!budget.allow(now, "studio", "booking-2"));
    assert!(!budget.allow(now, "office", "booking-1"));
    let refusals = budget.refusals();
    assert_eq!((refusals.customer, refusals.endpoint), (1, 1));
    budget.prune(now + Duration::from_secs(20));
    assert!(budget.allow(now + Duration::from_secs(20), "studio", "booking-1"));
}
