//! Measures platform calls and the time until a revision is in force on every host.
//!
//! Runs configuration followers on the paused clock against an in-memory store and a fake peer
//! network in which each host exchanges with one random other host four times a second.
//! Run with `cargo run --release --example config_spread`.

#[path = "../tests/support/peer_hub.rs"]
#[allow(dead_code)]
mod peer_hub;

use jacinthrock::{
    ChangeRecord, ConfigFollower, DeclarationTree, FollowerOptions, HostMember, MetricRegistry,
    PlatformStore, ROOT_KEY, RootDocument, TrackerOptions,
};
use jacinthrock_standins::fake_store::{FakeStore, StoreFaults};
use peer_hub::PeerHub;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

const GOSSIP_PERIOD: Duration = Duration::from_millis(250);
const STORE_DELAY: Duration = Duration::from_millis(5);
const SAMPLE_PERIOD: Duration = Duration::from_millis(5);
const WARM_UP_TIME: Duration = Duration::from_secs(10);
/// Time without configuration changes over which the idle call rate is measured.
const IDLE_TIME: Duration = Duration::from_secs(20);
const CHANGE_COUNT: u64 = 10;
const CHANGE_PERIOD: Duration = Duration::from_secs(4);

/// Hosts and failure domains of each row.
const FLEET_SIZES: [(usize, usize); 6] = [(3, 3), (6, 3), (12, 3), (24, 6), (48, 11), (340, 11)];

/// Store calls per second and propagation times of one simulated fleet.
struct PropagationFigures {
    idle_calls: f64,
    changing_calls: f64,
    propagation_times: Vec<Duration>,
}

fn main() {
    println!("hosts  domains  watchers   quiet calls/s  changing calls/s  median ms  worst ms");
    for (hosts, domains) in FLEET_SIZES {
        for watchers in [2, usize::MAX] {
            let figures = measure(hosts, domains, watchers);
            print_row(hosts, domains, watchers, figures);
        }
    }
}

fn print_row(hosts: usize, domains: usize, watchers: usize, mut figures: PropagationFigures) {
    figures.propagation_times.sort();
    let median = figures.propagation_times[figures.propagation_times.len() / 2].as_millis();
    let worst = figures.propagation_times[figures.propagation_times.len() - 1].as_millis();
    let watcher_label = if watchers == usize::MAX { "each host" } else { "2/domain" };
    let PropagationFigures { idle_calls, changing_calls, .. } = figures;
    println!(
        "{hosts:5}  {domains:7}  {watcher_label:9}  {idle_calls:13.1}  {changing_calls:16.1}  {median:9}  {worst:8}"
    );
}

fn measure(hosts: usize, domains: usize, watchers: usize) -> PropagationFigures {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O builds");
    LocalSet::new().block_on(&runtime, run_fleet(hosts, domains, watchers))
}

async fn run_fleet(hosts: usize, domains: usize, watchers: usize) -> PropagationFigures {
    let store = FakeStore::new(7);
    store.set_faults(StoreFaults { longest_delay: STORE_DELAY, ..StoreFaults::default() });
    let hub = PeerHub::new(7);
    let gossip = hub.clone();
    spawn_local(async move { gossip.run(GOSSIP_PERIOD).await });
    put_revision(&store, 1).await;
    let followers: Vec<Rc<ConfigFollower>> = (0..hosts)
        .map(|index| start_host(index, index % domains, watchers, &store, &hub))
        .collect();
    sleep(WARM_UP_TIME).await;
    let reads_before_idle = store.usage().reads;
    sleep(IDLE_TIME).await;
    let reads_before_changes = store.usage().reads;
    let mut propagation_times = Vec::new();
    for number in 0..CHANGE_COUNT {
        let started = Instant::now();
        let revision = put_revision(&store, number + 2).await;
        propagation_times.push(wait_for_all(&followers, revision).await);
        tokio::time::sleep_until(started + CHANGE_PERIOD).await;
    }
    let changing_time = CHANGE_PERIOD * CHANGE_COUNT as u32;
    PropagationFigures {
        idle_calls: (reads_before_changes - reads_before_idle) as f64 / IDLE_TIME.as_secs_f64(),
        changing_calls: (store.usage().reads - reads_before_changes) as f64
            / changing_time.as_secs_f64(),
        propagation_times,
    }
}

fn start_host(
    index: usize,
    domain: usize,
    watchers: usize,
    store: &FakeStore,
    hub: &Rc<PeerHub>,
) -> Rc<ConfigFollower> {
    let host = format!("host-{index}");
    let domain = format!("domain-{domain}");
    let tracker = TrackerOptions { watchers_per_domain: watchers, ..TrackerOptions::default() };
    let follower = Rc::new(ConfigFollower::new(
        Rc::new(store.handle()),
        Rc::new(hub.join(&host, &domain)),
        HostMember { host: host.as_str().into(), domain: domain.as_str().into() },
        FollowerOptions { tracker, ..FollowerOptions::default() },
        Arc::new(MetricRegistry::new()),
    ));
    hub.attach_follower(&host, &follower);
    let task_follower = follower.clone();
    spawn_local(async move { task_follower.run().await });
    follower
}

/// Writes a root object that differs in the deadline, and returns its revision.
async fn put_revision(store: &FakeStore, deadline: u64) -> u64 {
    let text = format!("name = \"root\"\nkind = \"group\"\nsettings.deadline_ms = {deadline}\n");
    let tree = DeclarationTree::from_files([("root", &*text)]).expect("the tree is valid");
    let value = RootDocument::first(&tree, ChangeRecord::default()).encode();
    let current = store.peek(ROOT_KEY).map_or(0, |object| object.version);
    store.put(ROOT_KEY, current, value).await.expect("the store has no faults")
}

/// Waits until the revision is in force on every host, and returns the time that it took.
async fn wait_for_all(followers: &[Rc<ConfigFollower>], revision: u64) -> Duration {
    let started = Instant::now();
    let is_in_force = |follower: &Rc<ConfigFollower>| {
        follower.current().is_some_and(|config| config.revision >= revision)
    };
    while !followers.iter().all(is_in_force) {
        sleep(SAMPLE_PERIOD).await;
    }
    started.elapsed()
}
