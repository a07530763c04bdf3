//! Admission levels of hosts that exchange loads over relays, on the paused clock.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/registry.rs"]
mod registry;

use std::rc::Rc;
use std::time::Duration;

use cluster::{Cluster, RunningHost, rules};
use jacinthrock::MetricName;
use jacinthrock_entry::{
    EndpointEntry, EntryState, PathStage, RetryPolicy, RouteRule, RuleIndex, ServingRules,
    StreamGuard,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

const DOMAINS: [&str; 3] = ["north", "middle", "south"];
const HOSTS: usize = 40;
const ROUND: Duration = Duration::from_millis(100);

fn route(name: &str, service: &str, priority: u8, is_stream: bool) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: "a.example".into(),
        prefix: format!("/{name}/").into(),
        targets: vec![(service.into(), 1)],
        retry_policy: RetryPolicy::Resumable,
        is_stream,
        timeout: Duration::from_secs(20),
        objective: Duration::from_millis(500),
        event_gap: Duration::from_millis(200),
        max_attempts: 2,
        priority,
        is_open: true,
    }
}

fn rules_with(routes: Vec<RouteRule>) -> ServingRules {
    ServingRules { routes, ..rules(2) }
}

/// Starts hosts whose service has streams of the given priorities.
async fn start_hosts(priorities: [u8; 2]) -> Cluster {
    let mut cluster = Cluster::start(&DOMAINS).await;
    let routes = priorities.into_iter().enumerate();
    let routes = routes.map(|(at, priority)| route(&format!("r{at}"), "guide", priority, true));
    cluster.registry.write_rules(rules_with(routes.collect()));
    for number in 0..HOSTS {
        let capacity = if number % 10 == 0 { 500 } else { 100 };
        cluster.add_host(&format!("h{number:03}"), DOMAINS[number % 3], capacity);
    }
    sleep(Duration::from_secs(12)).await;
    cluster
}

/// Levels of streams on routes of priority 0 and 1, of customers without a priority.
const LEVELS: [u8; 2] = [0, 11];

/// Fills the first stages with streams of several hosts.
fn fill_starts(cluster: &Cluster) -> Vec<StreamGuard> {
    let state = &cluster.hosts[0].state;
    let endpoints = state.endpoints.borrow();
    let first = endpoints.entries().filter(|entry| entry.layers.is_some_and(|span| span.from == 0));
    let streams = first.flat_map(|entry| (0..entry.slots).map(move |slot| (entry, slot)));
    let guards = streams.map(|(entry, slot)| {
        let stage = PathStage {
            name: entry.name.clone(),
            start_unix_ms: entry.start_unix_ms,
            address: entry.address,
            domain: entry.domain.clone(),
            span: entry.layers.expect("layers"),
        };
        let inflight = cluster.hosts[slot as usize].state.inflight.clone();
        StreamGuard::new(inflight, Rc::new([stage]), 10, Instant::now())
    });
    guards.collect()
}

/// Two streams arrive at each host per round, and three of four get a path.
async fn run_demand(cluster: &Cluster, rounds: usize) {
    let service = "guide".into();
    for round in 0..rounds {
        let now = Instant::now();
        for (number, host) in cluster.running().enumerate() {
            let mut meter = host.state.demand.borrow_mut();
            for level in LEVELS {
                meter.record_arrived(&service, level, now);
                if level == LEVELS[0] || (round + number) % 2 == 0 {
                    meter.record_started(&service, level, now);
                }
            }
        }
        sleep(ROUND).await;
    }
}

fn shares(host: &RunningHost) -> [f64; 2] {
    let shares = host.state.admission.borrow().shares("guide");
    LEVELS.map(|level| shares.get(&level).copied().unwrap_or(1.0))
}

/// Sends a request for a stream of a route; returns the reply as text.
async fn send(state: &EntryState, route: &str) -> String {
    let mut stream = TcpStream::connect(state.options.front).await.expect("a connection");
    let head = format!(
        "POST /{route}/ HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("a request");
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).await.expect("a reply");
    String::from_utf8_lossy(&reply).into_owned()
}

/// If hosts computed different levels, callers of the same kind would get a different share by the
/// host that they happen to meet.
#[tokio::test(start_paused = true)]
async fn all_hosts_apply_the_same_level_and_end_it() {
    LocalSet::new()
        .run_until(async {
            let cluster = start_hosts([0, 1]).await;
            let guards = fill_starts(&cluster);
            assert!(!guards.is_empty());
            run_demand(&cluster, 120).await;
            // 600 streams per second start at a usage of 1.05: 513 are admitted, 0.4 of each kind
            // and 193 more of priority 0.
            for host in cluster.running() {
                let [urgent, other] = shares(host);
                assert!((urgent - 0.88).abs() < 0.05, "{}: {urgent}", host.name);
                assert!((other - 0.4).abs() < 0.01, "{}: {other}", host.name);
                let labels = ["guide", "11"];
                let metric = host.state.metrics.value(MetricName::AdmissionShare, &labels);
                assert_eq!(metric, (other * 1_000.0).round() as i64);
            }

            let state = cluster.hosts[1].state.clone();
            let mut refused = 0;
            // A request that was refused is admitted when it is sent again.
            for number in 0..30 {
                let reply = send(&state, &format!("r1/{number}")).await;
                if reply.contains("capacity is short: share 0.4") {
                    assert!(reply.starts_with("HTTP/1.1 503 "), "{reply}");
                    assert!(reply.to_ascii_lowercase().contains("retry-after: "), "{reply}");
                    refused += 1;
                }
            }
            // Six of ten are refused; fewer than 5 of 30 come about once in 100,000 runs.
            assert!(refused >= 5, "{refused} of 30 streams were refused by the level");
            let labels = ["guide", "11", "refused"];
            assert!(state.metrics.value(MetricName::AdmissionStreams, &labels) >= refused);

            drop(guards);
            sleep(Duration::from_secs(15)).await;
            for host in cluster.running() {
                assert!(shares(host).into_iter().all(|share| share > 0.99), "{:?}", shares(host));
            }
        })
        .await;
}

