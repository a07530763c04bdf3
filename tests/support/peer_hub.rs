//! Fake peer network: unpartitioned pairs of hosts exchange membership and revisions.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use jacinthrock::{
    ConfigFollower, ConfigRevision, ConfigSnapshot, DomainName, HostName, Incarnation, PeerError,
    PeerNetwork,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a host counts as live after its newest known heartbeat.
const LIVE_FOR: Duration = Duration::from_secs(3);
/// Longest one-way delay of a message.
const LONGEST_DELAY: Duration = Duration::from_millis(20);

/// What one host knows about another.
#[derive(Clone)]
struct PeerEntry {
    domain: DomainName,
    heartbeat: u64,
    heartbeat_at: Instant,
    revision: ConfigRevision,
}

/// State of the network; `views` maps each host to its view of all hosts.
struct HubState {
    views: BTreeMap<HostName, BTreeMap<HostName, PeerEntry>>,
    followers: BTreeMap<HostName, Weak<ConfigFollower>>,
    partitioned_pairs: BTreeSet<(HostName, HostName)>,
    unresponsive: BTreeSet<HostName>,
    heartbeat: u64,
    rng: ChaCha8Rng,
}

/// Network between all hosts of a test.
pub(crate) struct PeerHub {
    state: RefCell<HubState>,
}

/// [`PeerNetwork`] of one host.
pub(crate) struct HubPeerNetwork {
    hub: Rc<PeerHub>,
    host: HostName,
}

impl PeerHub {
    pub(crate) fn new(seed: u64) -> Rc<Self> {
        let state = HubState {
            views: BTreeMap::new(),
            followers: BTreeMap::new(),
            partitioned_pairs: BTreeSet::new(),
            unresponsive: BTreeSet::new(),
            heartbeat: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Rc::new(Self { state: RefCell::new(state) })
    }

    /// Starts or restarts a host that knows only itself.
    pub(crate) fn join(self: &Rc<Self>, host: &str, domain: &str) -> HubPeerNetwork {
        let mut state = self.state.borrow_mut();
        state.heartbeat += 1;
        let heartbeat_at = Instant::now();
        let entry = PeerEntry {
            domain: domain.into(),
            heartbeat: state.heartbeat,
            heartbeat_at,
            revision: 0,
        };
        state.views.insert(host.into(), BTreeMap::from([(host.into(), entry)]));
        HubPeerNetwork { hub: self.clone(), host: host.into() }
    }

    /// Sets the follower that serves fetches of the host's configuration.
    pub(crate) fn attach_follower(&self, host: &str, follower: &Rc<ConfigFollower>) {
        let mut state = self.state.borrow_mut();
        state.followers.insert(host.into(), Rc::downgrade(follower));
    }

    /// Partitions or restores the link between two hosts.
    pub(crate) fn set_partitioned(&self, left: &str, right: &str, is_partitioned: bool) {
        let pair = ordered_pair(left, right);
        let mut state = self.state.borrow_mut();
        if is_partitioned {
            state.partitioned_pairs.insert(pair)
        } else {
            state.partitioned_pairs.remove(&pair)
        };
    }

    /// Sets whether a host is unresponsive, as when it is down or frozen.
    pub(crate) fn set_unresponsive(&self, host: &str, is_unresponsive: bool) {
        let mut state = self.state.borrow_mut();
        if is_unresponsive {
            state.unresponsive.insert(host.into())
        } else {
            state.unresponsive.remove(host)
        };
    }

    /// Lets each host exchange with a random host once per `period`, until the future is dropped.
    pub(crate) async fn run(&self, period: Duration) {
        loop {
            tokio::time::sleep(period).await;
            self.run_round();
        }
    }

    fn run_round(&self) {
        let mut state = self.state.borrow_mut();
        let hosts: Vec<HostName> = state.views.keys().cloned().collect();
        for host in &hosts {
            state.heartbeat += 1;
            let heartbeat = state.heartbeat;
            let own = state.views.get_mut(host).and_then(|known| known.get_mut(host));
            let own = own.expect("a host knows itself");
            (own.heartbeat, own.heartbeat_at) = (heartbeat, Instant::now());
        }
        for host in &hosts {
            let partner = hosts[state.rng.random_range(0..hosts.len())].clone();
            if partner != *host && state.reaches(host, &partner) {
                state.exchange(host, &partner);
            }
        }
    }
}

impl HubState {
    fn reaches(&self, left: &str, right: &str) -> bool {
        !self.partitioned_pairs.contains(&ordered_pair(left, right))
            && !self.unresponsive.contains(left)
            && !self.unresponsive.contains(right)
    }

