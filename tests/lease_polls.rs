//! A candidate reads the lease at its poll interval, however often the caller asks for an action.

use assert_matches::assert_matches;
use jacinthrock::{LeaseAction, LeaseElector, LeaseEvent, LeaseOptions, LeaseRecord, StoredObject};
use std::time::Duration;
use tokio::time::Instant;

fn lease_of_another_host() -> StoredObject {
    let record =
        LeaseRecord { host: "host-1".into(), incarnation: 1, fence: 7, renewal: 3, ttl_ms: 6_000 };
    let value = serde_json::to_vec(&record).unwrap().into();
    StoredObject { key: "lease/controller".into(), version: 9, value }
}

#[test]
fn a_candidate_that_is_advanced_early_keeps_waiting() {
    let options = LeaseOptions::default();
    let pause = options.poll_interval / 4;
    let mut elector = LeaseElector::new("host-2", 1, options.clone());
    let now = Instant::now();
    assert_matches!(elector.advance(now), LeaseAction::Read);
    elector.observe(now, LeaseEvent::Read(Ok(Some(lease_of_another_host()))));
    assert_matches!(elector.advance(now), LeaseAction::Wait(until) if until == now + options.poll_interval);
    assert_matches!(elector.advance(now + pause), LeaseAction::Wait(_));
    let next = now + options.poll_interval + Duration::from_millis(1);
    assert_matches!(elector.advance(next), LeaseAction::Read);
}
