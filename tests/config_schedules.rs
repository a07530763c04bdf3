//! Accepted configurations under faults: seeded schedules on the paused clock.
//!
//! The checker reads the store's own record and each host's configuration; it trusts no revision
//! that a follower or publisher reports without it.

#[path = "support/peer_hub.rs"]
mod peer_hub;

use jacinthrock::{
    AcceptedConfig, ChangeRecord, ConfigEdit, ConfigFollower, ConfigPublisher, ConflictPolicy,
    CounterRegistry, DeclarationTree, FollowerOptions, HostMember, PlatformStore, PublishError,
    PublishOptions, ROOT_KEY, RootDocument, TrackerGuard, TrackerOptions,
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
/// Time within which an accepted revision is in force on every connected host.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);
/// Time for which a host's connections must have been unchanged for the promise to be checked.
const SETTLED_FOR: Duration = Duration::from_millis(3500);
const CI_SCHEDULES: u64 = 55;

/// Hosts of which the checker asked whether a revision was in force in time.
static TIMELY_CHECKS: AtomicU64 = AtomicU64::new(0);

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

/// The one table of faults.
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
    MidSpread,
    InForce,
}

/// The one table of steps of an apply.
const STEPS: [Step; 5] =
    [Step::BeforeCommit, Step::DuringCommit, Step::AfterCommit, Step::MidSpread, Step::InForce];

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Planted {
    #[default]
    Nothing,
    TakesLowerRevision,
    IgnoresWatchGap,
    OverwritesBlindly,
}

/// Stops polling a future while frozen, as SIGSTOP stops a process.
struct Freezable {
    inner: Pin<Box<dyn Future<Output = ()>>>,
    freezer: Rc<Freezer>,
}

#[derive(Default)]
struct Freezer {
    frozen: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Freezer {
    fn set(&self, frozen: bool) {
        self.frozen.set(frozen);
        let waker = self.waker.borrow().clone();
        if let Some(waker) = waker.filter(|_| !frozen) {
            waker.wake();
        }
    }
}

impl Future for Freezable {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        *self.freezer.waker.borrow_mut() = Some(context.waker().clone());
        if self.freezer.frozen.get() {
            return Poll::Pending;
        }
        self.inner.as_mut().poll(context)
    }
}

struct HostSlot {
    name: String,
    domain: &'static str,
    store: FakeStore,
    cut: Cell<bool>,
    freezer: RefCell<Rc<Freezer>>,
    running: RefCell<Option<(Rc<ConfigFollower>, JoinHandle<()>)>>,
    incarnation: Cell<u64>,
}

impl HostSlot {
    fn is_responsive(&self) -> bool {
        self.running.borrow().is_some() && !self.freezer.borrow().frozen.get()
    }

    fn revision(&self) -> u64 {
        let running = self.running.borrow();
        running.as_ref().and_then(|(follower, _)| follower.current()).map_or(0, |it| it.revision)
    }
}

struct World {
    store: FakeStore,
    store_disturbed: Cell<bool>,
    hub: Rc<PeerHub>,
    hosts: Vec<HostSlot>,
    peer_cuts: RefCell<BTreeMap<(usize, usize), bool>>,
    planted: Planted,
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
        .expect("the tree reads")
}

