//! Who is served first when streams wait, and who is turned away.

use jacinthrock_entry::{WaitClass, WaitQueue};
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn broken_off_streams_go_first_then_returned_ones() {
    let mut queue = WaitQueue::default();
    let (new, _) = queue.join(WaitClass::New, 0);
    let (retried, _) = queue.join(WaitClass::Retried, 9);
    let (broken, _) = queue.join(WaitClass::Interrupted, 9);
    assert!(queue.is_first(broken));
    queue.leave(broken);
    assert!(queue.is_first(retried) && !queue.is_first(new));
    queue.leave(retried);
    assert!(queue.is_first(new));
    queue.leave(new);
    assert!(queue.is_empty());
}

#[test]
fn rank_goes_before_arrival_within_a_class() {
    let mut queue = WaitQueue::default();
    let (low, _) = queue.join(WaitClass::New, 2);
    let (high, _) = queue.join(WaitClass::New, 1);
    assert!(queue.is_first(high) && !queue.is_first(low));
}

/// Burst: twenty streams wait while one finds a path every 50 ms. The twenty-first learns at once
/// that its turn comes too late.
#[tokio::test(start_paused = true)]
async fn expected_wait_follows_the_pace_of_the_line() {
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