    fn exchange(&mut self, left: &HostName, right: &HostName) {
        let mut merged = self.views[left].clone();
        for (host, entry) in &self.views[right] {
            if merged.get(host).is_none_or(|known| known.heartbeat < entry.heartbeat) {
                merged.insert(host.clone(), entry.clone());
            }
        }
        self.views.insert(left.clone(), merged.clone());
        self.views.insert(right.clone(), merged);
    }
}

impl HubPeerNetwork {
    fn live_entries<T>(&self, pick: impl Fn(&HostName, &PeerEntry) -> T) -> Vec<T> {
        let state = self.hub.state.borrow();
        let now = Instant::now();
        let live = state.views[&self.host]
            .iter()
            .filter(|(host, entry)| **host != self.host && now - entry.heartbeat_at <= LIVE_FOR);
        live.map(|(host, entry)| pick(host, entry)).collect()
    }
}

impl PeerNetwork for HubPeerNetwork {
    fn live_hosts(&self) -> Vec<HostName> {
        self.live_entries(|host, _| host.clone())
    }

    fn live_domain_hosts(&self, domain: &str) -> Vec<HostName> {
        let entries = self.live_entries(|host, entry| (host.clone(), entry.domain.clone()));
        entries.into_iter().filter(|entry| &*entry.1 == domain).map(|entry| entry.0).collect()
    }

    fn is_live(&self, host: &str, _incarnation: Incarnation) -> bool {
        self.live_hosts().iter().any(|live| &**live == host)
    }

    fn newest_revision(&self) -> Option<(HostName, ConfigRevision)> {
        let entries = self.live_entries(|host, entry| (host.clone(), entry.revision));
        entries.into_iter().filter(|entry| entry.1 > 0).max_by_key(|entry| entry.1)
    }

    fn announce_revision(&self, revision: ConfigRevision) {
        let mut state = self.hub.state.borrow_mut();
        let known = state.views.get_mut(&self.host).expect("the host has joined");
        known.get_mut(&self.host).expect("a host knows itself").revision = revision;
    }

    fn fetch_config(&self, host: &str) -> LocalBoxFuture<'_, Result<ConfigSnapshot, PeerError>> {
        let host: HostName = host.into();
        async move {
            let failed = |reason: &str| PeerError { host: host.clone(), reason: reason.into() };
            tokio::time::sleep(self.hub.delay()).await;
            if !self.hub.state.borrow().reaches(&self.host, &host) {
                return Err(failed("unreachable"));
            }
            let follower = self.hub.state.borrow().followers.get(&host).and_then(Weak::upgrade);
            let snapshot = follower.and_then(|follower| follower.snapshot());
            tokio::time::sleep(self.hub.delay()).await;
            if !self.hub.state.borrow().reaches(&self.host, &host) {
                return Err(failed("reply lost"));
            }
            snapshot.ok_or_else(|| failed("has no configuration"))
        }
        .boxed_local()
    }
}

impl PeerHub {
    fn delay(&self) -> Duration {
        self.state.borrow_mut().rng.random_range(Duration::ZERO..=LONGEST_DELAY)
    }
}

fn ordered_pair(left: &str, right: &str) -> (HostName, HostName) {
    if left < right { (left.into(), right.into()) } else { (right.into(), left.into()) }
}
