//! Health of endpoints, from the outcome of their calls.

use jacinthrock_entry::{CallEnd, HealthTable};
use std::time::Duration;
use tokio::time::Instant;

const QUICK: Duration = Duration::from_millis(60);

#[tokio::test(start_paused = true)]
async fn endpoint_is_ejected_after_two_broken_calls() {
    let (mut health, now) = (HealthTable::default(), Instant::now());
    health.record_outcome(&"a".into(), CallEnd::Broken, QUICK, now);
    assert!(!health.is_ejected("a", now));
    health.record_outcome(&"a".into(), CallEnd::Broken, QUICK, now);
    assert!(health.is_ejected("a", now));
    assert!(!health.is_ejected("a", now + Duration::from_millis(500)));
    health.record_outcome(&"a".into(), CallEnd::Succeeded, QUICK, now);
    assert!(!health.is_ejected("a", now));
}

/// Grey failure: the health check of an endpoint passes, but part of its requests fail.
#[tokio::test(start_paused = true)]
async fn endpoint_that_fails_requests_costs_more() {
    let (mut health, now) = (HealthTable::default(), Instant::now());
    for number in 0..20 {
        health.record_outcome(&"sound".into(), CallEnd::Succeeded, QUICK, now);
        let end = if number % 2 == 0 { CallEnd::Failed } else { CallEnd::Succeeded };
        health.record_outcome(&"grey".into(), end, QUICK, now);
    }
    assert!(health.call_cost("grey") > 2.0 * health.call_cost("sound"));
}

#[tokio::test(start_paused = true)]
async fn slow_and_busy_endpoints_cost_more() {
    let (mut health, now) = (HealthTable::default(), Instant::now());
    for _ in 0..20 {
        health.record_outcome(&"slow".into(), CallEnd::Succeeded, QUICK * 5, now);
        health.record_outcome(&"quick".into(), CallEnd::Succeeded, QUICK, now);
    }
    assert!(health.call_cost("slow") > 3.0 * health.call_cost("quick"));
    let idle = health.call_cost("quick");
    health.begin_call(&"quick".into());
    assert!(health.call_cost("quick") > idle);
    health.end_call("quick");
    assert_eq!(health.open_calls("quick"), 0);
}

#[tokio::test(start_paused = true)]
async fn down_endpoint_is_up_after_a_reply() {
    let mut health = HealthTable::default();
    assert!(health.mark_down(&"a".into()));
    assert!(!health.mark_down(&"a".into()));
    assert!(health.is_down("a"));
    assert!(health.mark_up("a"));
    assert!(!health.mark_up("a"));
}
