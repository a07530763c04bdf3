//! Order and expected wait of streams that wait for a path.

#[path = "support/streams.rs"]
mod streams;

use jacinthrock_entry::{ObjectiveQueue, WaitClass, WaitQueue, WaitingStream};
use std::time::Duration;
use streams::{DEADLINE, ms, new_stream, returned_stream};
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

/// Serves all streams of a queue in order, at one time.
fn served_order(queue: &mut ObjectiveQueue, now: Instant) -> Vec<u64> {
    queue.update(now);
    std::iter::from_fn(|| {
        let first = queue.first()?;
        queue.leave(first);
        Some(first)
    })
    .collect()
}

/// In a shortage of some seconds, streams of all kinds wait at one host: those that can still be on
/// time must not wait behind those that are late anyway, nor an interrupted answer behind either.
#[tokio::test(start_paused = true)]
async fn streams_that_can_be_on_time_go_before_late_ones() {
    let (mut queue, start) = (ObjectiveQueue::default(), Instant::now() + DEADLINE);
    let mut join = |stream, at| queue.join(stream, at).0;
    let late_short = join(new_stream(0, 500, start), start);
    let late_short_later = join(new_stream(1, 500, start + ms(1)), start + ms(1));
    let late_long = join(new_stream(2, 1_000, start + ms(2)), start + ms(2));
    let now = start + ms(800);
    let low = join(new_stream(2, 1_000, now), now);
    let urgent = join(new_stream(0, 500, now), now);
    let middle = join(new_stream(1, 500, now), now);
    let returned = join(returned_stream(500, now, ms(1_200)), now);
    let interrupted = WaitingStream { is_interrupted: true, ..new_stream(2, 1_000, start) };
    let interrupted = join(interrupted, now);
    let expected =
        [interrupted, urgent, middle, low, late_long, returned, late_short, late_short_later];
    assert_eq!(served_order(&mut queue, now), expected);
    assert!(queue.is_empty());
}

/// A burst fills the queue with urgent streams. When their objective has passed, those that came
/// later and can be on time are first, without any stream having joined or left.
#[tokio::test(start_paused = true)]
async fn order_changes_when_an_objective_passes() {
    let (mut queue, start) = (ObjectiveQueue::default(), Instant::now());
    let (urgent, _) = queue.join(new_stream(0, 500, start), start);
    let (low, ahead) = queue.join(new_stream(2, 1_000, start + ms(100)), start + ms(100));
    assert_eq!((queue.first(), ahead), (Some(urgent), 1));
    assert!(!queue.update(start + ms(349)), "its objective can still be met");
    assert!(queue.update(start + ms(350)), "another stream is first, and must be woken");
    assert_eq!(queue.first(), Some(low));
    assert!(!queue.update(start + ms(351)), "a change is reported once");
    // At 800 ms the other is late as well; its objective is longer.
    assert!(!queue.update(start + ms(800)));
    assert_eq!(queue.first(), Some(low));
}

/// Callers of a burst leave while their streams wait: what they leave behind must neither be first
/// nor count as ahead.
#[tokio::test(start_paused = true)]
async fn stream_that_leaves_holds_up_none() {
    let (mut queue, start) = (ObjectiveQueue::default(), Instant::now());
    let numbers: Vec<_> =
        (0..300).map(|_| queue.join(new_stream(0, 500, start), start).0).collect();
    assert!(queue.leave(numbers[0]), "the first was first");
    assert!(!queue.leave(numbers[150]), "those behind others need not be woken for");
    assert!(!queue.leave(numbers[150]), "leaving twice changes nothing");
    queue.update(start + ms(400));
    assert_eq!(queue.first(), Some(numbers[1]));
    for number in &numbers {
        queue.leave(*number);
    }
    assert!(queue.is_empty() && queue.first().is_none());
    let (_, ahead) = queue.join(new_stream(2, 1_000, start), start);
    assert_eq!(ahead, 0);
}

/// Guards against late streams that are refused while starts are free, since those before them leave
/// their starts to more urgent streams of other hosts.
#[tokio::test(start_paused = true)]
async fn late_stream_goes_past_those_that_leave_their_starts() {
    let now = Instant::now() + DEADLINE;
    let mut queue = ObjectiveQueue::default();
    let mut join = |priority, age| {
        let arrived = now - ms(age);
        queue.join(new_stream(priority, 500, arrived), now).0
    };
    let (late, later, just_late) = (join(1, 1_000), join(1, 900), join(1, 800));
    let on_time = join(1, 0);
    assert_eq!(queue.first(), Some(on_time));
    let leaves = |stream: &WaitingStream| !stream.takes_any_start(now);
    assert!(queue.goes_past(late, leaves, now));
    assert!(!queue.goes_past(late, |_| false, now));
    assert!(!queue.goes_past(later, leaves, now), "the first of the late ones does not leave");
    assert!(!queue.goes_past(just_late, |_| true, now), "it leaves starts itself until 875 ms");
    assert!(!queue.goes_past(on_time, |_| true, now));
    let (long, _) = queue.join(new_stream(2, 1_000, now - ms(1_100)), now);
    assert!(leaves(&new_stream(2, 1_000, now - ms(1_100))), "until 1,750 ms");
    assert!(queue.goes_past(late, leaves, now), "past {long}, which leaves its start as well");
}

/// The exchange tells how many waiting streams can still be on time: late ones must not count, and
/// interrupted ones go first in any case. A level without any must be told as 0, as a level that is
/// missing counts as on time.
#[tokio::test(start_paused = true)]
async fn streams_that_can_be_on_time_are_counted_by_priority() {
    let (mut queue, now) = (ObjectiveQueue::default(), Instant::now() + DEADLINE);
    queue.join(new_stream(0, 500, now), now);
    queue.join(new_stream(200, 500, now), now);
    queue.join(new_stream(1, 500, now - ms(350)), now);
    let interrupted = WaitingStream { is_interrupted: true, ..new_stream(0, 500, now - ms(900)) };
    queue.join(interrupted, now);
    assert_eq!(queue.on_time(now), [(0, 2), (1, 0), (99, 1)].into());
    assert_eq!(queue.on_time(now + ms(350)), [(0, 1), (1, 0), (99, 0)].into());
}
