//! When hosts assign layers to empty endpoints, on the paused clock.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/registry.rs"]
mod registry;

use std::rc::Rc;
use std::time::Duration;

use cluster::{Cluster, rules};
use jacinthrock_entry::{PathStage, RetryPolicy, RouteRule, ServingRules, StreamGuard};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

const DOMAINS: [&str; 2] = ["north", "south"];
/// Time for which an empty endpoint waits while no layer is missing or short of room.
const IDLE_WAIT: Duration = Duration::from_millis(1_300);
/// Time from the registry's entry to the order in the next round: the holder reads changes every
/// 100 ms and plans every 100 ms.
const NEXT_ROUND: Duration = Duration::from_millis(400);
/// Time from the end of the holder's process within which another host may send orders (A3).
const TAKEOVER_BOUND: Duration = Duration::from_millis(1_000);
/// Tokens of a stream that take a part of the 7,000 for which each card has memory.
const HALF: u32 = 3_500;
const MOST: u32 = 6_000;

fn route(name: &str, priority: u8) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: "a.example".into(),
        prefix: format!("/{name}/").into(),
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

/// Starts hosts whose service has streams of the given priorities.
async fn start_hosts(priorities: [u8; 2]) -> Cluster {
    let mut cluster = Cluster::start(&DOMAINS).await;
    let routes = ["r0", "r1"].into_iter().zip(priorities);
    let routes = routes.map(|(name, priority)| route(name, priority)).collect();
    cluster.registry.write_rules(ServingRules { routes, ..rules(2) });
    for number in 0..6 {
        cluster.add_host(&format!("h{number}"), DOMAINS[number % 2], 250);
    }
    sleep(Duration::from_secs(8)).await;
    cluster
}

/// Streams of one host through each endpoint of a domain.
fn fill(cluster: &Cluster, domain: &str, tokens: u32) -> Vec<StreamGuard> {
    let state = &cluster.hosts[0].state;
    let endpoints = state.endpoints.borrow();
    let entries = endpoints.entries().filter(|entry| &*entry.domain == domain);
    let guards = entries.map(|entry| {
        let stage = PathStage {
            name: entry.name.clone(),
            start_unix_ms: entry.start_unix_ms,
            address: entry.address,
            domain: entry.domain.clone(),
            span: entry.layers.expect("layers"),
        };
        StreamGuard::new(state.inflight.clone(), Rc::new([stage]), tokens, Instant::now())
    });
    guards.collect()
}

fn ordered_at(cluster: &Cluster, endpoint: &str) -> Option<Instant> {
    let orders = cluster.orders.borrow();
    orders.iter().find(|order| &*order.endpoint == endpoint).map(|order| order.at)
}

/// Adds an empty endpoint and waits for its order; returns the time until then.
async fn add_and_wait(cluster: &mut Cluster, name: &str, domain: &str) -> Duration {
    let added = Instant::now();
    cluster.add_endpoint(name, domain).await;
    loop {
        if let Some(at) = ordered_at(cluster, name) {
            return at - added;
        }
        assert!(added.elapsed() < Duration::from_secs(10), "{name} gets no layers");
        sleep(Duration::from_millis(5)).await;
    }
}

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Cards stayed empty for 1.3 s while the layers of their domain had no room. In a domain with room,
/// an endpoint may replace another one that has yet to leave.
#[tokio::test(start_paused = true)]
async fn empty_endpoint_of_a_short_domain_gets_layers_in_the_next_round() {
    run(async {
        let mut cluster = start_hosts([0, 1]).await;
        let _guards = [fill(&cluster, "north", MOST), fill(&cluster, "south", HALF)];
        sleep(Duration::from_secs(1)).await;
        let short = add_and_wait(&mut cluster, "north-new", "north").await;
        assert!(short <= NEXT_ROUND, "{short:?} in a domain that is short of room");
        let roomy = add_and_wait(&mut cluster, "south-new", "south").await;
        assert!(roomy >= IDLE_WAIT, "{roomy:?} in a domain with room");
    })
    .await;
}

/// Layers assigned before the former endpoint leaves would be others than those that it leaves.
#[tokio::test(start_paused = true)]
async fn replacement_in_a_domain_with_room_waits_for_the_layers_of_the_former_endpoint() {
    run(async {
        let mut cluster = start_hosts([0, 1]).await;
        let _guards = [fill(&cluster, "north", MOST), fill(&cluster, "south", HALF)];
        let former = cluster.endpoints[2].clone();
        assert_eq!(&*former.name, "south-0");
        let span = cluster.hosts[0].state.endpoint(&former.name).and_then(|entry| entry.layers);
        sleep(Duration::from_secs(1)).await;
        cluster.add_endpoint("south-new", "south").await;
        sleep(Duration::from_secs(1)).await;
        assert_eq!(ordered_at(&cluster, "south-new"), None, "the former endpoint has yet to leave");
        former.leave(&cluster.registry);
        sleep(NEXT_ROUND).await;
        let orders = cluster.orders.borrow();
        let order = orders.iter().find(|order| &*order.endpoint == "south-new");
        assert_eq!(order.map(|order| order.span), span);
    })
    .await;
}

/// Services with one priority are served as before.
#[tokio::test(start_paused = true)]
async fn empty_endpoint_of_a_service_with_one_priority_waits() {
    run(async {
        let mut cluster = start_hosts([1, 1]).await;
        let _guards = fill(&cluster, "north", MOST);
        sleep(Duration::from_secs(1)).await;
        let waited = add_and_wait(&mut cluster, "north-new", "north").await;
        assert!(waited >= IDLE_WAIT, "{waited:?}");
    })
    .await;
}

/// A new holder began the wait of 1.3 s again for endpoints that had been empty for as long.
#[tokio::test(start_paused = true)]
async fn new_holder_counts_the_time_for_which_an_endpoint_was_empty_before() {
    run(async {
        let mut cluster = start_hosts([1, 1]).await;
        let added = Instant::now();
        cluster.add_endpoint("north-new", "north").await;
        sleep(Duration::from_millis(900)).await;
        let holder = cluster.hosts.iter().position(|host| host.state.is_holder());
        cluster.kill_host(holder.expect("a holder"));
        let killed = Instant::now();
        while ordered_at(&cluster, "north-new").is_none() {
            assert!(killed.elapsed() < Duration::from_secs(10), "no order");
            sleep(Duration::from_millis(5)).await;
        }
        let at = ordered_at(&cluster, "north-new").expect("an order");
        assert!(at - added >= IDLE_WAIT, "{:?} after it was added", at - added);
        assert!(at - killed <= TAKEOVER_BOUND, "{:?} after the end of the holder", at - killed);
    })
    .await;
}
