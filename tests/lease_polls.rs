//! A candidate reads the lease at its own pace, however often it is asked.

use assert_matches::assert_matches;
use jacinthrock::{LeaseAction, LeaseElector, LeaseEvent, LeaseOptions, LeaseRecord, StoredObject};
use std::time::Duration;
use tokio::time::Instant;

fn lease_of_another() -> StoredObject {
    let record =
        LeaseRecord { host: "host-1".into(), incarnation: 1, fence: 7, renewal: 3, ttl_ms: 6_000 };
    let value = serde_json::to_vec(&record).unwrap().into();
    StoredObject { key: "lease/controller".into(), version: 9, value }
}

#[test]
fn a_candidate_that_is_asked_early_goes_on_waiting() {
    let options = LeaseOptions::default();
    let pause = options.poll_every / 4;
    let mut keeper = LeaseElector::new("host-2", 1, options.clone());
    let now = Instant::now();
    assert_matches!(keeper.advance(now), LeaseAction::Read);
    keeper.observe(now, LeaseEvent::Read(Ok(Some(lease_of_another()))));
    assert_matches!(keeper.advance(now), LeaseAction::Wait(until) if until == now + options.poll_every);
    assert_matches!(keeper.advance(now + pause), LeaseAction::Wait(_));
    let next = now + options.poll_every + Duration::from_millis(1);
    assert_matches!(keeper.advance(next), LeaseAction::Read);
}
