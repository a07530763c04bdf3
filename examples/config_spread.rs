//! Measures platform calls and the time until a revision is in force on every host.
//!
//! Runs followers on the paused clock over an in-memory store and a fake network of peers in
//! which each host exchanges with one other, chosen at random, four times a second.
//! Run with `cargo run --release --example config_spread`.

#[path = "../tests/support/peer_hub.rs"]
#[allow(dead_code)]
mod peer_hub;

use jacinthrock::{
    ChangeRecord, ConfigFollower, CounterRegistry, DeclarationTree, FollowerOptions, HostMember,
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
const START_TIME: Duration = Duration::from_secs(10);
const QUIET_TIME: Duration = Duration::from_secs(20);
const CHANGES: u64 = 10;
const CHANGE_PERIOD: Duration = Duration::from_secs(4);

/// Hosts and failure domains of one row.
const FLEETS: [(usize, usize); 6] = [(3, 3), (6, 3), (12, 3), (24, 6), (48, 11), (340, 11)];

struct SpreadFigures {
    quiet_calls: f64,
    busy_calls: f64,
    times: Vec<Duration>,
}

fn main() {
    println!("hosts  domains  watchers   quiet calls/s  changing calls/s  median ms  worst ms");
    for (hosts, domains) in FLEETS {
        for watchers in [2, usize::MAX] {
            let figures = measure(hosts, domains, watchers);
            print_row(hosts, domains, watchers, figures);
        }
    }
}

fn print_row(hosts: usize, domains: usize, watchers: usize, mut figures: SpreadFigures) {
    figures.times.sort();
    let median = figures.times[figures.times.len() / 2].as_millis();
    let worst = figures.times[figures.times.len() - 1].as_millis();
    let chosen = if watchers == usize::MAX { "each host" } else { "2/domain" };
    let SpreadFigures { quiet_calls, busy_calls, .. } = figures;
    println!(
        "{hosts:5}  {domains:7}  {chosen:9}  {quiet_calls:13.1}  {busy_calls:16.1}  {median:9}  {worst:8}"
    );
}

fn measure(hosts: usize, domains: usize, watchers: usize) -> SpreadFigures {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O builds");
    LocalSet::new().block_on(&runtime, run_fleet(hosts, domains, watchers))
}

async fn run_fleet(hosts: usize, domains: usize, watchers: usize) -> SpreadFigures {
    let store = FakeStore::new(7);
    store.set_faults(StoreFaults { longest_delay: STORE_DELAY, ..StoreFaults::default() });
    let hub = PeerHub::new(7);
    let gossip = hub.clone();
    spawn_local(async move { gossip.run(GOSSIP_PERIOD).await });
    put_revision(&store, 1).await;
    let followers: Vec<Rc<ConfigFollower>> = (0..hosts)
        .map(|index| start_host(index, index % domains, watchers, &store, &hub))
        .collect();
    sleep(START_TIME).await;
    let quiet = store.usage().reads;
    sleep(QUIET_TIME).await;
    let busy = store.usage().reads;
    let mut times = Vec::new();
    for number in 0..CHANGES {
        let begun = Instant::now();
        let revision = put_revision(&store, number + 2).await;
        times.push(wait_for_all(&followers, revision).await);
        tokio::time::sleep_until(begun + CHANGE_PERIOD).await;
    }
    let changing = CHANGE_PERIOD * CHANGES as u32;
    SpreadFigures {
        quiet_calls: (busy - quiet) as f64 / QUIET_TIME.as_secs_f64(),
        busy_calls: (store.usage().reads - busy) as f64 / changing.as_secs_f64(),
        times,
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
    let keeper = TrackerOptions { watchers_per_domain: watchers, ..TrackerOptions::default() };
    let follower = Rc::new(ConfigFollower::new(
        Rc::new(store.handle()),
        Rc::new(hub.join(&host, &domain)),
        HostMember { host: host.as_str().into(), domain: domain.as_str().into() },
        FollowerOptions { keeper, ..FollowerOptions::default() },
        Arc::new(CounterRegistry::new()),
    ));
    hub.attach_follower(&host, &follower);
    let runner = follower.clone();
    spawn_local(async move { runner.run().await });
    follower
}

async fn put_revision(store: &FakeStore, deadline: u64) -> u64 {
    let text = format!("name = \"root\"\nkind = \"group\"\nsettings.deadline_ms = {deadline}\n");
    let tree = DeclarationTree::from_files([("root", &*text)]).expect("the tree reads");
    let value = RootDocument::first(&tree, ChangeRecord::default()).encode();
    let current = store.peek(ROOT_KEY).map_or(0, |object| object.version);
    store.put(ROOT_KEY, current, value).await.expect("the store has no faults")
}

async fn wait_for_all(followers: &[Rc<ConfigFollower>], revision: u64) -> Duration {
    let begun = Instant::now();
    let has_it = |follower: &Rc<ConfigFollower>| {
        follower.current().is_some_and(|config| config.revision >= revision)
    };
    while !followers.iter().all(has_it) {
        sleep(SAMPLE_PERIOD).await;
    }
    begun.elapsed()
}
