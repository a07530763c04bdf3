//! Order and expected wait of streams that wait for a path.

use jacinthrock_entry::{WaitClass, WaitQueue};
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn interrupted_streams_go_first_then_retried_ones() {
    let mut queue = WaitQueue::default();
    let (new, _) = queue.join(WaitClass::New, 0);
    let (retried, _) = queue.join(WaitClass::Retried, 9);
    let (interrupted, _) = queue.join(WaitClass::Interrupted, 9);
    assert!(queue.is_first(interrupted));
    queue.leave(interrupted);
    assert!(queue.is_first(retried) && !queue.is_first(new));
    queue.leave(retried);
    assert!(queue.is_first(new));
    queue.leave(new);
    assert!(queue.is_empty());
}

#[test]
fn priority_goes_before_arrival_within_a_class() {
    let mut queue = WaitQueue::default();
    let (low, _) = queue.join(WaitClass::New, 2);
    let (high, _) = queue.join(WaitClass::New, 1);
    assert!(queue.is_first(high) && !queue.is_first(low));
}

/// In a burst, twenty streams wait while one is served every 50 ms. The expected wait of the
/// twenty-first must be right when it joins, so that it can be refused at once.
#[tokio::test(start_paused = true)]
async fn expected_wait_follows_the_service_rate() {
    let mut queue = WaitQueue::default();
    let start = Instant::now();
    for step in 0..200 {
        queue.record_served(start + Duration::from_millis(50) * step);
    }
    for _ in 0..20 {
        queue.join(WaitClass::New, 1);
    }
    let (_, wait) = queue.join(WaitClass::New, 1);
    assert_eq!(wait.as_millis(), 1_000);
    let (_, urgent) = queue.join(WaitClass::Interrupted, 1);
    assert_eq!(urgent, Duration::ZERO);
    assert_eq!(queue.drain_time().as_millis(), 1_100);
}
