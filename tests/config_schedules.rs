//! Accepted configurations under faults: seeded schedules on a paused clock.
//!
//! The checker compares the configuration of each host and each reported result with the store's
//! own record of writes.

#[path = "support/peer_hub.rs"]
mod peer_hub;

use jacinthrock::{
    AcceptedConfig, ChangeRecord, ConfigEdit, ConfigFollower, ConfigPublisher, ConflictPolicy,
    DeclarationTree, FollowerOptions, HostMember, MetricRegistry, PlatformStore, PublishError,
    PublishOptions, ROOT_KEY, RootDocument, RuleSwitch, TrackerOptions,
};
use jacinthrock_standins::fake_store::{FakeStore, StoreFaults};
use peer_hub::PeerHub;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

const DOMAINS: [&str; 3] = ["north", "south", "west"];
const GOSSIP_PERIOD: Duration = Duration::from_millis(250);
const OBSERVE_PERIOD: Duration = Duration::from_millis(20);
/// Time within which an accepted revision must be in force on every connected host.
const MAX_ROLLOUT: Duration = Duration::from_secs(4);
/// `MAX_ROLLOUT` applies to hosts whose connections were up this long when a revision was accepted.
const STABLE_TIME: Duration = Duration::from_millis(3500);
const CI_SCHEDULES: u64 = 55;

/// Number of checks that a host had a revision in force in time.
static ROLLOUT_CHECKS: AtomicU64 = AtomicU64::new(0);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    StoreDown,
    SlowStore,
    LostReplies,
    PlatformPartition,
    PeerPartition,
    FullPartition,
    Restart,
    Freeze,
    WatchGap,
    RacingEdit,
    FaultyRevision,
}

/// All faults. The matrix test and the random schedules use this table.
const FAULTS: [Fault; 11] = [
    Fault::StoreDown,
    Fault::SlowStore,
    Fault::LostReplies,
    Fault::PlatformPartition,
    Fault::PeerPartition,
    Fault::FullPartition,
    Fault::Restart,
    Fault::Freeze,
    Fault::WatchGap,
    Fault::RacingEdit,
    Fault::FaultyRevision,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    BeforeCommit,
    DuringCommit,
    AfterCommit,
    MidRollout,
    InForce,
}

/// All steps of an apply. The matrix test uses this table.
const STEPS: [Step; 5] =
    [Step::BeforeCommit, Step::DuringCommit, Step::AfterCommit, Step::MidRollout, Step::InForce];

/// Defect that is injected to verify that the checker detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Defect {
    #[default]
    Absent,
    AcceptsLowerRevision,
    IgnoresWatchGap,
    OverwritesConflicts,
}

/// Future that is not polled while frozen, like a process stopped by SIGSTOP.
struct FreezableTask {
    inner: Pin<Box<dyn Future<Output = ()>>>,
    freeze_switch: Rc<FreezeSwitch>,
}

#[derive(Default)]
struct FreezeSwitch {
    is_frozen: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl FreezeSwitch {
    fn set(&self, is_frozen: bool) {
        self.is_frozen.set(is_frozen);
        let waker = self.waker.borrow().clone();
        if let Some(waker) = waker.filter(|_| !is_frozen) {
            waker.wake();
        }
    }
}

impl Future for FreezableTask {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        *self.freeze_switch.waker.borrow_mut() = Some(context.waker().clone());
        if self.freeze_switch.is_frozen.get() {
            return Poll::Pending;
        }
        self.inner.as_mut().poll(context)
    }
}

struct SimulatedHost {
    name: String,
    domain: &'static str,
    store: FakeStore,
    is_partitioned: Cell<bool>,
    freeze_switch: RefCell<Rc<FreezeSwitch>>,
    running: RefCell<Option<(Rc<ConfigFollower>, JoinHandle<()>)>>,
    incarnation: Cell<u64>,
}

impl SimulatedHost {
    fn is_responsive(&self) -> bool {
        self.running.borrow().is_some() && !self.freeze_switch.borrow().is_frozen.get()
    }

