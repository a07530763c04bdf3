//! Load totals that hosts exchange, and shares of the retry budget.

use jacinthrock_entry::{
    DemandCount, DemandMap, DemandMeter, LoadAggregator, LoadMap, LoadSum, OnTimeMap, PeerLoads,
    RelayLoads, SmoothedShare, StageLoad, retry_share,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
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

fn demand(arrived_per_s: f64, waiting: u32) -> LoadSum {
    let count = DemandCount { arrived_per_s, waiting, ..DemandCount::default() };
    LoadSum { demands: [("s".into(), [(1, count)].into())].into(), ..sum(1) }
}

/// Load sum of the previous version, without demands.
#[derive(Serialize, Deserialize)]
struct PreviousSum {
    loads: LoadMap,
    crossing_tokens_per_s: f64,
}

/// While a deployment is upgraded, hosts of both versions exchange loads.
#[test]
fn reports_of_the_previous_version_and_of_this_one_are_read_by_both() {
    let previous = PreviousSum { loads: sum(3).loads, crossing_tokens_per_s: 3.0 };
    let text = serde_json::to_string(&previous).expect("a report");
    assert_eq!(serde_json::from_str::<LoadSum>(&text).expect("a readable report"), sum(3));
    assert_eq!(serde_json::to_string(&sum(3)).expect("a report"), text, "demands are left out");

    let text = serde_json::to_string(&demand(2.5, 4)).expect("a report");
    let read: PreviousSum = serde_json::from_str(&text).expect("a readable report");
    assert_eq!(read.loads["a"].streams, 1);
    assert_eq!(serde_json::from_str::<LoadSum>(&text).expect("a readable report"), demand(2.5, 4));
}

/// What one host reports of its demand must not make the rest of its report unreadable, and no
/// value that it sends may count as more than a bound.
#[test]
fn garbled_demands_count_as_nothing_and_leave_the_loads_readable() {
    let read = |demands: &str| {
        let text = format!(
            r#"{{"loads":{{"a":[7,0,0]}},"crossing_tokens_per_s":1.0,"demands":{demands}}}"#
        );
        let read: LoadSum = serde_json::from_str(&text).expect("a readable report");
        assert_eq!(read.loads["a"].streams, 7, "{demands}");
        read.demands
    };
    for demands in ["null", "7", "[]", "\"x\"", "{\"s\":null}", "{\"s\":{\"x\":[1,1,1,1]}}"] {
        assert_eq!(read(demands), DemandMap::new(), "{demands}");
    }
    let nothing = DemandCount::default();
    for count in ["null", "[]", "{}", "[null,\"x\",-3,-1]", "[-1e300,[],{},1.5]"] {
        assert_eq!(read(&format!(r#"{{"s":{{"1":{count}}}}}"#))["s"][&1], nothing, "{count}");
    }
    let huge = read(r#"{"s":{"255":[1e300,1,1,18446744073709551615],"99":[1,1,1,1]}}"#);
    let count = huge["s"][&99];
    assert_eq!((huge["s"].len(), count.started_per_s), (1, 2.0));
    assert!(count.arrived_per_s <= 1e6 + 1.0 && count.waiting <= 1_000_001, "{count:?}");
}

/// Sums with a forged report must not overflow, nor keep anything of it once it has expired.
#[tokio::test(start_paused = true)]
async fn forged_report_expires_without_a_trace() {
    let (mut aggregator, now) = (LoadAggregator::default(), Instant::now());
    let load = StageLoad { streams: u32::MAX, starts: u32::MAX, token_layers: u64::MAX };
    let mut forged = demand(f64::INFINITY, u32::MAX);
    forged.loads.insert("b".into(), load);
    aggregator.exchange("h1".into(), forged.clone(), now);
    let total = aggregator.exchange("h2".into(), forged.clone(), now).clone();
    let mut others = PeerLoads::default();
    others.update(total, forged, 300, now);
    assert_eq!(others.load("b", StageLoad::default(), now).map(|load| load.streams), Some(0));
    assert_eq!(others.load("b", load, now).map(|load| load.streams), Some(0));
    let later = now + Duration::from_secs(2);
    let total = aggregator.exchange("h3".into(), demand(2.0, 1), later);
    assert_eq!(total.demands, demand(2.0, 1).demands);
}

/// The total must contain each host once, through relays too.
#[tokio::test(start_paused = true)]
async fn demands_are_summed_over_relays_and_replaced_by_newer_reports() {
    let (mut relay, now) = (RelayLoads::default(), Instant::now());
    relay.exchange("m1".into(), demand(2.0, 1), &demand(1.0, 0), false, now);
    let reported = relay.group_total(&demand(1.0, 0), now);
    assert_eq!(reported.demands["s"][&1].arrived_per_s, 3.0);
    relay.record_total(demand(50.0, 9), &reported, now);
    let later = now + Duration::from_millis(200);
    let total = relay.exchange("m1".into(), demand(5.0, 4), &demand(1.0, 0), false, later);
    let total = total.expect("a fresh total");
    let count = total.demands["s"][&1];
    assert_eq!((count.arrived_per_s, count.waiting), (53.0, 12));
    assert_eq!(relay.total_age(later), Duration::from_millis(200));

    let mut peers = PeerLoads::default();
    peers.update(total, demand(5.0, 4), 3, later);
    peers.set_total_age(Duration::from_millis(200));
    let (found, age) = peers.demands("s", later).expect("a fresh total");
    assert_eq!((found[&1].arrived_per_s, age), (53.0, Duration::from_millis(200)));
    assert_eq!(peers.demands("t", later).expect("a fresh total").0.len(), 0);
    assert!(peers.demands("s", later + Duration::from_millis(2_200)).is_some());
    assert!(peers.demands("s", later + Duration::from_millis(2_300)).is_none());
    assert!(peers.is_fresh(later + Duration::from_millis(2_300)), "loads are used as before");
    peers.set_total_age(Duration::from_millis(u64::MAX));
    assert!(peers.demands("s", later).is_none());
}

/// Rates have to follow a burst within seconds, and rates of hosts with a stream in many seconds
/// must not vanish by rounding: 300 of them add up.
#[tokio::test(start_paused = true)]
async fn rates_follow_the_demand_over_two_seconds() {
    let (mut meter, start) = (DemandMeter::default(), Instant::now());
    let service = "s".into();
    for step in 0..500_u32 {
        meter.record_arrived(&service, 0, start + Duration::from_millis(20) * step);
    }
    let end = start + Duration::from_secs(10);
    let rate = |meter: &mut DemandMeter, at| {
        meter.counts(at).get("s").map_or(0.0, |counts| counts[&0].arrived_per_s)
    };
    let steady = rate(&mut meter, end);
    assert!((steady - 50.0).abs() < 1.0, "{steady} per second");
    let later = rate(&mut meter, end + Duration::from_secs(2));
    assert!((later - steady / std::f64::consts::E).abs() < 0.1, "{later} after two seconds");
    assert!(meter.counts(end + Duration::from_secs(60)).is_empty());

    let mut meters: Vec<_> = (0..300).map(|_| DemandMeter::default()).collect();
    for (host, meter) in meters.iter_mut().enumerate() {
        (0..4).for_each(|turn| {
            let ms = turn * 10_000 + host as u64 * 10_000 / 300;
            meter.record_started(&service, 0, start + Duration::from_millis(ms));
        });
    }
    let sum: f64 = meters
        .iter_mut()
        .filter_map(|meter| meter.counts(start + Duration::from_secs(40)).remove("s"))
        .map(|counts| counts[&0].started_per_s)
        .sum();
    assert!((sum - 30.0).abs() < 1.0, "{sum} per second over all hosts");
}

/// Guards against a total that stays too low after a host has reported an absurd load: the sum is
/// saturated then, and the removal of that report takes the loads of all others with it.
#[tokio::test(start_paused = true)]
async fn absurd_load_does_not_distort_later_totals() {
    let (mut aggregator, now) = (LoadAggregator::default(), Instant::now());
    let forged: StageLoad =
        serde_json::from_value(serde_json::json!([u32::MAX, u32::MAX, u64::MAX])).expect("a load");
    let forged = LoadSum { loads: [("a".into(), forged)].into(), ..LoadSum::default() };
    aggregator.exchange("h1".into(), sum(10), now);
    aggregator.exchange("h2".into(), sum(20), now);
    aggregator.exchange("h3".into(), forged, now);
    aggregator.exchange("h3".into(), sum(5), now);
    for _ in 0..3 {
        aggregator.exchange("h1".into(), sum(10), now);
        aggregator.exchange("h2".into(), sum(20), now);
    }
    let total = aggregator.total(now).loads["a"];
    assert_eq!((total.streams, total.starts, total.token_layers), (35, 35, 35_000));
}

/// Waiting streams of a host, of which `on_time` can be on time; a host of the previous version does
/// not tell.
fn waiting(waiting: u32, on_time: Option<u32>) -> LoadSum {
    let on_time = on_time.map(|streams| ("s".into(), [(1, streams)].into()));
    LoadSum { on_time: on_time.into_iter().collect(), ..demand(1.0, waiting) }
}

/// While a deployment is upgraded, all waiting streams of hosts of the previous version count as ones
/// that can be on time, as before. A total that passed through such a host tells none, and must not
/// exceed the streams that wait elsewhere.
#[tokio::test(start_paused = true)]
async fn streams_on_time_are_summed_with_hosts_of_the_previous_version() {
    let now = Instant::now();
    let on_time_elsewhere = |total: &LoadSum, own: LoadSum| {
        let text = serde_json::to_string(total).expect("a total");
        let mut peers = PeerLoads::default();
        peers.update(serde_json::from_str(&text).expect("a readable total"), own, 3, now);
        peers.other_on_time("s", now).expect("a fresh total")[&1]
    };
    let mut aggregator = LoadAggregator::default();
    aggregator.exchange("new".into(), waiting(3, Some(0)), now);
    let total = aggregator.exchange("own".into(), waiting(4, Some(1)), now).clone();
    assert_eq!(total.on_time["s"][&1], 1);
    assert_eq!(on_time_elsewhere(&total, waiting(4, Some(1))), 0);
    let total = aggregator.exchange("old".into(), waiting(5, None), now).clone();
    assert_eq!(total.on_time["s"][&1], 6);
    assert_eq!(on_time_elsewhere(&total, waiting(4, Some(1))), 5);
    let through_old = LoadSum { on_time: OnTimeMap::new(), ..total };
    assert_eq!(on_time_elsewhere(&through_old, waiting(4, Some(1))), 8, "all that wait elsewhere");
    let later = now + Duration::from_millis(200);
    aggregator.exchange("old".into(), sum(1), later);
    aggregator.exchange("own".into(), sum(1), later);
    let total = aggregator.exchange("new".into(), sum(1), later);
    assert_eq!((total.demands.len(), total.on_time.len()), (0, 0));
}

/// The head before this one reads `demands` as arrays of four numbers, which the new field must leave
/// as they are; and what one host reports of streams on time must not make its report unreadable or
/// count for more than its waiting streams.
#[test]
fn streams_on_time_are_a_field_of_their_own_and_bounded() {
    let text = serde_json::to_string(&waiting(4, Some(2))).expect("a report");
    assert!(text.contains(r#""demands":{"s":{"1":[1.0,0.0,0,4]}}"#), "{text}");
    assert!(text.ends_with(r#","on_time":{"s":{"1":2}}}"#), "{text}");
    assert_eq!(serde_json::from_str::<LoadSum>(&text).expect("a report"), waiting(4, Some(2)));
    let now = Instant::now();
    for (on_time, streams) in [
        ("null", 4),
        ("7", 4),
        (r#"{"s":null}"#, 4),
        (r#"{"s":{"1":-1,"x":0}}"#, 4),
        (r#"{"s":{"1":"0"}}"#, 4),
        (r#"{"s":{"1":18446744073709551615}}"#, 4),
        (r#"{"t":{"1":9}}"#, 4),
        (r#"{"s":{"1":0,"2":9}}"#, 0),
    ] {
        let text = format!(
            r#"{{"loads":{{}},"crossing_tokens_per_s":0,"demands":{{"s":{{"1":[1,0,0,4]}}}},"on_time":{on_time}}}"#
        );
        let report: LoadSum = serde_json::from_str(&text).expect("a readable report");
        let mut peers = PeerLoads::default();
        peers.update(report, LoadSum::default(), 2, now);
        let read = peers.other_on_time("s", now).expect("a fresh total");
        assert_eq!(read, [(1, streams)].into(), "{on_time}");
    }
}

/// Starts of callers that had returned are no starts of streams that arrived; counted as one, they
/// made it look as if more started than arrived. The head before this one reads the first four
/// numbers of an array, and sends a rate of refusals as the third.
#[tokio::test(start_paused = true)]
async fn starts_of_returned_callers_are_counted_separately() {
    let (mut meter, now) = (DemandMeter::default(), Instant::now());
    let service = "s".into();
    meter.record_arrived(&service, 1, now);
    meter.record_started(&service, 1, now);
    let text = |meter: &mut DemandMeter| {
        let sum = LoadSum { demands: meter.counts(now), ..LoadSum::default() };
        serde_json::to_string(&sum).expect("a report")
    };
    assert!(text(&mut meter).contains(r#""1":[0.5,0.5,0,0]"#), "{}", text(&mut meter));
    meter.record_returned(&service, 1, now);
    assert!(text(&mut meter).contains(r#""1":[0.5,1.0,0,0,0.5]"#), "{}", text(&mut meter));

    let mut aggregator = LoadAggregator::default();
    let own: LoadSum = serde_json::from_str(&text(&mut meter)).expect("a report");
    aggregator.exchange("new".into(), own, now);
    let previous =
        r#"{"loads":{},"crossing_tokens_per_s":0,"demands":{"s":{"1":[3.0,2.0,7.0,4]}}}"#;
    let previous: LoadSum = serde_json::from_str(previous).expect("a readable report");
    let total = aggregator.exchange("old".into(), previous, now).demands["s"][&1];
    let expected =
        DemandCount { arrived_per_s: 3.5, started_per_s: 3.0, returned_per_s: 0.5, waiting: 4 };
    assert_eq!(total, expected);
    let rate = r#"{"loads":{},"crossing_tokens_per_s":0,"demands":{"s":{"1":[1,1,0,1,-1e300]}}}"#;
    let forged: LoadSum = serde_json::from_str(rate).expect("a readable report");
    assert_eq!(forged.demands["s"][&1].returned_per_s, 0.0);
    aggregator.exchange("new".into(), LoadSum::default(), now);
    let total = aggregator.exchange("old".into(), LoadSum::default(), now);
    assert!(total.demands.is_empty(), "{:?}", total.demands);
}

/// Guards against totals that grow with every endpoint that was ever in use.
#[tokio::test(start_paused = true)]
async fn total_contains_only_endpoints_in_use() {
    let (mut aggregator, now) = (LoadAggregator::default(), Instant::now());
    let on = |name: &str, streams| {
        let loads = [(name.into(), sum(streams).loads["a"])].into();
        LoadSum { loads, ..LoadSum::default() }
    };
    aggregator.exchange("h1".into(), on("a", 3), now);
    aggregator.exchange("h2".into(), on("a", 2), now);
    let total = aggregator.exchange("h1".into(), on("b", 4), now);
    assert_eq!(total.loads.keys().map(|name| &**name).collect::<Vec<_>>(), ["a", "b"]);
    let total = aggregator.exchange("h2".into(), on("b", 1), now).clone();
    assert_eq!(total.loads, on("b", 5).loads);
    let mut others = PeerLoads::default();
    others.update(total, on("b", 5), 2, now);
    assert_eq!(others.total_load("b", now), Some(on("b", 5).loads["b"]));
    assert_eq!(others.total_load("a", now), Some(StageLoad::default()));
}