/// Deadline and share in a stored root object, read without the library's own types.
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
    fn new(seed: u64, planted: Planted) -> Rc<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let store = FakeStore::new(seed);
        store.set_faults(base_faults());
        let count = rng.random_range(2..=6);
        let domains = rng.random_range(1..=DOMAINS.len());
        let slot = |index: usize| HostSlot {
            name: format!("host-{index}"),
            domain: DOMAINS[index % domains],
            store: store.handle(),
            cut: Cell::new(false),
            freezer: RefCell::default(),
            running: RefCell::default(),
            incarnation: Cell::new(0),
        };
        let world = Self {
            hosts: (0..count).map(slot).collect(),
            store,
            store_disturbed: Cell::new(false),
            hub: PeerHub::new(seed),
            peer_cuts: RefCell::default(),
            planted,
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
        let guard = |planted| {
            if self.planted == planted { TrackerGuard::Off } else { TrackerGuard::On }
        };
        let keeper = TrackerOptions {
            downgrade_guard: guard(Planted::TakesLowerRevision),
            resync_guard: guard(Planted::IgnoresWatchGap),
            ..TrackerOptions::default()
        };
        let options = FollowerOptions { keeper, ..FollowerOptions::default() };
        let member = HostMember { host: slot.name.as_str().into(), domain: slot.domain.into() };
        let peers = Rc::new(self.hub.join(&slot.name, slot.domain));
        let store = Rc::new(slot.store.clone());
        let counters = Arc::new(CounterRegistry::new());
        let follower = Rc::new(ConfigFollower::new(store, peers, member, options, counters));
        self.hub.attach_follower(&slot.name, &follower);
        self.hub.set_unresponsive(&slot.name, false);
        let freezer = Rc::new(Freezer::default());
        *slot.freezer.borrow_mut() = freezer.clone();
        let runner = follower.clone();
        let inner = Box::pin(async move { runner.run().await });
        let task = spawn_local(Freezable { inner, freezer });
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

    fn cut_peers(&self, index: usize, cut: bool) {
        for other in (0..self.hosts.len()).filter(|other| *other != index) {
            self.hub.set_cut(&self.hosts[index].name, &self.hosts[other].name, cut);
            let pair = (index.min(other), index.max(other));
            self.peer_cuts.borrow_mut().insert(pair, cut);
        }
    }

    fn cut_platform(&self, index: usize, cut: bool) {
        self.hosts[index].cut.set(cut);
        self.hosts[index].store.set_cut(cut);
    }

    fn disturb_store(&self, faults: StoreFaults) {
        self.store_disturbed.set(true);
        self.store.set_faults(faults);
    }

    /// Starts a fault; returns what lifts it.
    async fn begin(self: &Rc<Self>, fault: Fault) -> Option<(Fault, usize)> {
        let index = self.pick(0..self.hosts.len() as u64) as usize;
        match fault {
            Fault::StoreDown => {
                self.store_disturbed.set(true);
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
                self.hosts[index].freezer.borrow().set(true);
            }
            Fault::WatchGap => {
                self.miss_a_change().await;
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

    fn lift(&self, (fault, index): (Fault, usize)) {
        match fault {
            Fault::StoreDown | Fault::SlowStore | Fault::LostReplies => {
                self.store.set_down(false);
                self.store.set_faults(base_faults());
                self.store_disturbed.set(false);
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
                slot.freezer.borrow().set(false);
            }
            _ => {}
        }
    }

    /// Cuts every host off while a change is accepted and the history of changes is lost.
    async fn miss_a_change(self: &Rc<Self>) {
        let cut_before: Vec<bool> = self.hosts.iter().map(|slot| slot.cut.get()).collect();
        (0..self.hosts.len()).for_each(|index| self.cut_platform(index, true));
        let before = root_version(self);
        spawn_local(self.clone().edit());
        wait_until(|| root_version(self) > before).await;
        self.store.compact_changes();
        for (index, cut) in cut_before.into_iter().enumerate() {
            self.cut_platform(index, cut);
        }
    }

    async fn put_bad_revision(&self) {
        let garbage = self.pick(0..2) == 0;
        let faulty = "name = \"svc\"\nkind = \"group\"\nparent = \"nowhere\"";
        let tree = DeclarationTree::from_files([("bad", faulty)]).expect("its shape is right");
        let document = RootDocument::first(&tree, ChangeRecord::default());
        let value = if garbage { b"{}".as_slice().into() } else { document.encode() };
        for _ in 0..3 {
            let version = self.store.peek(ROOT_KEY).map_or(0, |object| object.version);
            if self.store.put(ROOT_KEY, version, value.clone()).await.is_ok() {
                return;
            }
        }
    }

    /// One operator's edit of one field, based on what the platform held when it was begun.
    async fn edit(self: Rc<Self>) {
        let race = match self.planted {
            Planted::OverwritesBlindly => ConflictPolicy::Overwrite,
            _ => ConflictPolicy::Refuse,
        };
        let options = PublishOptions { race, ..PublishOptions::default() };
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

    fn newest_on_hosts(&self) -> (u64, u64) {
        let revisions = self.hosts.iter().map(HostSlot::revision);
        (revisions.clone().min().unwrap_or(0), revisions.max().unwrap_or(0))
    }
}

struct SeenRevision {
    version: u64,
    at: Instant,
    settings: Option<(u64, u64)>,
    checked: bool,
}

/// Since when each connection has been whole; `None` while it is not.
struct Connections {
    direct: Vec<Option<Instant>>,
    responsive: Vec<Option<Instant>>,
    links: BTreeMap<(usize, usize), Option<Instant>>,
}

struct Checker {
    world: Rc<World>,
    seen: Vec<SeenRevision>,
    highest: Vec<(u64, u64)>,
    floor: u64,
    connections: Connections,
}

fn track(since: &mut Option<Instant>, whole: bool, now: Instant) {
    *since = whole.then(|| since.unwrap_or(now));
}

impl Checker {
    fn new(world: Rc<World>) -> Self {
        let count = world.hosts.len();
        let connections = Connections {
            direct: vec![None; count],
            responsive: vec![None; count],
            links: BTreeMap::new(),
        };
        Self { seen: Vec::new(), highest: vec![(0, 0); count], floor: 0, connections, world }
    }

    fn observe(&mut self) {
        let now = Instant::now();
        self.learn_record(now);
        self.track_connections(now);
        for index in 0..self.world.hosts.len() {
            self.check_host(index);
        }
        let (lowest, _) = self.world.newest_on_hosts();
        self.floor = self.floor.max(lowest);
        self.check_spread(now);
        self.check_caught_up(now);
    }

    fn learn_record(&mut self, now: Instant) {
        let latest = self.world.store.peek(ROOT_KEY).map_or(0, |object| object.version);
        if self.seen.last().map_or(0, |seen| seen.version) == latest {
            return;
        }
        let record = self.world.store.peek_history(ROOT_KEY);
        for object in &record[self.seen.len()..] {
            let settings = stored_settings(&object.value);
            let version = object.version;
            self.seen.push(SeenRevision { version, at: now, settings, checked: false });
        }
    }

    fn track_connections(&mut self, now: Instant) {
        let world = &self.world;
        for (index, slot) in world.hosts.iter().enumerate() {
            let responsive = slot.is_responsive();
            let direct = responsive && !slot.cut.get() && !world.store_disturbed.get();
            track(&mut self.connections.responsive[index], responsive, now);
            track(&mut self.connections.direct[index], direct, now);
            for other in 0..index {
                let cut = world.peer_cuts.borrow().get(&(other, index)).copied().unwrap_or(false);
                let link = self.connections.links.entry((other, index)).or_default();
                track(link, !cut, now);
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
        match self.seen.iter().find(|seen| seen.version == revision) {
            None => fail(format!("{name} has {revision} in force, which was never accepted")),
            Some(SeenRevision { settings: None, .. }) => {
                fail(format!("{name} has the bad revision {revision} in force"));
            }
            Some(SeenRevision { settings: Some((deadline, share)), .. }) => {
                let found = (
                    config.services["svc"].deadline.as_millis() as u64,
                    u64::from(config.customers["cust"].share),
                );
                if found != (*deadline, *share) {
                    fail(format!("{name} has other settings in force than revision {revision}"));
                }
            }
        }
        let (incarnation, highest) = self.highest[index];
        if incarnation == slot.incarnation.get() && revision < highest {
            fail(format!("{name} went back from {highest} to {revision}"));
        }
        if revision < self.floor {
            let floor = self.floor;
            fail(format!("{name} serves {revision} after {floor} was in force everywhere"));
        }
        self.highest[index] = (slot.incarnation.get(), revision);
    }

    fn check_spread(&mut self, now: Instant) {
        for position in 0..self.seen.len() {
            let seen = &self.seen[position];
            if seen.checked || now < seen.at + IN_FORCE_WITHIN + 2 * OBSERVE_PERIOD {
                continue;
            }
            let next = self.seen.get(position + 1);
            let hidden = next
                .is_some_and(|next| next.settings.is_none() && next.at < seen.at + IN_FORCE_WITHIN);
            let (version, at, valid) = (seen.version, seen.at, seen.settings.is_some());
            self.seen[position].checked = true;
            if valid && !hidden {
                self.check_in_force(version, at);
            }
        }
    }

    fn check_in_force(&self, version: u64, accepted: Instant) {
        for (index, slot) in self.world.hosts.iter().enumerate() {
            if !self.was_connected(index, accepted) {
                continue;
            }
            TIMELY_CHECKS.fetch_add(1, Ordering::Relaxed);
            let revision = slot.revision();
            if revision < version {
                let name = &slot.name;
                self.world.fail(format!("{name} has {revision} in force 4 s after {version}"));
            }
        }
    }

    /// A host that has been connected for long enough has every revision accepted before that.
    fn check_caught_up(&self, now: Instant) {
        let Some(settled) = now.checked_sub(IN_FORCE_WITHIN + 2 * OBSERVE_PERIOD) else { return };
        let Some(latest) = self.seen.last().filter(|seen| seen.settings.is_some()) else { return };
        if latest.at > settled {
            return;
        }
        for (index, slot) in self.world.hosts.iter().enumerate() {
            let (version, revision) = (latest.version, slot.revision());
            if revision < version && self.was_connected(index, settled) {
                let name = &slot.name;
                self.world
                    .fail(format!("{name} has {revision} in force, not {version}, long after"));
            }
        }
    }

    /// Whether a host reached the platform, itself or over one peer, all the time.
    fn was_connected(&self, index: usize, accepted: Instant) -> bool {
        let settled =
            |since: &Option<Instant>| since.is_some_and(|since| since + SETTLED_FOR <= accepted);
        if settled(&self.connections.direct[index]) {
            return true;
        }
        let relay = |other: usize| {
            let pair = (index.min(other), index.max(other));
            settled(&self.connections.direct[other])
                && self.connections.links.get(&pair).is_some_and(settled)
        };
        let others = (0..self.world.hosts.len()).filter(|other| *other != index);
        settled(&self.connections.responsive[index]) && others.into_iter().any(relay)
    }

    /// Checks the record as a whole, after every fault is lifted.
    fn finish(&mut self) {
        self.observe();
        let record = self.world.store.peek_history(ROOT_KEY);
        let mut previous = 0;
        let mut accepted = BTreeMap::new();
        for object in &record {
            if stored_settings(&object.value).is_some() {
                let document: Value = serde_json::from_slice(&object.value).expect("it was read");
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
            let honest = match result {
                Ok(revision) => found == Some(revision),
                Err(PublishError::Unsettled { .. }) => true,
                Err(_) => found.is_none(),
            };
            if !honest {
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

/// Runs a script against a fresh world and returns what the checker found.
fn run_schedule<F>(seed: u64, planted: Planted, script: impl FnOnce(Rc<World>) -> F) -> Vec<String>
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O builds");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let world = World::new(seed, planted);
        let hub = world.hub.clone();
        spawn_local(async move { hub.run(GOSSIP_PERIOD).await });
        let mut checker = Checker::new(world.clone());
        let observed = async {
            world.clone().edit().await;
            (0..world.hosts.len()).for_each(|index| world.start(index));
            sleep(Duration::from_secs(5)).await;
            script(world.clone()).await;
            heal(&world).await;
        };
        let mut observed = std::pin::pin!(observed);
        loop {
            tokio::select! {
                () = &mut observed => break,
                () = sleep(OBSERVE_PERIOD) => checker.observe(),
            }
        }
        checker.finish();
        world.failures.take()
    })
}

/// Lifts every fault, makes one more edit and lets it spread.
async fn heal(world: &Rc<World>) {
    world.store.set_down(false);
    world.store.set_faults(StoreFaults::default());
    world.store_disturbed.set(false);
    for index in 0..world.hosts.len() {
        world.cut_platform(index, false);
        world.cut_peers(index, false);
        world.lift((Fault::Freeze, index));
        world.lift((Fault::Restart, index));
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
        if let Some(begun) = world.begin(fault).await {
            let hold = Duration::from_millis(world.pick(100..7000));
            let lifter = world.clone();
            spawn_local(async move {
                sleep(hold).await;
                lifter.lift(begun);
            });
        }
        if world.pick(0..2) == 0 {
            spawn_local(world.clone().edit());
        }
        sleep(Duration::from_millis(world.pick(0..3000))).await;
    }
    sleep(Duration::from_secs(7)).await;
}

/// One fault at one step of an apply.
async fn cell_script(world: Rc<World>, fault: Fault, step: Step) {
    let before = world.store.peek(ROOT_KEY).map_or(0, |object| object.version);
    let mut begun = None;
    if step == Step::BeforeCommit {
        begun = world.begin(fault).await;
        sleep(Duration::from_millis(world.pick(0..500))).await;
    }
    let edit = spawn_local(world.clone().edit());
    match step {
        Step::BeforeCommit => {}
        Step::DuringCommit => sleep(Duration::from_millis(world.pick(0..500))).await,
        Step::AfterCommit => wait_until(|| root_version(&world) > before).await,
        Step::MidSpread => wait_until(|| world.newest_on_hosts().1 > before).await,
        Step::InForce => wait_until(|| world.newest_on_hosts().0 > before).await,
    }
    if step != Step::BeforeCommit {
        begun = world.begin(fault).await;
    }
    sleep(Duration::from_millis(world.pick(500..10_000))).await;
    world.clone().edit().await;
    if let Some(begun) = begun {
        world.lift(begun);
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

/// Schedules to run: the CI share, or what the environment asks for.
fn schedule_count() -> u64 {
    let asked = std::env::var("JACINTHROCK_SCHEDULES").ok().and_then(|text| text.parse().ok());
    asked.unwrap_or(CI_SCHEDULES)
}

/// Runs seeds on a few threads and returns the failing ones.
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

fn assert_none(failing: &[(u64, Vec<String>)]) {
    let checks = TIMELY_CHECKS.load(Ordering::Relaxed);
    println!("{checks} checks that a revision was in force within 4 s");
    assert!(checks > 0, "no schedule left a host connected");
    let shown: Vec<_> = failing.iter().take(5).collect();
    assert!(failing.is_empty(), "{} failing seeds, first: {shown:#?}", failing.len());
}

#[test]
fn random_schedules_keep_the_promise() {
    let failing =
        failing_seeds(schedule_count(), |seed| run_schedule(seed, Planted::Nothing, random_script));
    assert_none(&failing);
}

#[test]
fn every_cell_of_the_matrix_keeps_the_promise() {
    let cells = FAULTS.iter().flat_map(|fault| STEPS.iter().map(move |step| (*fault, *step)));
    let cells: Vec<_> = cells.collect();
    let rounds = schedule_count().div_ceil(cells.len() as u64);
    let failing = failing_seeds(rounds * cells.len() as u64, |seed| {
        let (fault, step) = cells[seed as usize % cells.len()];
        let found = run_schedule(seed, Planted::Nothing, |world| cell_script(world, fault, step));
        found.into_iter().map(|failure| format!("{fault:?} {step:?}: {failure}")).collect()
    });
    assert_none(&failing);
}

/// Runs seeds of one cell until the checker finds the planted fault.
fn first_catch(planted: Planted, expected: &str, (fault, step): (Fault, Step)) -> Option<u64> {
    let caught = (0..200).find(|seed| {
        let found = run_schedule(*seed, planted, |world| cell_script(world, fault, step));
        found.iter().any(|failure| failure.contains(expected))
    });
    println!("{planted:?} caught by seed {caught:?} of {fault:?} {step:?}");
    caught
}

#[test]
fn taking_a_lower_revision_is_caught() {
    assert!(
        first_catch(Planted::TakesLowerRevision, "went back", (Fault::RacingEdit, Step::MidSpread))
            .is_some()
    );
}

#[test]
fn serving_less_than_was_in_force_everywhere_is_caught() {
    let cell = (Fault::CutFromPlatform, Step::InForce);
    let expected = "was in force everywhere";
    assert!(first_catch(Planted::TakesLowerRevision, expected, cell).is_some());
}

#[test]
fn ignoring_a_watch_gap_is_caught() {
    assert!(
        first_catch(Planted::IgnoresWatchGap, "long after", (Fault::WatchGap, Step::InForce))
            .is_some()
    );
}

#[test]
fn overwriting_blindly_is_caught() {
    assert!(
        first_catch(
            Planted::OverwritesBlindly,
            "does not follow",
            (Fault::RacingEdit, Step::DuringCommit)
        )
        .is_some()
    );
}