    fn revision(&self) -> u64 {
        let running = self.running.borrow();
        running
            .as_ref()
            .and_then(|(follower, _)| follower.current())
            .map_or(0, |config| config.revision)
    }
}

struct TestCluster {
    store: FakeStore,
    is_store_disturbed: Cell<bool>,
    hub: Rc<PeerHub>,
    hosts: Vec<SimulatedHost>,
    peer_partitions: RefCell<BTreeMap<(usize, usize), bool>>,
    defect: Defect,
    rng: RefCell<ChaCha8Rng>,
    commits: Cell<u64>,
    outcomes: RefCell<Vec<(String, Result<u64, PublishError>)>>,
    violations: RefCell<Vec<String>>,
}

fn base_faults() -> StoreFaults {
    StoreFaults {
        lost_call: 0.01,
        lost_reply: 0.01,
        unavailable: 0.02,
        throttled: 0.01,
        longest_delay: Duration::from_millis(100),
    }
}

fn tree_with(deadline: u64, share: u64) -> DeclarationTree {
    let root = format!(
        "name = \"root\"\nkind = \"group\"\n[settings]\ndeadline_ms = {deadline}\nshare = {share}\n"
    );
    let service = "name = \"svc\"\nkind = \"service\"\nparent = \"root\"\n[plain]\nprefix = \"/svc\"\n\
         endpoint_slots = 1\n[[plain.endpoints]]\nname = \"e\"\naddress = \"10.0.0.1:1\"\ndomain = \"north\"\n";
    let customer = "name = \"cust\"\nkind = \"customer\"\nparent = \"root\"\n[customer]\nkey_hashes = []\nservices = [\"svc\"]\n";
    DeclarationTree::from_files([("root", &*root), ("svc", service), ("cust", customer)])
        .expect("the tree is valid")
}

/// Returns deadline and share of a stored root object, decoded without the library's types. Returns
/// `None` for a faulty revision.
fn stored_settings(value: &[u8]) -> Option<(u64, u64)> {
    let document: Value = serde_json::from_slice(value).ok()?;
    let nodes = document.pointer("/tree/nodes")?.as_array()?;
    let root = nodes.iter().find(|node| node["name"] == "root")?;
    let faulty = nodes.iter().any(|node| node["parent"] == "nowhere");
    let settings = &root["settings"];
    let found = (settings["deadline_ms"].as_u64()?, settings["share"].as_u64()?);
    (!faulty).then_some(found)
}

