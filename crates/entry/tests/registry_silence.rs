//! A registry that takes calls and never answers them, under hosts that run on it.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/registry.rs"]
mod registry;

use std::time::Duration;

use cluster::{Cluster, RunningHost, rules};
use tokio::task::LocalSet;
use tokio::time::sleep;

const DOMAINS: [&str; 2] = ["north", "south"];
/// Time within which accepted rules must be in force on hosts whose dependencies are stable.
const RULES_BOUND: Duration = Duration::from_secs(2);
/// Time within which no new work goes to an endpoint that leaves.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Time after a disturbance of its connections from which a host counts as stable.
const STABLE_TIME: Duration = Duration::from_secs(3);

async fn start_hosts(count: usize) -> Cluster {
    Cluster::start_hosts(&DOMAINS, count).await
}

/// Starts two hosts and kills the placement holder; returns the name of the other one.
async fn start_lone_host() -> (Cluster, Box<str>) {
    let mut cluster = start_hosts(2).await;
    let holder = cluster.running().position(|host| host.state.is_holder());
    cluster.kill_host(holder.expect("a placement holder"));
    let host = cluster.running().next().expect("the other host").name.clone();
    (cluster, host)
}

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

fn rules_in_force(cluster: &Cluster) -> Vec<u64> {
    let version = |host: &RunningHost| host.state.rules().map_or(0, |rules| rules.rules().version);
    cluster.running().map(version).collect()
}

#[tokio::test(start_paused = true)]
async fn rules_are_in_force_in_time_after_a_silence_that_swallowed_watches() {
    run(async {
        let cluster = start_hosts(3).await;
        cluster.registry.write_rules(rules(2));
        sleep(Duration::from_millis(100)).await;
        cluster.registry.set_silent(&["h0", "h1", "h2"]);
        sleep(Duration::from_millis(6_500)).await;
        cluster.registry.set_silent(&[]);
        sleep(STABLE_TIME - RULES_BOUND).await;
        cluster.registry.write_rules(rules(3));
        sleep(RULES_BOUND).await;
        assert_eq!(rules_in_force(&cluster), [3, 3, 3]);
    })
    .await;
}

/// One host after another loses its watch while all other calls are answered.
#[tokio::test(start_paused = true)]
async fn rules_are_in_force_in_time_on_a_host_whose_watch_was_swallowed() {
    run(async {
        let cluster = start_hosts(3).await;
        for (number, host) in ["h0", "h1", "h2"].iter().enumerate() {
            let version = 2 * number as u64 + 2;
            cluster.registry.swallow_next(host, "watch_rules");
            cluster.registry.write_rules(rules(version));
            sleep(STABLE_TIME - RULES_BOUND).await;
            assert!(cluster.registry.has_swallowed(host, "watch_rules"));
            cluster.registry.write_rules(rules(version + 1));
            sleep(RULES_BOUND).await;
            assert_eq!(rules_in_force(&cluster), [version + 1; 3], "watch of {host} swallowed");
        }
    })
    .await;
}

/// Without a placement holder no other host confirms the rules.
#[tokio::test(start_paused = true)]
async fn rules_are_in_force_in_time_on_a_lone_host_whose_watch_was_swallowed() {
    run(async {
        let (cluster, host) = start_lone_host().await;
        cluster.registry.swallow_next(&host, "watch_rules");
        cluster.registry.write_rules(rules(2));
        sleep(STABLE_TIME - RULES_BOUND).await;
        assert!(cluster.registry.has_swallowed(&host, "watch_rules"));
        cluster.registry.write_rules(rules(3));
        sleep(RULES_BOUND).await;
        assert_eq!(rules_in_force(&cluster), [3]);
    })
    .await;
}

/// Hosts that the registry does not answer get rules from those that it answers.
#[tokio::test(start_paused = true)]
async fn rules_reach_hosts_that_the_registry_does_not_answer() {
    run(async {
        let cluster = start_hosts(4).await;
        let silent = cluster.running().filter(|host| !host.state.is_holder()).take(2);
        let silent: Vec<&str> = silent.map(|host| &*host.name).collect();
        cluster.registry.write_rules(rules(2));
        sleep(Duration::from_millis(100)).await;
        cluster.registry.set_silent(&silent);
        for version in 3..8 {
            cluster.registry.write_rules(rules(version));
            sleep(RULES_BOUND).await;
            assert_eq!(rules_in_force(&cluster), [version; 4], "{silent:?} not answered");
        }
    })
    .await;
}

/// A host that has just lost its placement holder watches the endpoints itself.
#[tokio::test(start_paused = true)]
async fn leaving_endpoint_is_known_in_time_on_a_host_whose_watch_was_swallowed() {
    run(async {
        let (cluster, host) = start_lone_host().await;
        cluster.registry.swallow_next(&host, "watch_endpoints");
        while !cluster.registry.has_swallowed(&host, "watch_endpoints") {
            sleep(Duration::from_millis(10)).await;
        }
        sleep(STABLE_TIME - DRAIN_BOUND).await;
        let endpoint = &cluster.endpoints[0];
        endpoint.drain(&cluster.registry);
        sleep(DRAIN_BOUND).await;
        let state = &cluster.running().next().expect("the other host").state;
        assert!(state.endpoint(&endpoint.name).is_none_or(|entry| entry.is_draining));
    })
    .await;
}
