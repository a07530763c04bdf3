//! Who is served first when streams wait, and who is turned away.

use jacinthrock_entry::{WaitClass, WaitLine};
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn broken_off_streams_go_first_then_returned_ones() {
    let mut line = WaitLine::default();
    let (new, _) = line.join(WaitClass::New, 0);
    let (returned, _) = line.join(WaitClass::Returned, 9);
    let (broken, _) = line.join(WaitClass::BrokenOff, 9);
    assert!(line.is_first(broken));
    line.leave(broken);
    assert!(line.is_first(returned) && !line.is_first(new));
    line.leave(returned);
    assert!(line.is_first(new));
    line.leave(new);
    assert!(line.is_empty());
}

#[test]
fn rank_goes_before_arrival_within_a_class() {
    let mut line = WaitLine::default();
    let (low, _) = line.join(WaitClass::New, 2);
    let (high, _) = line.join(WaitClass::New, 1);
    assert!(line.is_first(high) && !line.is_first(low));
}

/// Burst: twenty streams wait while one finds a path every 50 ms. The twenty-first learns at once
/// that its turn comes too late.
#[tokio::test(start_paused = true)]
async fn expected_wait_follows_the_pace_of_the_line() {
    let mut line = WaitLine::default();
    let start = Instant::now();
    for step in 0..200 {
        line.served(start + Duration::from_millis(50) * step);
    }
    for _ in 0..20 {
        line.join(WaitClass::New, 1);
    }
    let (_, wait) = line.join(WaitClass::New, 1);
    assert_eq!(wait.as_millis(), 1_000);
    let (_, urgent) = line.join(WaitClass::BrokenOff, 1);
    assert_eq!(urgent, Duration::ZERO);
    assert_eq!(line.length().as_millis(), 1_100);
}