impl TestCluster {
    fn new(seed: u64, defect: Defect) -> Rc<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let store = FakeStore::new(seed);
        store.set_faults(base_faults());
        let count = rng.random_range(2..=6);
        let domains = rng.random_range(1..=DOMAINS.len());
        let host = |index: usize| SimulatedHost {
            name: format!("host-{index}"),
            domain: DOMAINS[index % domains],
            store: store.handle(),
            is_partitioned: Cell::new(false),
            freeze_switch: RefCell::default(),
            running: RefCell::default(),
            incarnation: Cell::new(0),
        };
        let cluster = Self {
            hosts: (0..count).map(host).collect(),
            store,
            is_store_disturbed: Cell::new(false),
            hub: PeerHub::new(seed),
            peer_partitions: RefCell::default(),
            defect,
            rng: RefCell::new(rng),
            commits: Cell::new(0),
            outcomes: RefCell::default(),
            violations: RefCell::default(),
        };
        Rc::new(cluster)
    }

    fn pick(&self, range: std::ops::Range<u64>) -> u64 {
        self.rng.borrow_mut().random_range(range)
    }

    fn record_violation(&self, violation: String) {
        self.violations.borrow_mut().push(violation);
    }

    fn start(&self, index: usize) {
        let host = &self.hosts[index];
        let rule_switch = |defect| {
            if self.defect == defect { RuleSwitch::Off } else { RuleSwitch::On }
        };
        let tracker = TrackerOptions {
            downgrade_rule: rule_switch(Defect::AcceptsLowerRevision),
            resync_rule: rule_switch(Defect::IgnoresWatchGap),
            ..TrackerOptions::default()
        };
        let options = FollowerOptions { tracker, ..FollowerOptions::default() };
        let member = HostMember { host: host.name.as_str().into(), domain: host.domain.into() };
        let peers = Rc::new(self.hub.join(&host.name, host.domain));
        let store = Rc::new(host.store.clone());
        let metrics = Arc::new(MetricRegistry::new());
        let follower = Rc::new(ConfigFollower::new(store, peers, member, options, metrics));
        self.hub.attach_follower(&host.name, &follower);
        self.hub.set_unresponsive(&host.name, false);
        let freeze_switch = Rc::new(FreezeSwitch::default());
        *host.freeze_switch.borrow_mut() = freeze_switch.clone();
        let runner = follower.clone();
        let inner = Box::pin(async move { runner.run().await });
        let task = spawn_local(FreezableTask { inner, freeze_switch });
        host.incarnation.set(host.incarnation.get() + 1);
        *host.running.borrow_mut() = Some((follower, task));
    }

    fn stop(&self, index: usize) {
        let host = &self.hosts[index];
        self.hub.set_unresponsive(&host.name, true);
        if let Some((_, task)) = host.running.borrow_mut().take() {
            task.abort();
        }
    }

    fn partition_peers(&self, index: usize, is_partitioned: bool) {
        for other in (0..self.hosts.len()).filter(|other| *other != index) {
            self.hub.set_partitioned(
                &self.hosts[index].name,
                &self.hosts[other].name,
                is_partitioned,
            );
            let pair = (index.min(other), index.max(other));
            self.peer_partitions.borrow_mut().insert(pair, is_partitioned);
        }
    }

    fn partition_platform(&self, index: usize, is_partitioned: bool) {
        self.hosts[index].is_partitioned.set(is_partitioned);
        self.hosts[index].store.set_partitioned(is_partitioned);
    }

    fn disturb_store(&self, faults: StoreFaults) {
        self.is_store_disturbed.set(true);
        self.store.set_faults(faults);
    }

    /// Injects a fault. Returns the argument for `clear` if the fault lasts.
    async fn inject(self: &Rc<Self>, fault: Fault) -> Option<(Fault, usize)> {
        let index = self.pick(0..self.hosts.len() as u64) as usize;
        match fault {
            Fault::StoreDown => {
                self.is_store_disturbed.set(true);
                self.store.set_down(true);
            }
            Fault::SlowStore => {
                let longest_delay = Duration::from_millis(1500);
                self.disturb_store(StoreFaults { longest_delay, ..base_faults() });
            }
            Fault::LostReplies => {
                let faults = StoreFaults { lost_call: 0.2, lost_reply: 0.4, ..base_faults() };
                self.disturb_store(faults);
            }
            Fault::PlatformPartition => self.partition_platform(index, true),
            Fault::PeerPartition => self.partition_peers(index, true),
            Fault::FullPartition => {
                self.partition_platform(index, true);
                self.partition_peers(index, true);
            }
            Fault::Restart => self.stop(index),
            Fault::Freeze => {
                self.hub.set_unresponsive(&self.hosts[index].name, true);
                self.hosts[index].freeze_switch.borrow().set(true);
            }
            Fault::WatchGap => {
                self.cause_watch_gap().await;
                return None;
            }
            Fault::RacingEdit => {
                for _ in 0..2 {
                    spawn_local(self.clone().edit());
                }
                return None;
            }
            Fault::FaultyRevision => {
                self.put_faulty_revision().await;
                return None;
            }
        }
        Some((fault, index))
    }

    fn clear(&self, (fault, index): (Fault, usize)) {
        match fault {
            Fault::StoreDown | Fault::SlowStore | Fault::LostReplies => {
                self.store.set_down(false);
                self.store.set_faults(base_faults());
                self.is_store_disturbed.set(false);
            }
            Fault::PlatformPartition => self.partition_platform(index, false),
            Fault::PeerPartition => self.partition_peers(index, false),
            Fault::FullPartition => {
                self.partition_platform(index, false);
                self.partition_peers(index, false);
            }
            Fault::Restart if self.hosts[index].running.borrow().is_none() => self.start(index),
            Fault::Freeze => {
                let host = &self.hosts[index];
                self.hub.set_unresponsive(&host.name, host.running.borrow().is_none());
                host.freeze_switch.borrow().set(false);
            }
            _ => {}
        }
    }

    /// Disconnects every host from the platform until a change has been accepted and the platform
    /// has dropped its history of changes.
    async fn cause_watch_gap(self: &Rc<Self>) {
        let were_partitioned: Vec<bool> =
            self.hosts.iter().map(|host| host.is_partitioned.get()).collect();
        (0..self.hosts.len()).for_each(|index| self.partition_platform(index, true));
        let before = root_version(self);
        spawn_local(self.clone().edit());
        wait_until(|| root_version(self) > before).await;
        self.store.compact_changes();
        for (index, is_partitioned) in were_partitioned.into_iter().enumerate() {
            self.partition_platform(index, is_partitioned);
        }
    }

    async fn put_faulty_revision(&self) {
        let is_undecodable = self.pick(0..2) == 0;
        let faulty = "name = \"svc\"\nkind = \"group\"\nparent = \"nowhere\"";
        let tree = DeclarationTree::from_files([("bad", faulty)]).expect("the fields are valid");
        let document = RootDocument::first(&tree, ChangeRecord::default());
        let value = if is_undecodable { b"{}".as_slice().into() } else { document.encode() };
        for _ in 0..3 {
            let version = self.store.peek(ROOT_KEY).map_or(0, |object| object.version);
            if self.store.put(ROOT_KEY, version, value.clone()).await.is_ok() {
                return;
            }
        }
    }

    /// Commits an operator's edit of one field, based on the configuration read at its start.
    async fn edit(self: Rc<Self>) {
        let conflict_policy = match self.defect {
            Defect::OverwritesConflicts => ConflictPolicy::Overwrite,
            _ => ConflictPolicy::Refuse,
        };
        let options = PublishOptions { conflict_policy, ..PublishOptions::default() };
        let publisher = ConfigPublisher::new(Rc::new(self.store.handle()), options);
        let base = match publisher.read().await {
            Ok(base) => base,
            Err(PublishError::Corrupt { revision, .. }) => {
                Some(AcceptedConfig { revision, document: RootDocument::default() })
            }
            Err(_) => return,
        };
        let stored = base.as_ref().and_then(|base| stored_settings(&base.document.encode()));
        let (mut deadline, mut share) = stored.unwrap_or((1000, 1));
        match self.pick(0..2) {
            0 => deadline = self.pick(1000..9000),
            _ => share = self.pick(1..1000),
        }
        sleep(Duration::from_millis(self.pick(0..400))).await;
        self.commits.set(self.commits.get() + 1);
        let commit = format!("commit-{}", self.commits.get());
        let change = ChangeRecord {
            commit: commit.as_str().into(),
            author: "operator".into(),
            ..ChangeRecord::default()
        };
        let tree = tree_with(deadline, share);
        let result =
            publisher.commit(ConfigEdit { base: base.as_ref(), tree: &tree, change }).await;
        self.outcomes.borrow_mut().push((commit, result));
    }

    fn host_revision_range(&self) -> (u64, u64) {
        let revisions = self.hosts.iter().map(SimulatedHost::revision);
        (revisions.clone().min().unwrap_or(0), revisions.max().unwrap_or(0))
    }
}

