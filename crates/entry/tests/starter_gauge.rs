//! Metric of the starters that the holder of the placement lease wants, on the paused clock.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/registry.rs"]
mod registry;

use std::rc::Rc;
use std::time::Duration;

use cluster::{Cluster, RunningHost};
use jacinthrock::MetricName;
use jacinthrock_entry::{PathStage, StreamGuard};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

const DOMAIN: &str = "north";

fn wanted(host: &RunningHost) -> i64 {
    host.state.metrics.value(MetricName::StartersWanted, &["guide", DOMAIN])
}

/// Takes the starts of the first stages with streams of a host.
fn fill_starts(host: &RunningHost) -> Vec<StreamGuard> {
    let endpoints = host.state.endpoints.borrow();
    let first = endpoints.entries().filter(|entry| entry.layers.is_some_and(|span| span.from == 0));
    let streams = first.flat_map(|entry| (0..entry.slots).map(move |_| entry));
    let guards = streams.map(|entry| {
        let stage = PathStage {
            name: entry.name.clone(),
            start_unix_ms: entry.start_unix_ms,
            address: entry.address,
            domain: entry.domain.clone(),
            span: entry.layers.expect("layers"),
        };
        StreamGuard::new(host.state.inflight.clone(), Rc::new([stage]), 10, Instant::now())
    });
    guards.collect()
}

/// Guards against a number of starters that stays on a host after another has taken the placement
/// lease: sums over all hosts then count the starters twice.
#[tokio::test(start_paused = true)]
async fn gauge_returns_to_zero_on_a_host_that_no_longer_holds_the_lease() {
    LocalSet::new()
        .run_until(async {
            let mut cluster = Cluster::start(&[DOMAIN]).await;
            for number in 2..12 {
                cluster.add_endpoint(&format!("{DOMAIN}-{number}"), DOMAIN).await;
            }
            for number in 0..2 {
                cluster.add_host(&format!("h{number}"), DOMAIN, 250);
            }
            sleep(Duration::from_secs(10)).await;
            let holder = cluster.running().position(|host| host.state.is_holder());
            let holder = &cluster.hosts[holder.expect("a holder")];
            let _guards = fill_starts(holder);
            sleep(Duration::from_secs(5)).await;
            assert!(wanted(holder) > 0, "all starts are in use");

            cluster.registry.set_cut(&holder.name, true);
            sleep(Duration::from_secs(5)).await;
            assert!(!holder.state.is_holder());
            assert_eq!(wanted(holder), 0);
            let sum: i64 = cluster.running().map(wanted).sum();
            assert!(sum > 0, "the new holder wants starters");
        })
        .await;
}
