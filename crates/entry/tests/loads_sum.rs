//! Load totals that hosts exchange, and shares of the retry budget.

use jacinthrock_entry::{
    LoadAggregator, LoadSum, PeerLoads, RelayLoads, SmoothedShare, StageLoad, retry_share,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::Instant;

fn sum(streams: u32) -> LoadSum {
    let load = StageLoad { streams, starts: streams, token_layers: u64::from(streams) * 1_000 };
    LoadSum {
        loads: [("a".into(), load)].into(),
        crossing_tokens_per_s: f64::from(streams),
        ..LoadSum::default()
    }
}

#[tokio::test(start_paused = true)]
async fn each_host_gets_the_load_of_the_others() {
    let (mut aggregator, now) = (LoadAggregator::default(), Instant::now());
    aggregator.exchange("h1".into(), sum(3), now);
    aggregator.exchange("h2".into(), sum(5), now);
    let total = aggregator.exchange("h1".into(), sum(4), now).clone();
    assert_eq!(total.loads["a"].streams, 9);
    let mut others = PeerLoads::default();
    others.update(total, sum(4), 2, now);
    let known = others.load("a", sum(4).loads["a"], now).expect("a fresh total");
    assert_eq!((known.streams, others.crossing_tokens_per_s(now)), (5, 5.0));
}

#[tokio::test(start_paused = true)]
async fn silent_host_no_longer_counts() {
    let (mut aggregator, now) = (LoadAggregator::default(), Instant::now());
    aggregator.exchange("h1".into(), sum(3), now);
    let later = now + Duration::from_secs(4);
    assert_eq!(aggregator.exchange("h2".into(), sum(5), later).loads["a"].streams, 5);
}

/// When an endpoint dies, each host has to send its own streams again. Hosts with more streams need
/// a larger share, and all shares together must not exceed the budget.
#[test]
fn retry_budget_follows_streams_and_is_never_exceeded() {
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
async fn old_total_is_not_used() {
    let (mut others, now) = (PeerLoads::default(), Instant::now());
    assert!(!others.is_fresh(now));
    others.update(sum(5), sum(1), 2, now);
    assert!(!others.is_fresh(now + Duration::from_secs(3)));
}

/// Many hosts know the same totals and prefer the same path, which would overload it before the
/// next exchange. Each host must assume that the others have added as much load as it has itself.
#[tokio::test(start_paused = true)]
async fn others_are_assumed_to_add_the_same_load_since_the_last_total() {
    let (mut others, now) = (PeerLoads::default(), Instant::now());
    others.update(sum(70), sum(1), 70, now);
    assert_eq!(others.load("a", sum(1).loads["a"], now).map(|load| load.streams), Some(69));
    assert_eq!(others.load("a", sum(2).loads["a"], now).map(|load| load.streams), Some(138));
}

/// With a few streams a host, a host's share of them changes from second to second. Each host may
/// spend its share at once whenever it is largest; all together must keep to the budget in any
/// window.
#[tokio::test(start_paused = true)]
async fn shares_of_hosts_with_few_streams_keep_to_the_budget_over_a_window() {
    const HOSTS: usize = 195;
    const MEAN_STREAMS: usize = 3;
    let (window, start) = (Duration::from_secs(10), Instant::now());
    let mut draw = StdRng::seed_from_u64(7);
    let mut shares: Vec<_> = (0..HOSTS).map(|_| SmoothedShare::default()).collect();
    let mut largest = vec![0.0_f64; HOSTS];
    for step in 0..150 {
        let now = start + Duration::from_millis(200) * step;
        let mut streams = vec![0_u32; HOSTS];
        for _ in 0..HOSTS * MEAN_STREAMS {
            streams[draw.random_range(0..HOSTS)] += 1;
        }
        let total: u32 = streams.iter().sum();
        for (host, own) in streams.iter().enumerate() {
            let share = retry_share(HOSTS, *own, Some(total - own));
            let share = shares[host].update(share, HOSTS, window, now);
            if now - start >= window {
                largest[host] = largest[host].max(share);
            }
        }
    }
    let spent: f64 = largest.iter().sum();
    // The hosts use 0.7 of the budget, so that 1.4 shares stay within it.
    assert!(spent < 1.4, "the largest shares of a window add up to {spent}");
}

/// A relay's members get the load of all hosts, with their own latest report in it.
#[tokio::test(start_paused = true)]
async fn members_of_a_relay_get_the_load_of_all_hosts() {
    let (mut relay, now) = (RelayLoads::default(), Instant::now());
    assert!(relay.exchange("m1".into(), sum(2), &sum(1), false, now).is_none());
    let reported = relay.group_total(&sum(1), now);
    assert_eq!(reported.loads["a"].streams, 3);
    relay.record_total(sum(50), &reported, now);
    let total = relay.exchange("m1".into(), sum(5), &sum(1), false, now).expect("a fresh total");
    assert_eq!(total.loads["a"].streams, 53);
    let later = now + Duration::from_secs(3);
    assert!(relay.exchange("m1".into(), sum(5), &sum(1), false, later).is_none());
    assert!(!relay.has_members(later + Duration::from_secs(2)));
}