struct ObservedRevision {
    version: u64,
    at: Instant,
    settings: Option<(u64, u64)>,
    is_checked: bool,
}

/// Start of the current uninterrupted period of each connection; `None` while it is interrupted.
struct Connections {
    direct_since: Vec<Option<Instant>>,
    responsive_since: Vec<Option<Instant>>,
    links_since: BTreeMap<(usize, usize), Option<Instant>>,
}

struct Checker {
    cluster: Rc<TestCluster>,
    revisions: Vec<ObservedRevision>,
    highest_revisions: Vec<(u64, u64)>,
    min_revision: u64,
    connections: Connections,
}

fn update_since(since: &mut Option<Instant>, is_up: bool, now: Instant) {
    *since = is_up.then(|| since.unwrap_or(now));
}

impl Checker {
    fn new(cluster: Rc<TestCluster>) -> Self {
        let count = cluster.hosts.len();
        let connections = Connections {
            direct_since: vec![None; count],
            responsive_since: vec![None; count],
            links_since: BTreeMap::new(),
        };
        Self {
            revisions: Vec::new(),
            highest_revisions: vec![(0, 0); count],
            min_revision: 0,
            connections,
            cluster,
        }
    }

    fn observe(&mut self) {
        let now = Instant::now();
        self.read_new_revisions(now);
        self.track_connections(now);
        for index in 0..self.cluster.hosts.len() {
            self.check_host(index);
        }
        let (lowest, _) = self.cluster.host_revision_range();
        self.min_revision = self.min_revision.max(lowest);
        self.check_rollouts(now);
        self.check_caught_up(now);
    }