/// Fills the memory of one endpoint of each domain: of those with the first layer in one domain, of
/// those with the last one in the others.
fn fill_one_of_each_domain(cluster: &Cluster) -> Vec<StreamGuard> {
    let state = &cluster.hosts[0].state;
    let (endpoints, rules) = (state.endpoints.borrow(), state.rules().expect("rules"));
    let engine = rules.engine("guide").expect("an engine");
    let filled = DOMAINS.map(|domain| {
        let layer = if domain == DOMAINS[0] { 0 } else { engine.layers - 1 };
        let holds = |entry: &&EndpointEntry| {
            &*entry.domain == domain && entry.layers.is_some_and(|span| span.holds(layer))
        };
        let entry = endpoints.entries().find(holds).expect("a holder of the layer");
        let span = entry.layers.expect("layers");
        let capacity = engine.kv_capacity(&engine.cards["k"], span.count());
        let stage = PathStage {
            name: entry.name.clone(),
            start_unix_ms: entry.start_unix_ms,
            address: entry.address,
            domain: entry.domain.clone(),
            span,
        };
        let tokens = (capacity / f64::from(span.count())) as u32;
        let inflight = cluster.hosts[1].state.inflight.clone();
        StreamGuard::new(inflight, Rc::new([stage]), tokens, Instant::now())
    });
    filled.into()
}

/// In each domain, a layer is full, and over all domains each layer has room. Hosts must refuse
/// streams of less urgent kinds although nothing waits yet.
#[tokio::test(start_paused = true)]
async fn full_layer_in_each_domain_puts_a_level_in_force() {
    LocalSet::new()
        .run_until(async {
            let cluster = start_hosts([0, 1]).await;
            let guards = fill_one_of_each_domain(&cluster);
            run_demand(&cluster, 120).await;
            for host in cluster.running() {
                let [urgent, other] = shares(host);
                // 540 of 800 streams per second are admitted, 0.4 of the less urgent ones.
                assert!((urgent - 0.95).abs() < 0.05, "{}: {urgent}", host.name);
                assert!((other - 0.4).abs() < 0.01, "{}: {other}", host.name);
            }
            drop(guards);
            sleep(Duration::from_secs(15)).await;
            for host in cluster.running() {
                assert!(shares(host).into_iter().all(|share| share > 0.99), "{:?}", shares(host));
            }
        })
        .await;
}

/// A deployment whose streams all have the same priority is served as before.
#[tokio::test(start_paused = true)]
async fn streams_of_equal_priority_have_no_level() {
    LocalSet::new()
        .run_until(async {
            let cluster = start_hosts([1, 1]).await;
            let _guards = fill_starts(&cluster);
            run_demand(&cluster, 40).await;
            for host in cluster.running() {
                assert!(host.state.admission.borrow().shares("guide").is_empty());
            }
            let state = cluster.hosts[1].state.clone();
            let before = state.demand.borrow_mut().counts(Instant::now())["guide"][&LEVELS[1]];
            let reply = send(&state, "r1").await;
            assert!(!reply.contains("capacity is short"), "{reply}");
            let after = state.demand.borrow_mut().counts(Instant::now())["guide"][&LEVELS[1]];
            assert!(after.arrived_per_s <= before.arrived_per_s, "{after:?} after {before:?}");
        })
        .await;
}

/// Only services whose stream routes have different priorities have levels.
#[test]
fn routes_decide_which_services_have_levels() {
    let has = |routes: Vec<RouteRule>| RuleIndex::new(rules_with(routes)).has_priorities("guide");
    assert!(!has(Vec::new()));
    assert!(!has(vec![route("a", "guide", 3, true)]));
    assert!(!has(vec![route("a", "guide", 3, true), route("b", "guide", 3, true)]));
    assert!(!has(vec![route("a", "guide", 3, true), route("b", "guide", 0, false)]));
    assert!(!has(vec![route("a", "guide", 3, true), route("b", "desk", 0, true)]));
    assert!(has(vec![route("a", "guide", 3, true), route("b", "guide", 0, true)]));
    let kinds = (0..200).map(|kind| route(&format!("k{kind}"), "guide", kind, true));
    assert!(has(kinds.collect()));
}
