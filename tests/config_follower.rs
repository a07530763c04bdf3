//! Followers of the accepted configuration during outages, disconnections and faulty revisions.

#[path = "support/peer_hub.rs"]
mod peer_hub;

use jacinthrock::{
    ChangeRecord, ConfigFollower, DeclarationTree, DomainPosition, FollowerOptions, HostAnswer,
    HostMember, HostReport, MetricName, MetricRegistry, PlatformStore, ROOT_KEY, ResultCode,
    RevisionTracker, RolloutCheck, RolloutVerdict, RootDocument, StoreError, StoreListing,
    TrackerAction, TrackerEvent, TrackerOptions, TrackerState, domain_position,
};
use jacinthrock_standins::fake_store::FakeStore;
use peer_hub::PeerHub;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

struct SimulatedHost {
    name: String,
    follower: Rc<ConfigFollower>,
    store: FakeStore,
    metrics: Arc<MetricRegistry>,
    task: JoinHandle<()>,
}

impl SimulatedHost {
    fn start(name: &str, store: &FakeStore, hub: &Rc<PeerHub>) -> Self {
        let store = store.handle();
        let metrics = Arc::new(MetricRegistry::new());
        let member = HostMember { host: name.into(), domain: "north".into() };
        let follower = Rc::new(ConfigFollower::new(
            Rc::new(store.clone()),
            Rc::new(hub.join(name, "north")),
            member,
            FollowerOptions::default(),
            metrics.clone(),
        ));
        hub.attach_follower(name, &follower);
        hub.set_unresponsive(name, false);
        let runner = follower.clone();
        let task = spawn_local(async move { runner.run().await });
        Self { name: name.into(), follower, store, metrics, task }
    }

    fn stop(&self, hub: &PeerHub) {
        hub.set_unresponsive(&self.name, true);
        self.task.abort();
    }

    fn revision(&self) -> u64 {
        self.follower.current().map_or(0, |config| config.revision)
    }
}

fn document(deadline: u64) -> RootDocument {
    let text = format!("name = \"root\"\nkind = \"group\"\nsettings.deadline_ms = {deadline}\n");
    document_from(&text)
}

fn document_from(text: &str) -> RootDocument {
    let tree = DeclarationTree::from_files([("root", text)]).expect("the tree is valid");
    RootDocument::first(&tree, ChangeRecord::default())
}

async fn put_root(store: &FakeStore, value: Box<[u8]>) -> u64 {
    let current = store.peek(ROOT_KEY).map_or(0, |object| object.version);
    store.put(ROOT_KEY, current, value).await.expect("no faults are set")
}

