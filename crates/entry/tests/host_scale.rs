//! What grows with the number of hosts, on the paused clock.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/registry.rs"]
mod registry;

use std::time::Duration;

use cluster::Cluster;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

const DOMAINS: [&str; 3] = ["north", "middle", "south"];

async fn start_hosts(count: usize) -> Cluster {
    let mut cluster = Cluster::start(&DOMAINS).await;
    for number in 0..count {
        let capacity = if number % 10 == 0 { 500 } else { 100 };
        cluster.add_host(&format!("h{number:03}"), DOMAINS[number % 3], capacity);
    }
    sleep(Duration::from_secs(12)).await;
    cluster
}

/// With hundreds of hosts that all exchanged with the holder, each of them waited so long between
/// two exchanges that it took the holder's table for unconfirmed and listed the endpoints itself,
/// again and again.
#[tokio::test(start_paused = true)]
async fn hosts_do_not_list_the_endpoints_while_the_holder_replies() {
    LocalSet::new()
        .run_until(async {
            let cluster = start_hosts(150).await;
            let before = cluster.registry.calls_by_kind();
            sleep(Duration::from_secs(20)).await;
            let after = cluster.registry.calls_by_kind();
            let made = |kind| after.get(kind).unwrap_or(&0) - before.get(kind).unwrap_or(&0);
            assert_eq!(made("endpoints"), 0, "listings in 20 s: {after:?} after {before:?}");
            assert!(made("watch_endpoints") < 60, "{after:?} after {before:?}");
        })
        .await;
}

/// Knowledge of endpoints must reach every host within its bound, over relays too.
#[tokio::test(start_paused = true)]
async fn every_host_learns_of_a_leaving_endpoint_in_time() {
    LocalSet::new()
        .run_until(async {
            let cluster = start_hosts(100).await;
            let leaver = cluster.endpoints[0].clone();
            leaver.drain(&cluster.registry);
            let drained = Instant::now();
            let knows = |host: &cluster::RunningHost| {
                host.state.endpoint(&leaver.name).is_none_or(|entry| entry.is_draining)
            };
            while !cluster.running().all(knows) {
                assert!(drained.elapsed() < Duration::from_millis(1_200), "not all hosts know");
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await;
}

/// While the registry is away, an endpoint that leaves refuses work and its entry stays listed. Of
/// many hosts, each sees a few of the refusals; what one has found must reach all, and end in time
/// although hosts tell one another.
#[tokio::test(start_paused = true)]
async fn endpoint_that_one_host_has_excluded_gets_no_work_from_any() {
    LocalSet::new()
        .run_until(async {
            let cluster = start_hosts(100).await;
            let endpoint = cluster.endpoints[0].name.clone();
            let excluding = || {
                let excludes = |host: &&cluster::RunningHost| {
                    let entry = host.state.endpoint(&endpoint).expect("a listed endpoint");
                    host.state.exclusions.borrow().is_excluded(&entry, Instant::now())
                };
                cluster.running().filter(excludes).count()
            };
            assert!(cluster.hosts[1].state.mark_excluded(&endpoint));
            sleep(Duration::from_millis(1_000)).await;
            assert_eq!(excluding(), 100);
            sleep(Duration::from_millis(4_000)).await;
            assert_eq!(excluding(), 0, "hosts keep an exclusion alive among themselves");
        })
        .await;
}

/// While the registry is away, hosts need the loads of one another most. The holder has to go on
/// without a pause that lets them expire.
#[tokio::test(start_paused = true)]
async fn loads_of_other_hosts_stay_known_while_the_registry_is_away() {
    LocalSet::new()
        .run_until(async {
            let cluster = start_hosts(60).await;
            cluster.registry.set_down(true);
            for _ in 0..100 {
                sleep(Duration::from_millis(100)).await;
                let now = Instant::now();
                let knows =
                    |host: &&cluster::RunningHost| host.state.peer_loads.borrow().is_fresh(now);
                assert_eq!(cluster.running().filter(knows).count(), 60);
            }
            assert_eq!(cluster.running().filter(|host| host.state.is_holder()).count(), 1);
        })
        .await;
}