    fn read_new_revisions(&mut self, now: Instant) {
        let latest = self.cluster.store.peek(ROOT_KEY).map_or(0, |object| object.version);
        if self.revisions.last().map_or(0, |observed| observed.version) == latest {
            return;
        }
        let record = self.cluster.store.peek_history(ROOT_KEY);
        for object in &record[self.revisions.len()..] {
            let settings = stored_settings(&object.value);
            let version = object.version;
            self.revisions.push(ObservedRevision { version, at: now, settings, is_checked: false });
        }
    }

    fn track_connections(&mut self, now: Instant) {
        let cluster = &self.cluster;
        for (index, host) in cluster.hosts.iter().enumerate() {
            let is_responsive = host.is_responsive();
            let is_direct =
                is_responsive && !host.is_partitioned.get() && !cluster.is_store_disturbed.get();
            update_since(&mut self.connections.responsive_since[index], is_responsive, now);
            update_since(&mut self.connections.direct_since[index], is_direct, now);
            for other in 0..index {
                let is_partitioned =
                    cluster.peer_partitions.borrow().get(&(other, index)).copied().unwrap_or(false);
                let link = self.connections.links_since.entry((other, index)).or_default();
                update_since(link, !is_partitioned, now);
            }
        }
    }

    fn check_host(&mut self, index: usize) {
        let host = &self.cluster.hosts[index];
        let running = host.running.borrow();
        let Some(config) = running.as_ref().and_then(|(follower, _)| follower.current()) else {
            return;
        };
        let revision = config.revision;
        let name = &host.name;
        let record_violation = |violation: String| self.cluster.record_violation(violation);
        match self.revisions.iter().find(|observed| observed.version == revision) {
            None => record_violation(format!(
                "{name} has {revision} in force, which was never accepted"
            )),
            Some(ObservedRevision { settings: None, .. }) => {
                record_violation(format!("{name} has the faulty revision {revision} in force"));
            }
            Some(ObservedRevision { settings: Some((deadline, share)), .. }) => {
                let found = (
                    config.services["svc"].deadline.as_millis() as u64,
                    u64::from(config.customers["cust"].share),
                );
                if found != (*deadline, *share) {
                    record_violation(format!(
                        "{name} has other settings in force than revision {revision}"
                    ));
                }
            }
        }
        let (incarnation, highest_revision) = self.highest_revisions[index];
        if incarnation == host.incarnation.get() && revision < highest_revision {
            record_violation(format!("{name} went back from {highest_revision} to {revision}"));
        }
        if revision < self.min_revision {
            let min_revision = self.min_revision;
            record_violation(format!(
                "{name} serves {revision} after {min_revision} was in force everywhere"
            ));
        }
        self.highest_revisions[index] = (host.incarnation.get(), revision);
    }

