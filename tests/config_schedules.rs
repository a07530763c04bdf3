//! Accepted configurations under faults: seeded schedules on a paused clock.
//!
//! The checker compares the configuration of each host and each reported result with the store's
//! own record of writes.

#[path = "support/peer_hub.rs"]
mod peer_hub;

use jacinthrock::{
    AcceptedConfig, ChangeRecord, ConfigEdit, ConfigFollower, ConfigPublisher, ConflictPolicy,
    DeclarationTree, FollowerOptions, HostMember, MetricRegistry, PlatformStore, PublishError,
    PublishOptions, ROOT_KEY, RootDocument, GuardSwitch, TrackerOptions,
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
    CutFromPlatform,
    CutFromPeers,
    CutFromBoth,
    Restart,
    Freeze,
    WatchGap,
    RacingEdit,
    BadRevision,
}

/// All faults. The matrix test and the random schedules use this table.
const FAULTS: [Fault; 11] = [
    Fault::StoreDown,
    Fault::SlowStore,
    Fault::LostReplies,
    Fault::CutFromPlatform,
    Fault::CutFromPeers,
    Fault::CutFromBoth,
    Fault::Restart,
    Fault::Freeze,
    Fault::WatchGap,
    Fault::RacingEdit,
    Fault::BadRevision,
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

struct HostSlot {
    name: String,
    domain: &'static str,
    store: FakeStore,
    is_cut: Cell<bool>,
    freeze_switch: RefCell<Rc<FreezeSwitch>>,
    running: RefCell<Option<(Rc<ConfigFollower>, JoinHandle<()>)>>,
    incarnation: Cell<u64>,
}

impl HostSlot {
    fn is_responsive(&self) -> bool {
        self.running.borrow().is_some() && !self.freeze_switch.borrow().is_frozen.get()
    }

    fn revision(&self) -> u64 {
        let running = self.running.borrow();
        running.as_ref().and_then(|(follower, _)| follower.current()).map_or(0, |it| it.revision)
    }
}

struct World {
    store: FakeStore,
    is_store_disturbed: Cell<bool>,
    hub: Rc<PeerHub>,
    hosts: Vec<HostSlot>,
    peer_cuts: RefCell<BTreeMap<(usize, usize), bool>>,
    defect: Defect,
    rng: RefCell<ChaCha8Rng>,
    commits: Cell<u64>,
    outcomes: RefCell<Vec<(String, Result<u64, PublishError>)>>,
    failures: RefCell<Vec<String>>,
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

impl World {
    fn new(seed: u64, defect: Defect) -> Rc<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let store = FakeStore::new(seed);
        store.set_faults(base_faults());
        let count = rng.random_range(2..=6);
        let domains = rng.random_range(1..=DOMAINS.len());
        let slot = |index: usize| HostSlot {
            name: format!("host-{index}"),
            domain: DOMAINS[index % domains],
            store: store.handle(),
            is_cut: Cell::new(false),
            freeze_switch: RefCell::default(),
            running: RefCell::default(),
            incarnation: Cell::new(0),
        };
        let world = Self {
            hosts: (0..count).map(slot).collect(),
            store,
            is_store_disturbed: Cell::new(false),
            hub: PeerHub::new(seed),
            peer_cuts: RefCell::default(),
            defect,
            rng: RefCell::new(rng),
            commits: Cell::new(0),
            outcomes: RefCell::default(),
            failures: RefCell::default(),
        };
        Rc::new(world)
    }

    fn pick(&self, range: std::ops::Range<u64>) -> u64 {
        self.rng.borrow_mut().random_range(range)
    }

    fn fail(&self, failure: String) {
        self.failures.borrow_mut().push(failure);
    }

    fn start(&self, index: usize) {
        let slot = &self.hosts[index];
        let guard = |defect| {
            if self.defect == defect { GuardSwitch::Off } else { GuardSwitch::On }
        };
        let tracker = TrackerOptions {
            downgrade_guard: guard(Defect::AcceptsLowerRevision),
            resync_guard: guard(Defect::IgnoresWatchGap),
            ..TrackerOptions::default()
        };
        let options = FollowerOptions { tracker, ..FollowerOptions::default() };
        let member = HostMember { host: slot.name.as_str().into(), domain: slot.domain.into() };
        let peers = Rc::new(self.hub.join(&slot.name, slot.domain));
        let store = Rc::new(slot.store.clone());
        let metrics = Arc::new(MetricRegistry::new());
        let follower = Rc::new(ConfigFollower::new(store, peers, member, options, metrics));
        self.hub.attach_follower(&slot.name, &follower);
        self.hub.set_unresponsive(&slot.name, false);
        let freeze_switch = Rc::new(FreezeSwitch::default());
        *slot.freeze_switch.borrow_mut() = freeze_switch.clone();
        let runner = follower.clone();
        let inner = Box::pin(async move { runner.run().await });
        let task = spawn_local(FreezableTask { inner, freeze_switch });
        slot.incarnation.set(slot.incarnation.get() + 1);
        *slot.running.borrow_mut() = Some((follower, task));
    }

    fn stop(&self, index: usize) {
        let slot = &self.hosts[index];
        self.hub.set_unresponsive(&slot.name, true);
        if let Some((_, task)) = slot.running.borrow_mut().take() {
            task.abort();
        }
    }

    fn cut_peers(&self, index: usize, is_cut: bool) {
        for other in (0..self.hosts.len()).filter(|other| *other != index) {
            self.hub.set_cut(&self.hosts[index].name, &self.hosts[other].name, is_cut);
            let pair = (index.min(other), index.max(other));
            self.peer_cuts.borrow_mut().insert(pair, is_cut);
        }
    }

    fn cut_platform(&self, index: usize, is_cut: bool) {
        self.hosts[index].is_cut.set(is_cut);
        self.hosts[index].store.set_cut(is_cut);
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
            Fault::CutFromPlatform => self.cut_platform(index, true),
            Fault::CutFromPeers => self.cut_peers(index, true),
            Fault::CutFromBoth => {
                self.cut_platform(index, true);
                self.cut_peers(index, true);
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
            Fault::BadRevision => {
                self.put_bad_revision().await;
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
            Fault::CutFromPlatform => self.cut_platform(index, false),
            Fault::CutFromPeers => self.cut_peers(index, false),
            Fault::CutFromBoth => {
                self.cut_platform(index, false);
                self.cut_peers(index, false);
            }
            Fault::Restart if self.hosts[index].running.borrow().is_none() => self.start(index),
            Fault::Freeze => {
                let slot = &self.hosts[index];
                self.hub.set_unresponsive(&slot.name, slot.running.borrow().is_none());
                slot.freeze_switch.borrow().set(false);
            }
            _ => {}
        }
    }

    /// Disconnects every host from the platform until a change has been accepted and the platform
    /// has dropped its history of changes.
    async fn cause_watch_gap(self: &Rc<Self>) {
        let were_cut: Vec<bool> = self.hosts.iter().map(|slot| slot.is_cut.get()).collect();
        (0..self.hosts.len()).for_each(|index| self.cut_platform(index, true));
        let before = root_version(self);
        spawn_local(self.clone().edit());
        wait_until(|| root_version(self) > before).await;
        self.store.compact_changes();
        for (index, is_cut) in were_cut.into_iter().enumerate() {
            self.cut_platform(index, is_cut);
        }
    }

    async fn put_bad_revision(&self) {
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
        let revisions = self.hosts.iter().map(HostSlot::revision);
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
    world: Rc<World>,
    revisions: Vec<ObservedRevision>,
    highest_revisions: Vec<(u64, u64)>,
    min_revision: u64,
    connections: Connections,
}

fn update_since(since: &mut Option<Instant>, is_up: bool, now: Instant) {
    *since = is_up.then(|| since.unwrap_or(now));
}

impl Checker {
    fn new(world: Rc<World>) -> Self {
        let count = world.hosts.len();
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
            world,
        }
    }

    fn observe(&mut self) {
        let now = Instant::now();
        self.read_new_revisions(now);
        self.track_connections(now);
        for index in 0..self.world.hosts.len() {
            self.check_host(index);
        }
        let (lowest, _) = self.world.host_revision_range();
        self.min_revision = self.min_revision.max(lowest);
        self.check_rollouts(now);
        self.check_caught_up(now);
    }

    fn read_new_revisions(&mut self, now: Instant) {
        let latest = self.world.store.peek(ROOT_KEY).map_or(0, |object| object.version);
        if self.revisions.last().map_or(0, |observed| observed.version) == latest {
            return;
        }
        let record = self.world.store.peek_history(ROOT_KEY);
        for object in &record[self.revisions.len()..] {
            let settings = stored_settings(&object.value);
            let version = object.version;
            self.revisions.push(ObservedRevision { version, at: now, settings, is_checked: false });
        }
    }

    fn track_connections(&mut self, now: Instant) {
        let world = &self.world;
        for (index, slot) in world.hosts.iter().enumerate() {
            let is_responsive = slot.is_responsive();
            let is_direct = is_responsive && !slot.is_cut.get() && !world.is_store_disturbed.get();
            update_since(&mut self.connections.responsive_since[index], is_responsive, now);
            update_since(&mut self.connections.direct_since[index], is_direct, now);
            for other in 0..index {
                let is_cut =
                    world.peer_cuts.borrow().get(&(other, index)).copied().unwrap_or(false);
                let link = self.connections.links_since.entry((other, index)).or_default();
                update_since(link, !is_cut, now);
            }
        }
    }

    fn check_host(&mut self, index: usize) {
        let slot = &self.world.hosts[index];
        let running = slot.running.borrow();
        let Some(config) = running.as_ref().and_then(|(follower, _)| follower.current()) else {
            return;
        };
        let revision = config.revision;
        let name = &slot.name;
        let fail = |failure: String| self.world.fail(failure);
        match self.revisions.iter().find(|observed| observed.version == revision) {
            None => fail(format!("{name} has {revision} in force, which was never accepted")),
            Some(ObservedRevision { settings: None, .. }) => {
                fail(format!("{name} has the bad revision {revision} in force"));
            }
            Some(ObservedRevision { settings: Some((deadline, share)), .. }) => {
                let found = (
                    config.services["svc"].deadline.as_millis() as u64,
                    u64::from(config.customers["cust"].share),
                );
                if found != (*deadline, *share) {
                    fail(format!("{name} has other settings in force than revision {revision}"));
                }
            }
        }
        let (incarnation, highest_revision) = self.highest_revisions[index];
        if incarnation == slot.incarnation.get() && revision < highest_revision {
            fail(format!("{name} went back from {highest_revision} to {revision}"));
        }
        if revision < self.min_revision {
            let min_revision = self.min_revision;
            fail(format!("{name} serves {revision} after {min_revision} was in force everywhere"));
        }
        self.highest_revisions[index] = (slot.incarnation.get(), revision);
    }

    fn check_rollouts(&mut self, now: Instant) {
        for position in 0..self.revisions.len() {
            let observed = &self.revisions[position];
            if observed.is_checked || now < observed.at + MAX_ROLLOUT + 2 * OBSERVE_PERIOD {
                continue;
            }
            let next = self.revisions.get(position + 1);
            let is_hidden = next
                .is_some_and(|next| next.settings.is_none() && next.at < observed.at + MAX_ROLLOUT);
            let (version, at, is_valid) =
                (observed.version, observed.at, observed.settings.is_some());
            self.revisions[position].is_checked = true;
            if is_valid && !is_hidden {
                self.check_in_force(version, at);
            }
        }
    }

    fn check_in_force(&self, version: u64, accepted: Instant) {
        for (index, slot) in self.world.hosts.iter().enumerate() {
            if !self.was_connected(index, accepted) {
                continue;
            }
            ROLLOUT_CHECKS.fetch_add(1, Ordering::Relaxed);
            let revision = slot.revision();
            if revision < version {
                let name = &slot.name;
                self.world.fail(format!("{name} has {revision} in force 4 s after {version}"));
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
        for (index, slot) in self.world.hosts.iter().enumerate() {
            let (version, revision) = (latest.version, slot.revision());
            if revision < version && self.was_connected(index, cutoff) {
                let name = &slot.name;
                self.world
                    .fail(format!("{name} has {revision} in force, not {version}, long after"));
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
        let others = (0..self.world.hosts.len()).filter(|other| *other != index);
        is_stable(&self.connections.responsive_since[index]) && others.into_iter().any(relay)
    }

    /// Checks the complete record after all faults are cleared.
    fn finish(&mut self) {
        self.observe();
        let record = self.world.store.peek_history(ROOT_KEY);
        let mut previous = 0;
        let mut accepted = BTreeMap::new();
        for object in &record {
            if stored_settings(&object.value).is_some() {
                let document: Value =
                    serde_json::from_slice(&object.value).expect("the value was decoded above");
                if document["change"]["parent_revision"].as_u64() != Some(previous) {
                    let version = object.version;
                    self.world.fail(format!("revision {version} does not follow {previous}"));
                }
                let commit = document["change"]["commit"].as_str().unwrap_or_default().to_owned();
                accepted.insert(commit, object.version);
            }
            previous = object.version;
        }
        for (commit, result) in self.world.outcomes.borrow().iter() {
            let found = accepted.get(commit);
            let is_consistent = match result {
                Ok(revision) => found == Some(revision),
                Err(PublishError::Unsettled { .. }) => true,
                Err(_) => found.is_none(),
            };
            if !is_consistent {
                self.world
                    .fail(format!("{commit} ended with {result:?}, but the record has {found:?}"));
            }
        }
        for slot in &self.world.hosts {
            if slot.revision() != previous {
                let revision = slot.revision();
                self.world.fail(format!("{} ends with {revision}, not {previous}", slot.name));
            }
        }
    }
}

/// Runs a script in a new simulated world and returns the failures found by the checker.
fn run_schedule<F>(seed: u64, defect: Defect, script: impl FnOnce(Rc<World>) -> F) -> Vec<String>
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
        let world = World::new(seed, defect);
        let hub = world.hub.clone();
        spawn_local(async move { hub.run(GOSSIP_PERIOD).await });
        let mut checker = Checker::new(world.clone());
        let scenario = async {
            world.clone().edit().await;
            (0..world.hosts.len()).for_each(|index| world.start(index));
            sleep(Duration::from_secs(5)).await;
            script(world.clone()).await;
            recover(&world).await;
        };
        let mut scenario = std::pin::pin!(scenario);
        loop {
            tokio::select! {
                () = &mut scenario => break,
                () = sleep(OBSERVE_PERIOD) => checker.observe(),
            }
        }
        checker.finish();
        world.failures.take()
    })
}

/// Clears all faults, commits one more edit and waits for its rollout.
async fn recover(world: &Rc<World>) {
    world.store.set_down(false);
    world.store.set_faults(StoreFaults::default());
    world.is_store_disturbed.set(false);
    for index in 0..world.hosts.len() {
        world.cut_platform(index, false);
        world.cut_peers(index, false);
        world.clear((Fault::Freeze, index));
        world.clear((Fault::Restart, index));
    }
    sleep(Duration::from_secs(4)).await;
    world.clone().edit().await;
    sleep(Duration::from_secs(5)).await;
}

async fn random_script(world: Rc<World>) {
    for _ in 0..world.pick(4..10) {
        let fault = *FAULTS.choose(&mut *world.rng.borrow_mut()).expect("the table has rows");
        if world.pick(0..2) == 0 {
            spawn_local(world.clone().edit());
        }
        sleep(Duration::from_millis(world.pick(0..1500))).await;
        if let Some(injected) = world.inject(fault).await {
            let fault_time = Duration::from_millis(world.pick(100..7000));
            let world_to_clear = world.clone();
            spawn_local(async move {
                sleep(fault_time).await;
                world_to_clear.clear(injected);
            });
        }
        if world.pick(0..2) == 0 {
            spawn_local(world.clone().edit());
        }
        sleep(Duration::from_millis(world.pick(0..3000))).await;
    }
    sleep(Duration::from_secs(7)).await;
}

/// Injects one fault at one step of an apply.
async fn matrix_script(world: Rc<World>, fault: Fault, step: Step) {
    let before = world.store.peek(ROOT_KEY).map_or(0, |object| object.version);
    let mut injected = None;
    if step == Step::BeforeCommit {
        injected = world.inject(fault).await;
        sleep(Duration::from_millis(world.pick(0..500))).await;
    }
    let edit = spawn_local(world.clone().edit());
    match step {
        Step::BeforeCommit => {}
        Step::DuringCommit => sleep(Duration::from_millis(world.pick(0..500))).await,
        Step::AfterCommit => wait_until(|| root_version(&world) > before).await,
        Step::MidRollout => wait_until(|| world.host_revision_range().1 > before).await,
        Step::InForce => wait_until(|| world.host_revision_range().0 > before).await,
    }
    if step != Step::BeforeCommit {
        injected = world.inject(fault).await;
    }
    sleep(Duration::from_millis(world.pick(500..10_000))).await;
    world.clone().edit().await;
    if let Some(injected) = injected {
        world.clear(injected);
    }
    let _ = edit.await;
    sleep(Duration::from_secs(5)).await;
}

fn root_version(world: &World) -> u64 {
    world.store.peek(ROOT_KEY).map_or(0, |object| object.version)
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

fn assert_no_failures(failing: &[(u64, Vec<String>)]) {
    let checks = ROLLOUT_CHECKS.load(Ordering::Relaxed);
    println!("{checks} checks that a revision was in force within 4 s");
    assert!(checks > 0, "no schedule left a host connected");
    let shown: Vec<_> = failing.iter().take(5).collect();
    assert!(failing.is_empty(), "{} failing seeds, first: {shown:#?}", failing.len());
}

#[test]
fn random_schedules_keep_the_guarantees() {
    let failing =
        failing_seeds(schedule_count(), |seed| run_schedule(seed, Defect::Absent, random_script));
    assert_no_failures(&failing);
}

#[test]
fn every_fault_at_every_step_keeps_the_guarantees() {
    let combinations =
        FAULTS.iter().flat_map(|fault| STEPS.iter().map(move |step| (*fault, *step)));
    let combinations: Vec<_> = combinations.collect();
    let rounds = schedule_count().div_ceil(combinations.len() as u64);
    let failing = failing_seeds(rounds * combinations.len() as u64, |seed| {
        let (fault, step) = combinations[seed as usize % combinations.len()];
        let found = run_schedule(seed, Defect::Absent, |world| matrix_script(world, fault, step));
        found.into_iter().map(|failure| format!("{fault:?} {step:?}: {failure}")).collect()
    });
    assert_no_failures(&failing);
}

/// Runs up to 200 seeds of one combination until the checker detects the injected defect.
fn first_detecting_seed(
    defect: Defect,
    expected: &str,
    (fault, step): (Fault, Step),
) -> Option<u64> {
    let detecting_seed = (0..200).find(|seed| {
        let found = run_schedule(*seed, defect, |world| matrix_script(world, fault, step));
        found.iter().any(|failure| failure.contains(expected))
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
fn serving_less_than_was_in_force_everywhere_is_detected() {
    let combination = (Fault::CutFromPlatform, Step::InForce);
    let expected = "was in force everywhere";
    assert!(first_detecting_seed(Defect::AcceptsLowerRevision, expected, combination).is_some());
}

#[test]
fn ignoring_a_watch_gap_is_detected() {
    assert!(
        first_detecting_seed(
            Defect::IgnoresWatchGap,
            "long after",
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