async fn run_test<F: Future<Output = ()>>(test: impl FnOnce(FakeStore, Rc<PeerHub>) -> F) {
    let local = LocalSet::new();
    let run = async {
        let hub = PeerHub::new(1);
        let gossip = hub.clone();
        spawn_local(async move { gossip.run(Duration::from_millis(250)).await });
        test(FakeStore::new(1), hub).await;
    };
    local.run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn restarted_host_takes_the_revision_in_force_from_a_peer_during_an_outage() {
    run_test(async |store, hub| {
        let first = put_root(&store, document(1).encode()).await;
        let left = SimulatedHost::start("left", &store, &hub);
        let right = SimulatedHost::start("right", &store, &hub);
        sleep(Duration::from_secs(2)).await;
        assert_eq!((left.revision(), right.revision()), (first, first));
        store.set_down(true);
        right.stop(&hub);
        let right = SimulatedHost::start("right", &store, &hub);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(right.revision(), 0, "the host still waits for the platform");
        sleep(Duration::from_secs(2)).await;
        assert_eq!(right.revision(), first);
        assert_eq!(right.follower.status().state, TrackerState::Unconfirmed);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn restarted_host_without_platform_and_peers_serves_nothing() {
    run_test(async |store, hub| {
        let first = put_root(&store, document(1).encode()).await;
        store.set_down(true);
        let host = SimulatedHost::start("alone", &store, &hub);
        sleep(Duration::from_secs(600)).await;
        assert_eq!(host.revision(), 0);
        assert_eq!(host.follower.status().state, TrackerState::Starting);
        store.set_down(false);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(host.revision(), first);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn running_host_without_platform_and_peers_keeps_serving_as_unconfirmed() {
    run_test(async |store, hub| {
        let first = put_root(&store, document(1).encode()).await;
        let host = SimulatedHost::start("alone", &store, &hub);
        sleep(Duration::from_secs(2)).await;
        store.set_down(true);
        sleep(Duration::from_secs(3600)).await;
        assert_eq!(host.revision(), first);
        assert_eq!(host.follower.status().state, TrackerState::Unconfirmed);
        assert_eq!(host.metrics.value(MetricName::ConfigUnconfirmed, &[]), 1);
        store.set_down(false);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(host.follower.status().state, TrackerState::Confirmed);
        assert_eq!(host.metrics.value(MetricName::ConfigUnconfirmed, &[]), 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn faulty_revision_is_counted_and_the_last_valid_one_stays() {
    run_test(async |store, hub| {
        let valid_revision = put_root(&store, document(1).encode()).await;
        let left = SimulatedHost::start("left", &store, &hub);
        let right = SimulatedHost::start("right", &store, &hub);
        sleep(Duration::from_secs(2)).await;
        let faulty = document_from("name = \"child\"\nkind = \"group\"\nparent = \"nowhere\"");
        let faulty_revision = put_root(&store, faulty.encode()).await;
        sleep(Duration::from_secs(2)).await;
        assert_eq!(left.revision(), valid_revision);
        let rejected =
            left.follower.status().rejected.expect("the status shows the rejected revision");
        assert_eq!(
            (rejected.revision, rejected.code),
            (faulty_revision, ResultCode::DeclarationDangling)
        );
        let label = ResultCode::DeclarationDangling.name();
        assert_eq!(left.metrics.value(MetricName::ConfigRejected, &[label]), 1);
        right.stop(&hub);
        let right = SimulatedHost::start("right", &store, &hub);
        sleep(Duration::from_secs(4)).await;
        assert_eq!(right.revision(), valid_revision, "a peer has the last valid revision");
        let fixed = put_root(&store, document(2).encode()).await;
        sleep(Duration::from_secs(2)).await;
        assert_eq!((left.revision(), right.revision()), (fixed, fixed));
        assert!(left.follower.status().rejected.is_none());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn host_with_one_reachable_peer_gets_revisions_through_it() {
    run_test(async |store, hub| {
        put_root(&store, document(1).encode()).await;
        let names = ["a", "b", "c", "d", "e"];
        let hosts: Vec<SimulatedHost> =
            names.iter().map(|name| SimulatedHost::start(name, &store, &hub)).collect();
        sleep(Duration::from_secs(2)).await;
        hosts[0].store.set_partitioned(true);
        for other in &names[2..] {
            hub.set_partitioned("a", other, true);
        }
        sleep(Duration::from_secs(4)).await;
        let next = put_root(&store, document(2).encode()).await;
        sleep(Duration::from_secs(4)).await;
        assert_eq!(hosts[0].revision(), next);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn deleted_root_object_changes_nothing() {
    run_test(async |store, hub| {
        let first = put_root(&store, document(1).encode()).await;
        let host = SimulatedHost::start("host", &store, &hub);
        sleep(Duration::from_secs(2)).await;
        store.delete(ROOT_KEY, first).await.expect("no faults are set");
        sleep(Duration::from_secs(5)).await;
        assert_eq!(host.revision(), first);
        let next = put_root(&store, document(2).encode()).await;
        sleep(Duration::from_secs(2)).await;
        assert_eq!(host.revision(), next);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn other_hosts_poll_in_turn_while_the_watchers_are_disconnected() {
    run_test(async |store, hub| {
        put_root(&store, document(1).encode()).await;
        let names = ["a", "b", "c", "d", "e", "f"];
        let hosts: Vec<SimulatedHost> =
            names.iter().map(|name| SimulatedHost::start(name, &store, &hub)).collect();
        sleep(Duration::from_secs(8)).await;
        for (name, host) in names.iter().zip(&hosts) {
            let others: Vec<Box<str>> = names.iter().map(|name| (*name).into()).collect();
            host.store.set_partitioned(domain_position(name, &others).rank < 2);
        }
        sleep(Duration::from_secs(8)).await;
        for deadline in 2..12 {
            let revision = put_root(&store, document(deadline).encode()).await;
            sleep(Duration::from_secs(4)).await;
            let lagging = hosts.iter().filter(|host| host.revision() != revision).count();
            assert_eq!(lagging, 0, "revision {revision}");
        }
    })
    .await;
}

/// Returns the number of platform calls that a tracker requests in a ten-minute outage.
fn platform_calls_in_outage(position: DomainPosition) -> usize {
    let start = Instant::now();
    let mut tracker = RevisionTracker::new(TrackerOptions::default(), start);
    let object =
        jacinthrock::StoredObject { key: ROOT_KEY.into(), version: 1, value: document(1).encode() };
    let listing = StoreListing { version: 1, objects: vec![object] };
    let tick = || TrackerEvent::Ticked { position, newest: None, live: Vec::new() };
    tracker.handle(start, tick());
    tracker.handle(start, TrackerEvent::Listed(Ok(listing)));
    let mut calls = 0;
    for step in 1..=6000 {
        let now = start + Duration::from_millis(100) * step;
        for action in tracker.handle(now, tick()) {
            let down = StoreError::Unavailable("down".into());
            match action {
                TrackerAction::ListRoot => {
                    calls += 1;
                    tracker.handle(now, TrackerEvent::Listed(Err(down)));
                }
                TrackerAction::WatchRoot { .. } => {
                    calls += 1;
                    tracker.handle(now, TrackerEvent::Watched(Err(down)));
                }
                _ => {}
            }
        }
    }
    calls
}

#[tokio::test(start_paused = true)]
async fn outage_does_not_multiply_the_calls_of_a_domain() {
    let watcher_calls = platform_calls_in_outage(DomainPosition { rank: 0, members: 31 });
    assert!(
        watcher_calls <= 610,
        "a watcher retries once a second: {watcher_calls} calls in 600 s"
    );
    let poller_calls = platform_calls_in_outage(DomainPosition { rank: 30, members: 31 });
    assert!(poller_calls <= 42, "another host polls every 15.5 s: {poller_calls} calls in 600 s");
}

#[test]
fn hosts_with_the_same_members_choose_the_same_watchers() {
    let names: Vec<Box<str>> = (0..31).map(|index| format!("host-{index}").into()).collect();
    let ranks: Vec<usize> = names.iter().map(|name| domain_position(name, &names).rank).collect();
    let mut sorted = ranks.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, (0..31).collect::<Vec<_>>());
    assert_eq!(domain_position("host-0", &[]), DomainPosition { rank: 0, members: 1 });
}

fn answer(host: &str, incarnation: u64, revision: u64) -> HostAnswer {
    let report = HostReport { host: host.into(), incarnation, revision, ..HostReport::default() };
    HostAnswer { host: host.into(), report: Ok(report) }
}

#[test]
fn restart_between_two_answers_does_not_count_as_in_force() {
    let mut check = RolloutCheck::new(5);
    let lagging =
        |names: &[&str]| RolloutVerdict::Lagging(names.iter().map(|name| (*name).into()).collect());
    assert_eq!(check.observe_round(&[answer("a", 1, 5), answer("b", 1, 4)]), lagging(&["a", "b"]));
    assert_eq!(check.observe_round(&[answer("a", 2, 5), answer("b", 1, 5)]), lagging(&["a", "b"]));
    assert_eq!(
        check.observe_round(&[answer("a", 2, 5), answer("b", 1, 5)]),
        RolloutVerdict::InForce
    );
    let unreachable = HostAnswer { host: "c".into(), report: Err("refused".into()) };
    let round = [answer("a", 2, 5), answer("b", 1, 6), unreachable];
    assert_eq!(check.observe_round(&round), lagging(&["c"]));
}
