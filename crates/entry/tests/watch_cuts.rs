//! Watches that are cut off or fall silent while the registry goes on to serve.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/registry.rs"]
mod registry;

use std::time::Duration;

use cluster::Cluster;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Time within which a removed endpoint must be out of use at all hosts.
const REMOVAL_TIME: Duration = Duration::from_secs(2);
/// Time after which hosts whose connections fell silent are in touch with the registry again.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Time for which an entry that lapsed in an outage is kept.
const RETURN_TIME: Duration = Duration::from_secs(2);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Hosts that use an endpoint, with the time since a moment.
fn users(cluster: &Cluster, name: &str) -> Vec<Box<str>> {
    let users = cluster.running().filter(|host| host.state.endpoint(name).is_some());
    users.map(|host| host.name.clone()).collect()
}

async fn start() -> Cluster {
    let cluster = Cluster::start_hosts(&["north", "south"], 3).await;
    assert_eq!(users(&cluster, "north-0").len(), 3);
    cluster
}

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// A cut watch was taken for an outage: removals around it were followed two seconds late.
#[tokio::test(start_paused = true)]
async fn endpoint_removed_around_a_cut_watch_is_out_of_use_in_time() {
    run(async {
        let cluster = start().await;
        for (name, after) in [("north-0", 0), ("north-1", 50), ("south-0", 450)] {
            cluster.registry.cut_watches();
            sleep(ms(after)).await;
            let endpoint = cluster.endpoints.iter().find(|endpoint| &*endpoint.name == name);
            endpoint.expect("an endpoint").leave(&cluster.registry);
            sleep(REMOVAL_TIME).await;
            assert!(
                users(&cluster, name).is_empty(),
                "{name}, {after} ms: {:?}",
                users(&cluster, name)
            );
        }
    })
    .await;
}

/// Cuts in quick succession are no outage either.
#[tokio::test(start_paused = true)]
async fn endpoint_removed_between_cuts_is_out_of_use_in_time() {
    run(async {
        let cluster = start().await;
        for cut in 0..8 {
            cluster.registry.cut_watches();
            sleep(ms(300)).await;
            if cut == 5 {
                cluster.endpoints[0].leave(&cluster.registry);
            }
        }
        sleep(REMOVAL_TIME - ms(900)).await;
        assert!(users(&cluster, "north-0").is_empty());
    })
    .await;
}

/// All connections to the registry fall silent, and new ones work.
#[tokio::test(start_paused = true)]
async fn endpoint_removed_in_a_silence_is_out_of_use_once_hosts_are_in_touch() {
    run(async {
        let cluster = start().await;
        let silent_since = Instant::now();
        for host in cluster.running() {
            for kind in ["watch_endpoints", "watch_rules"] {
                cluster.registry.swallow_next(&host.name, kind);
            }
        }
        sleep(ms(1_000)).await;
        cluster.endpoints[0].leave(&cluster.registry);
        // The holder's next watch, which gets no reply, begins within half a second.
        sleep_until(silent_since + ms(500) + STABLE_TIME).await;
        assert!(users(&cluster, "north-0").is_empty(), "{:?}", users(&cluster, "north-0"));
    })
    .await;
}

/// Entries that lapse while the registry is away are kept until live endpoints are listed again, no
/// longer, also if watches are cut off meanwhile.
#[tokio::test(start_paused = true)]
async fn entry_that_lapsed_in_an_outage_is_kept_for_the_return_time() {
    run(async {
        let cluster = start().await;
        cluster.registry.set_down(true);
        sleep(ms(4_000)).await;
        cluster.endpoints[0].leave(&cluster.registry);
        sleep(ms(1_000)).await;
        cluster.registry.set_down(false);
        let returned = Instant::now();
        sleep(ms(1_500)).await;
        assert_eq!(users(&cluster, "north-0").len(), 3, "live endpoints may still return");
        cluster.registry.cut_watches();
        // Hosts retry after 1.6 s at most, drop what is due each 0.25 s and exchange each 0.2 s.
        sleep_until(returned + RETURN_TIME + ms(1_600 + 250 + 400)).await;
        assert!(users(&cluster, "north-0").is_empty(), "{:?}", users(&cluster, "north-0"));
    })
    .await;
}
