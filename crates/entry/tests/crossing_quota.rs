//! Rate limit on the inter-domain link while no domain holds a whole copy of the model.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/registry.rs"]
mod registry;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use cluster::{Cluster, rules};
use jacinthrock_entry::{
    CrossingQuota, EndpointEntry, EntryState, LayerSpan, LinkQuota, PathQuery, PathStage,
    RetryPolicy, RouteRule, added_crossings, crossings,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::LocalSet;
use tokio::time::{Instant, advance};

/// 64 hosts want 128 crossings at the same time over a link that carries 20 streams per second.
/// Without a limit on each host, the streams would saturate the link for seconds and stall.
#[tokio::test(start_paused = true)]
async fn hosts_together_stay_within_the_link_capacity() {
    const HOSTS: u32 = 64;
    const LINK_CROSSINGS_PER_S: f64 = 20.0;
    let mut hosts: Vec<CrossingQuota> = (0..HOSTS).map(|_| CrossingQuota::default()).collect();
    for second in 0..10 {
        let mut crossed = 0;
        for round in 0..2 {
            for (number, quota) in hosts.iter_mut().enumerate() {
                let draw = (number as f64 * 0.618 + f64::from(second * 2 + round) * 0.37).fract();
                for _ in 0..2 {
                    if quota.allows_crossing(
                        Instant::now(),
                        LINK_CROSSINGS_PER_S / f64::from(HOSTS),
                        draw,
                    ) {
                        quota.consume(1);
                        crossed += 1;
                    }
                }
            }
            advance(Duration::from_millis(500)).await;
        }
        assert!((12..=28).contains(&crossed), "{crossed} streams crossed in second {second}");
    }
}

#[tokio::test(start_paused = true)]
async fn path_with_two_crossings_uses_twice_the_quota() {
    let mut quota = CrossingQuota::default();
    assert!(quota.allows_crossing(Instant::now(), 4.0, 0.9));
    quota.consume(2);
    assert!(!quota.allows_crossing(Instant::now(), 4.0, 0.0));
    advance(Duration::from_millis(500)).await;
    assert!(quota.allows_crossing(Instant::now(), 4.0, 0.9));
}

/// Bytes that a stream sends per crossing in the tests of the link quota.
const STREAM_BYTES: u64 = 1_000;

fn allows(quota: &mut LinkQuota, bytes_per_s: f64, draw: f64) -> bool {
    quota.allows_crossing(Instant::now(), bytes_per_s, STREAM_BYTES, draw)
}

/// What a path overdraws is debited from the following periods, also from those in which no stream
/// asked. Without that, each period lets every host start a path with many crossings.
#[tokio::test(start_paused = true)]
async fn overdraft_is_debited_from_the_following_periods() {
    for pauses in [[500, 500, 500], [1_500, 0, 0]] {
        let mut quota = LinkQuota::default();
        assert!(allows(&mut quota, 4_000.0, 0.9));
        // Two of eight crossings are granted; the others take three periods.
        quota.debit(8 * STREAM_BYTES);
        for pause in pauses {
            advance(Duration::from_millis(pause)).await;
            assert!(!allows(&mut quota, 4_000.0, 0.0));
        }
        advance(Duration::from_millis(500)).await;
        assert!(allows(&mut quota, 4_000.0, 0.9));
    }
}

/// The unpaid rest of an overdraft takes part of a period, and the rest of that period is granted.
#[tokio::test(start_paused = true)]
async fn period_grants_what_the_overdraft_leaves() {
    let mut quota = LinkQuota::default();
    assert!(allows(&mut quota, 6_000.0, 0.9));
    quota.debit(4 * STREAM_BYTES);
    advance(Duration::from_millis(500)).await;
    for _ in 0..2 {
        assert!(allows(&mut quota, 6_000.0, 0.9));
        quota.debit(STREAM_BYTES);
    }
    assert!(!allows(&mut quota, 6_000.0, 0.9));
}

/// Hosts that saved up what they don't use would all start streams at the same moment.
#[tokio::test(start_paused = true)]
async fn unused_quota_is_not_carried_over() {
    let mut quota = LinkQuota::default();
    assert!(allows(&mut quota, 4_000.0, 0.9));
    advance(Duration::from_secs(60)).await;
    for _ in 0..2 {
        assert!(allows(&mut quota, 4_000.0, 0.9));
        quota.debit(STREAM_BYTES);
    }
    assert!(!allows(&mut quota, 4_000.0, 0.0));
}

/// A refused order gives back what it debited, but not to a later period, which has its own grant.
#[tokio::test(start_paused = true)]
async fn credit_does_not_exceed_the_grant_of_the_period() {
    let mut quota = LinkQuota::default();
    assert!(allows(&mut quota, 2_000.0, 0.9));
    quota.debit(STREAM_BYTES);
    assert!(!allows(&mut quota, 2_000.0, 0.9));
    quota.credit(STREAM_BYTES);
    assert!(allows(&mut quota, 2_000.0, 0.9));
    quota.debit(STREAM_BYTES);
    advance(Duration::from_millis(500)).await;
    assert!(allows(&mut quota, 2_000.0, 0.9));
    quota.credit(STREAM_BYTES);
    quota.debit(STREAM_BYTES);
    assert!(!allows(&mut quota, 2_000.0, 0.9));
}

/// Rules or loads without sense must neither stop all streams for good nor overflow.
#[tokio::test(start_paused = true)]
async fn invalid_shares_and_sizes_do_not_close_the_link_for_good() {
    let mut quota = LinkQuota::default();
    for bytes_per_s in [f64::NAN, -1.0, 0.0] {
        assert!(!allows(&mut quota, bytes_per_s, 0.5));
        advance(Duration::from_millis(500)).await;
    }
    assert!(allows(&mut quota, f64::INFINITY, 0.5), "no limit");
    assert!(quota.allows_crossing(Instant::now(), 1.0, 0, 0.5), "nothing to send");
    assert!(allows(&mut quota, f64::MAX, 0.5));
    quota.debit(u64::MAX);
    quota.credit(u64::MAX);
    quota.credit(u64::MAX);
    assert!(allows(&mut quota, f64::MAX, 0.5));
}

/// When no domain holds a path, all hosts look for paths with several crossings at the same time.
/// Over 100 s, they must send what the link carries, neither more nor less, for any number of hosts,
/// crossings and sizes of streams.
#[tokio::test(start_paused = true)]
async fn hosts_use_the_whole_link_and_no_more() {
    const LINK_BYTES_PER_S: f64 = 27_000.0;
    const STEP: Duration = Duration::from_millis(50);
    for hosts in [6_u32, 63, 300] {
        let mut rng = StdRng::seed_from_u64(u64::from(hosts));
        let mut quotas: Vec<LinkQuota> = (0..hosts).map(|_| LinkQuota::default()).collect();
        let began = Instant::now();
        let mut sent = 0;
        while began.elapsed() < Duration::from_secs(120) {
            for quota in &mut quotas {
                let stream_bytes = rng.random_range(200..=1_800);
                let per_s = LINK_BYTES_PER_S / f64::from(hosts);
                let draw = rng.random_range(0.0..1.0);
                if quota.allows_crossing(Instant::now(), per_s, stream_bytes, draw) {
                    let bytes = stream_bytes * rng.random_range(1..=4);
                    quota.debit(bytes);
                    // At first, no host has an overdraft.
                    sent += if began.elapsed() < Duration::from_secs(20) { 0 } else { bytes };
                }
            }
            advance(STEP).await;
        }
        let share = sent as f64 / (LINK_BYTES_PER_S * 100.0);
        assert!(
            (0.9..=1.1).contains(&share),
            "{hosts} hosts send {share} of what the link carries"
        );
    }
}

/// Endpoints of two domains that hold the layers in turn, so that each path crosses three times.
fn alternating_endpoints() -> Vec<EndpointEntry> {
    let entry = |number: u16| EndpointEntry {
        name: format!("e{number}").into(),
        service: "guide".into(),
        address: ([10, 0, 0, 1], 80 + number).into(),
        domain: ["north", "south"][usize::from(number % 2)].into(),
        slots: 192,
        is_draining: false,
        orders: 0,
        start_unix_ms: 1,
        card: Some("k".into()),
        layers: Some(LayerSpan { from: 2 * number, to: 2 * number + 2 }),
        under_way: None,
    };
    (0..4).map(entry).collect()
}

fn route(priority: u8) -> RouteRule {
    RouteRule {
        name: format!("kind-{priority}").into(),
        host: "guide.example".into(),
        prefix: format!("/{priority}/").into(),
        targets: vec![("guide".into(), 1)],
        retry_policy: RetryPolicy::Resumable,
        is_stream: true,
        timeout: Duration::from_secs(20),
        objective: Duration::from_millis(500),
        event_gap: Duration::from_millis(200),
        max_attempts: 2,
        priority,
        is_open: true,
    }
}

/// Tokens of a stream.
const TOKENS: u32 = 100;

/// Host over whose link two streams of its quota can cross per period, and whose paths cross three
/// times.
async fn crossing_host(priorities: &[u8]) -> Rc<EntryState> {
    let mut cluster = Cluster::start(&[]).await;
    cluster.add_host("h0", "north", 250);
    let state = cluster.hosts[0].state.clone();
    cluster.kill_host(0);
    let mut rules = rules(2);
    rules.routes = priorities.iter().copied().map(route).collect();
    let engine = rules.services.get_mut("guide").and_then(|service| service.engine.as_mut());
    // 100 tokens of 1,000 bytes per stream and crossing, in 0.25 s.
    engine.expect("an engine").link_mbps = 3.2;
    state.apply_rules(2, rules, "test");
    state.endpoints.borrow_mut().replace(5, alternating_endpoints(), Instant::now());
    state
}

fn find_path(state: &EntryState, tokens: u32) -> Option<Rc<[PathStage]>> {
    let avoid = BTreeSet::new();
    let query =
        PathQuery { service: "guide", tokens, starts: None, avoid: &avoid, ignores_rates: false };
    state.find_path(&query)
}

/// Starts a stream if it finds a path; returns whether it does.
fn starts(state: &EntryState, tokens: u32) -> bool {
    let Some(path) = find_path(state, tokens) else { return false };
    assert_eq!(crossings(&path), 3);
    state.consume_crossings(3);
    state.debit_crossings("guide", tokens, 3);
    true
}

/// Number of paths that a host finds in each of six periods.
async fn paths_by_period(priorities: &[u8]) -> Vec<usize> {
    let state = crossing_host(priorities).await;
    let mut paths = Vec::new();
    for _ in 0..6 {
        // The bound ends a test whose quota does not.
        paths.push((0..10).take_while(|_| starts(&state, TOKENS)).count());
        advance(Duration::from_millis(500)).await;
    }
    paths
}

/// A service with several priorities starts two paths of three crossings in three periods of two
/// crossings. Another service keeps its quota: four crossings per period, of which the second path
/// takes more than is left.
#[tokio::test(start_paused = true)]
async fn only_services_with_several_priorities_pay_for_all_crossings() {
    LocalSet::new()
        .run_until(async {
            assert_eq!(paths_by_period(&[0, 1]).await, [1, 1, 0, 1, 1, 0]);
            assert_eq!(paths_by_period(&[1]).await, [2; 6]);
        })
        .await;
}

/// Callers state the size of a stream. One that states a huge size must not keep the other streams of
/// its host from crossing for longer than four mean streams do: 3 x 600,000 of 200,000 bytes per
/// period.
#[tokio::test(start_paused = true)]
async fn huge_stream_closes_the_link_for_seconds_only() {
    LocalSet::new()
        .run_until(async {
            let state = crossing_host(&[0, 1]).await;
            // The quota is granted in streams of the size that asks first.
            assert!(find_path(&state, TOKENS).is_some());
            assert!(starts(&state, 20_000));
            advance(Duration::from_millis(4_000)).await;
            assert!(!starts(&state, TOKENS));
            advance(Duration::from_millis(500)).await;
            assert!(starts(&state, TOKENS));
        })
        .await;
}

/// A detour of a running stream sends its prefill over the crossings that are new to the path, also
/// if the path has no more crossings than before.
#[test]
fn detour_adds_the_crossings_that_its_path_did_not_have() {
    let stage = |name: &str, domain: &str, from| PathStage {
        name: name.into(),
        start_unix_ms: 1,
        address: ([10, 0, 0, 1], 80).into(),
        span: LayerSpan { from, to: from + 2 },
        domain: domain.into(),
    };
    let [a, b, c] = [stage("a", "north", 0), stage("b", "south", 2), stage("c", "south", 4)];
    let old = [a.clone(), b.clone(), c.clone()];
    assert_eq!(added_crossings(&old, &old), 0);
    assert_eq!(added_crossings(&old, &[]), 1);
    let moved = [a.clone(), stage("d", "north", 2), c.clone()];
    assert_eq!((crossings(&moved), added_crossings(&moved, &old)), (1, 1));
    let there_and_back = [a, b, stage("e", "north", 4), stage("f", "south", 6)];
    assert_eq!((crossings(&there_and_back), added_crossings(&there_and_back, &old)), (3, 2));
}