    fn check_rollouts(&mut self, now: Instant) {
        for position in 0..self.revisions.len() {
            let observed = &self.revisions[position];
            if observed.is_checked || now < observed.at + MAX_ROLLOUT + 2 * OBSERVE_PERIOD {
                continue;
            }
            let next = self.revisions.get(position + 1);
            let is_followed_by_faulty = next
                .is_some_and(|next| next.settings.is_none() && next.at < observed.at + MAX_ROLLOUT);
            let (version, at, is_valid) =
                (observed.version, observed.at, observed.settings.is_some());
            self.revisions[position].is_checked = true;
            if is_valid && !is_followed_by_faulty {
                self.check_in_force(version, at);
            }
        }
    }

    fn check_in_force(&self, version: u64, accepted: Instant) {
        for (index, host) in self.cluster.hosts.iter().enumerate() {
            if !self.was_connected(index, accepted) {
                continue;
            }
            ROLLOUT_CHECKS.fetch_add(1, Ordering::Relaxed);
            let revision = host.revision();
            if revision < version {
                let name = &host.name;
                self.cluster.record_violation(format!(
                    "{name} has {revision} in force 4 s after {version}"
                ));
            }
        }
    }

    /// Checks that each host that has been connected for long enough has the latest revision.
    fn check_caught_up(&self, now: Instant) {
        let Some(cutoff) = now.checked_sub(MAX_ROLLOUT + 2 * OBSERVE_PERIOD) else { return };
        let Some(latest) = self.revisions.last().filter(|it| it.settings.is_some()) else { return };
        if latest.at > cutoff {
            return;
        }
        for (index, host) in self.cluster.hosts.iter().enumerate() {
            let (version, revision) = (latest.version, host.revision());
            if revision < version && self.was_connected(index, cutoff) {
                let name = &host.name;
                self.cluster.record_violation(format!(
                    "{name} still has {revision} in force, not {version}"
                ));
            }
        }
    }

    /// Whether a host could reach the platform without interruption, directly or through one peer.
    fn was_connected(&self, index: usize, accepted: Instant) -> bool {
        let is_stable =
            |since: &Option<Instant>| since.is_some_and(|since| since + STABLE_TIME <= accepted);
        if is_stable(&self.connections.direct_since[index]) {
            return true;
        }
        let relay = |other: usize| {
            let pair = (index.min(other), index.max(other));
            is_stable(&self.connections.direct_since[other])
                && self.connections.links_since.get(&pair).is_some_and(is_stable)
        };
        let others = (0..self.cluster.hosts.len()).filter(|other| *other != index);
        is_stable(&self.connections.responsive_since[index]) && others.into_iter().any(relay)
    }

    /// Checks the complete record after all faults are cleared.
    fn finish(&mut self) {
        self.observe();
        let record = self.cluster.store.peek_history(ROOT_KEY);
        let mut previous = 0;
        let mut accepted = BTreeMap::new();
        for object in &record {
            if stored_settings(&object.value).is_some() {
                let document: Value =
                    serde_json::from_slice(&object.value).expect("the value was decoded above");
                if document["change"]["parent_revision"].as_u64() != Some(previous) {
                    let version = object.version;
                    self.cluster
                        .record_violation(format!("revision {version} does not follow {previous}"));
                }
                let commit = document["change"]["commit"].as_str().unwrap_or_default().to_owned();
                accepted.insert(commit, object.version);
            }
            previous = object.version;
        }
        for (commit, result) in self.cluster.outcomes.borrow().iter() {
            let found = accepted.get(commit);
            let is_consistent = match result {
                Ok(revision) => found == Some(revision),
                Err(PublishError::Unsettled { .. }) => true,
                Err(_) => found.is_none(),
            };
            if !is_consistent {
                self.cluster.record_violation(format!(
                    "{commit} ended with {result:?}, but the record has {found:?}"
                ));
            }
        }
        for host in &self.cluster.hosts {
            if host.revision() != previous {
                let revision = host.revision();
                self.cluster.record_violation(format!(
                    "{} ends with {revision}, not {previous}",
                    host.name
                ));
            }
        }
    }
}

