//! What hosts learn of one another's streams.

use jacinthrock_entry::{LoadAggregator, LoadSum, PeerLoads, StageLoad, retry_share};
use std::time::Duration;
use tokio::time::Instant;

fn sum(streams: u32) -> LoadSum {
    let load = StageLoad { streams, starts: streams, token_layers: u64::from(streams) * 1_000 };
    LoadSum { loads: [("a".into(), load)].into(), crossing_tokens_per_s: f64::from(streams) }
}

#[tokio::test(start_paused = true)]
async fn each_host_learns_what_the_others_run() {
    let (mut board, now) = (LoadAggregator::default(), Instant::now());
    board.exchange("h1".into(), sum(3), now);
    board.exchange("h2".into(), sum(5), now);
    let total = board.exchange("h1".into(), sum(4), now).clone();
    assert_eq!(total.loads["a"].streams, 9);
    let mut others = PeerLoads::default();
    others.take(total, sum(4), 2, now);
    let known = others.load("a", sum(4).loads["a"], now).expect("just told");
    assert_eq!((known.streams, others.crossing_tokens_per_s(now)), (5, 5.0));
}

#[tokio::test(start_paused = true)]
async fn silent_host_no_longer_counts() {
    let (mut board, now) = (LoadAggregator::default(), Instant::now());
    board.exchange("h1".into(), sum(3), now);
    let later = now + Duration::from_secs(4);
    assert_eq!(board.exchange("h2".into(), sum(5), later).loads["a"].streams, 5);
}

/// An endpoint dies: each host sends as many streams again as it has.
#[test]
fn retry_budget_goes_by_streams_and_is_never_exceeded() {
    let streams = [40_u32, 10, 5, 5, 0, 0];
    let total: u32 = streams.iter().sum();
    let share = |own: u32| retry_share(streams.len(), own, Some(total - own));
    let sum: f64 = streams.iter().map(|own| share(*own)).sum();
    assert!((sum - 1.0).abs() < 1e-9, "all shares together are {sum}");
    assert!(share(40) > 2.0 * share(10));
    assert!(share(0) > 0.0, "a host without streams may get some at any time");
    assert_eq!(retry_share(6, 40, None), 1.0 / 6.0);
}

#[tokio::test(start_paused = true)]
async fn old_sum_is_not_used() {
    let (mut others, now) = (PeerLoads::default(), Instant::now());
    assert!(!others.is_fresh(now));
    others.take(sum(5), sum(1), 2, now);
    assert!(!others.is_fresh(now + Duration::from_secs(3)));
}

/// Many hosts know the same sums and prefer the same path: each takes the others to have added what
/// it has added itself, and leaves for another path before the next sum comes.
#[tokio::test(start_paused = true)]
async fn others_are_taken_to_have_chosen_alike_since_the_last_sum() {
    let (mut others, now) = (PeerLoads::default(), Instant::now());
    others.take(sum(70), sum(1), 70, now);
    assert_eq!(others.load("a", sum(1).loads["a"], now).map(|load| load.streams), Some(69));
    assert_eq!(others.load("a", sum(2).loads["a"], now).map(|load| load.streams), Some(138));
}
