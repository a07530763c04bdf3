//! What answers teach about endpoints.

use jacinthrock_entry::{CallEnd, HealthTable};
use std::time::Duration;
use tokio::time::Instant;

const QUICK: Duration = Duration::from_millis(60);

#[tokio::test(start_paused = true)]
async fn endpoint_is_set_aside_after_two_broken_calls() {
    let (mut beliefs, now) = (HealthTable::default(), Instant::now());
    beliefs.record_outcome(&"a".into(), CallEnd::Broken, QUICK, now);
    assert!(!beliefs.is_ejected("a", now));
    beliefs.record_outcome(&"a".into(), CallEnd::Broken, QUICK, now);
    assert!(beliefs.is_ejected("a", now));
    assert!(!beliefs.is_ejected("a", now + Duration::from_millis(500)));
    beliefs.record_outcome(&"a".into(), CallEnd::Answered, QUICK, now);
    assert!(!beliefs.is_ejected("a", now));
}

/// Grey endpoint: its health check is good, but part of its requests fail.
#[tokio::test(start_paused = true)]
async fn endpoint_that_fails_requests_gets_fewer() {
    let (mut beliefs, now) = (HealthTable::default(), Instant::now());
    for number in 0..20 {
        beliefs.record_outcome(&"sound".into(), CallEnd::Answered, QUICK, now);
        let end = if number % 2 == 0 { CallEnd::Failed } else { CallEnd::Answered };
        beliefs.record_outcome(&"grey".into(), end, QUICK, now);
    }
    assert!(beliefs.call_cost("grey") > 2.0 * beliefs.call_cost("sound"));
}

#[tokio::test(start_paused = true)]
async fn slow_and_busy_endpoints_cost_more() {
    let (mut beliefs, now) = (HealthTable::default(), Instant::now());
    for _ in 0..20 {
        beliefs.record_outcome(&"slow".into(), CallEnd::Answered, QUICK * 5, now);
        beliefs.record_outcome(&"quick".into(), CallEnd::Answered, QUICK, now);
    }
    assert!(beliefs.call_cost("slow") > 3.0 * beliefs.call_cost("quick"));
    let idle = beliefs.call_cost("quick");
    beliefs.begin_call(&"quick".into());
    assert!(beliefs.call_cost("quick") > idle);
    beliefs.end_call("quick");
    assert_eq!(beliefs.open_calls("quick"), 0);
}

#[tokio::test(start_paused = true)]
async fn down_endpoint_is_up_again_with_an_answer() {
    let mut beliefs = HealthTable::default();
    assert!(beliefs.mark_down(&"a".into()));
    assert!(!beliefs.mark_down(&"a".into()));
    assert!(beliefs.is_down("a"));
    assert!(beliefs.mark_up("a"));
    assert!(!beliefs.mark_up("a"));
}