/// Runs a script in a new simulated cluster and returns the violations that the checker found.
fn run_schedule<F>(
    seed: u64,
    defect: Defect,
    script: impl FnOnce(Rc<TestCluster>) -> F,
) -> Vec<String>
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime can be built");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let cluster = TestCluster::new(seed, defect);
        let hub = cluster.hub.clone();
        spawn_local(async move { hub.run(GOSSIP_PERIOD).await });
        let mut checker = Checker::new(cluster.clone());
        let scenario = async {
            cluster.clone().edit().await;
            (0..cluster.hosts.len()).for_each(|index| cluster.start(index));
            sleep(Duration::from_secs(5)).await;
            script(cluster.clone()).await;
            recover(&cluster).await;
        };
        let mut scenario = std::pin::pin!(scenario);
        loop {
            tokio::select! {
                () = &mut scenario => break,
                () = sleep(OBSERVE_PERIOD) => checker.observe(),
            }
        }
        checker.finish();
        cluster.violations.take()
    })
}

/// Clears all faults, commits one more edit and waits for its rollout.
async fn recover(cluster: &Rc<TestCluster>) {
    cluster.store.set_down(false);
    cluster.store.set_faults(StoreFaults::default());
    cluster.is_store_disturbed.set(false);
    for index in 0..cluster.hosts.len() {
        cluster.partition_platform(index, false);
        cluster.partition_peers(index, false);
        cluster.clear((Fault::Freeze, index));
        cluster.clear((Fault::Restart, index));
    }
    sleep(Duration::from_secs(4)).await;
    cluster.clone().edit().await;
    sleep(Duration::from_secs(5)).await;
}

async fn random_script(cluster: Rc<TestCluster>) {
    for _ in 0..cluster.pick(4..10) {
        let fault = *FAULTS.choose(&mut *cluster.rng.borrow_mut()).expect("the table has rows");
        if cluster.pick(0..2) == 0 {
            spawn_local(cluster.clone().edit());
        }
        sleep(Duration::from_millis(cluster.pick(0..1500))).await;
        if let Some(injected) = cluster.inject(fault).await {
            let fault_duration = Duration::from_millis(cluster.pick(100..7000));
            let cluster_to_clear = cluster.clone();
            spawn_local(async move {
                sleep(fault_duration).await;
                cluster_to_clear.clear(injected);
            });
        }
        if cluster.pick(0..2) == 0 {
            spawn_local(cluster.clone().edit());
        }
        sleep(Duration::from_millis(cluster.pick(0..3000))).await;
    }
    sleep(Duration::from_secs(7)).await;
}

/// Injects one fault at one step of an apply.
async fn matrix_script(cluster: Rc<TestCluster>, fault: Fault, step: Step) {
    let before = cluster.store.peek(ROOT_KEY).map_or(0, |object| object.version);
    let mut injected = None;
    if step == Step::BeforeCommit {
        injected = cluster.inject(fault).await;
        sleep(Duration::from_millis(cluster.pick(0..500))).await;
    }
    let edit = spawn_local(cluster.clone().edit());
    match step {
        Step::BeforeCommit => {}
        Step::DuringCommit => sleep(Duration::from_millis(cluster.pick(0..500))).await,
        Step::AfterCommit => wait_until(|| root_version(&cluster) > before).await,
        Step::MidRollout => wait_until(|| cluster.host_revision_range().1 > before).await,
        Step::InForce => wait_until(|| cluster.host_revision_range().0 > before).await,
    }
    if step != Step::BeforeCommit {
        injected = cluster.inject(fault).await;
    }
    sleep(Duration::from_millis(cluster.pick(500..10_000))).await;
    cluster.clone().edit().await;
    if let Some(injected) = injected {
        cluster.clear(injected);
    }
    let _ = edit.await;
    sleep(Duration::from_secs(5)).await;
}

fn root_version(cluster: &TestCluster) -> u64 {
    cluster.store.peek(ROOT_KEY).map_or(0, |object| object.version)
}

async fn wait_until(reached: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(6);
    while !reached() && Instant::now() < deadline {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Returns the number of schedules set in the environment, or the default for CI.
fn schedule_count() -> u64 {
    let requested = std::env::var("JACINTHROCK_SCHEDULES").ok().and_then(|text| text.parse().ok());
    requested.unwrap_or(CI_SCHEDULES)
}

/// Runs the seeds on several threads and returns those that failed.
fn failing_seeds(count: u64, run: impl Fn(u64) -> Vec<String> + Sync) -> Vec<(u64, Vec<String>)> {
    const THREADS: u64 = 4;
    let run = &run;
    std::thread::scope(|scope| {
        let worker = |first: u64| {
            let seeds = (first..count).step_by(THREADS as usize);
            let failing =
                seeds.map(|seed| (seed, run(seed))).filter(|(_, found)| !found.is_empty());
            failing.collect::<Vec<_>>()
        };
        let workers: Vec<_> =
            (0..THREADS).map(|first| scope.spawn(move || worker(first))).collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("no schedule panics")).collect()
    })
}

fn assert_no_violations(failing: &[(u64, Vec<String>)]) {
    let checks = ROLLOUT_CHECKS.load(Ordering::Relaxed);
    println!("{checks} checks that a revision was in force within 4 s");
    assert!(checks > 0, "no schedule left a host connected");
    let shown: Vec<_> = failing.iter().take(5).collect();
    assert!(failing.is_empty(), "{} failing seeds, first: {shown:#?}", failing.len());
}

#[test]
fn random_schedules_preserve_the_invariants() {
    let failing =
        failing_seeds(schedule_count(), |seed| run_schedule(seed, Defect::Absent, random_script));
    assert_no_violations(&failing);
}

#[test]
fn every_fault_at_every_step_preserves_the_invariants() {
    let combinations =
        FAULTS.iter().flat_map(|fault| STEPS.iter().map(move |step| (*fault, *step)));
    let combinations: Vec<_> = combinations.collect();
    let rounds = schedule_count().div_ceil(combinations.len() as u64);
    let failing = failing_seeds(rounds * combinations.len() as u64, |seed| {
        let (fault, step) = combinations[seed as usize % combinations.len()];
        let found =
            run_schedule(seed, Defect::Absent, |cluster| matrix_script(cluster, fault, step));
        found.into_iter().map(|violation| format!("{fault:?} {step:?}: {violation}")).collect()
    });
    assert_no_violations(&failing);
}

/// Runs up to 200 seeds of one combination until the checker detects the injected defect.
fn first_detecting_seed(
    defect: Defect,
    expected: &str,
    (fault, step): (Fault, Step),
) -> Option<u64> {
    let detecting_seed = (0..200).find(|seed| {
        let found = run_schedule(*seed, defect, |cluster| matrix_script(cluster, fault, step));
        found.iter().any(|violation| violation.contains(expected))
    });
    println!("{defect:?} detected by seed {detecting_seed:?} of {fault:?} {step:?}");
    detecting_seed
}

#[test]
fn accepting_a_lower_revision_is_detected() {
    assert!(
        first_detecting_seed(
            Defect::AcceptsLowerRevision,
            "went back",
            (Fault::RacingEdit, Step::MidRollout)
        )
        .is_some()
    );
}

#[test]
fn serving_an_older_revision_than_was_in_force_everywhere_is_detected() {
    let combination = (Fault::PlatformPartition, Step::InForce);
    let expected = "was in force everywhere";
    assert!(first_detecting_seed(Defect::AcceptsLowerRevision, expected, combination).is_some());
}

#[test]
fn ignoring_a_watch_gap_is_detected() {
    assert!(
        first_detecting_seed(
            Defect::IgnoresWatchGap,
            "still has",
            (Fault::WatchGap, Step::InForce)
        )
        .is_some()
    );
}

#[test]
fn overwriting_conflicts_is_detected() {
    assert!(
        first_detecting_seed(
            Defect::OverwritesConflicts,
            "does not follow",
            (Fault::RacingEdit, Step::DuringCommit)
        )
        .is_some()
    );
}
