//! Follows the accepted configuration: runs a [`RevisionTracker`] against platform and peers.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior};

use crate::counters::{CounterRegistry, MetricName};
use crate::effective::EffectiveConfig;
use crate::ids::{ConfigRevision, DomainName, HostName, ObjectVersion};
use crate::keeper::{
    DomainPlace, RejectedRevision, RevisionTracker, TrackerAction, TrackerEvent, TrackerOptions,
    TrackerState,
};
use crate::peer::{ConfigSnapshot, PeerError, PeerNetwork};
use crate::platform::{PlatformStore, StoreError};
use crate::revision::ROOT_KEY;

/// A host and the failure domain that it is in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostMember {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain.
    pub domain: DomainName,
}

/// Times of a [`ConfigFollower`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowerOptions {
    /// Time between two looks at what peers announce.
    pub tick: Duration,
    /// Longest wait of one watch.
    pub watch_wait: Duration,
    /// Time for a call; a watch has its wait added.
    pub call_timeout: Duration,
    /// Times and protections of the decisions.
    pub keeper: TrackerOptions,
}

impl Default for FollowerOptions {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(100),
            watch_wait: Duration::from_secs(2),
            call_timeout: Duration::from_millis(800),
            keeper: TrackerOptions::default(),
        }
    }
}

/// What a host reports about its configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// Revision in force, 0 while the host may serve nothing.
    pub revision: ConfigRevision,
    /// How far it can be relied on.
    pub state: TrackerState,
    /// A newer revision that failed its checks here.
    pub rejected: Option<RejectedRevision>,
}

/// Keeps the accepted configuration in force on one host.
///
/// ```
/// use jacinthrock::{ConfigFollower, CounterRegistry, FollowerOptions, HostMember};
/// # use jacinthrock::{ConfigRevision, ConfigSnapshot, HostName, PeerError, PeerNetwork};
/// # use jacinthrock::{HttpStore, HttpStoreOptions};
/// # use futures::future::LocalBoxFuture;
/// # use std::{rc::Rc, sync::Arc};
/// # struct NoPeers;
/// # impl PeerNetwork for NoPeers {
/// #     fn live_hosts(&self) -> Vec<HostName> { Vec::new() }
/// #     fn is_live(&self, _: &str, _: u64) -> bool { false }
/// #     fn newest_revision(&self) -> Option<(HostName, ConfigRevision)> { None }
/// #     fn announce_revision(&self, _: ConfigRevision) {}
/// #     fn fetch_config(&self, _: &str) -> LocalBoxFuture<'_, Result<ConfigSnapshot, PeerError>> {
/// #         unimplemented!()
/// #     }
/// # }
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// # let counters = Arc::new(CounterRegistry::new());
/// # let options = HttpStoreOptions::default();
/// # let store = Rc::new(HttpStore::new("http://127.0.0.1:7000", options, counters.clone()));
/// # let peers = Rc::new(NoPeers);
/// let member = HostMember { host: "router-1".into(), domain: "fi-north".into() };
/// let follower =
///     ConfigFollower::new(store, peers, member, FollowerOptions::default(), counters);
/// // The host serves nothing until `follower.run()` has found a current configuration.
/// assert!(follower.current().is_none());
/// # }
/// ```
pub struct ConfigFollower {
    store: Rc<dyn PlatformStore>,
    peers: Rc<dyn PeerNetwork>,
    member: HostMember,
    options: FollowerOptions,
    counters: Arc<CounterRegistry>,
    keeper: RefCell<RevisionTracker>,
    changed: watch::Sender<ConfigRevision>,
}

type CallFuture<'a> = LocalBoxFuture<'a, TrackerEvent>;

impl ConfigFollower {
    /// A follower that holds nothing yet; [`ConfigFollower::run`] does the work.
    pub fn new(
        store: Rc<dyn PlatformStore>,
        peers: Rc<dyn PeerNetwork>,
        member: HostMember,
        options: FollowerOptions,
        counters: Arc<CounterRegistry>,
    ) -> Self {
        let keeper = RevisionTracker::new(options.keeper.clone(), Instant::now());
        let changed = watch::Sender::new(0);
        Self { store, peers, member, options, counters, keeper: RefCell::new(keeper), changed }
    }

    /// The configuration in force; `None` while the host may serve nothing.
    pub fn current(&self) -> Option<Rc<EffectiveConfig>> {
        self.keeper.borrow().current()
    }

    /// The configuration in force as the platform holds it, for peers.
    pub fn snapshot(&self) -> Option<ConfigSnapshot> {
        self.keeper.borrow().snapshot()
    }

    /// Tells each revision as it comes into force.
    pub fn changed(&self) -> watch::Receiver<ConfigRevision> {
        self.changed.subscribe()
    }

    /// What the host reports about its configuration.
    pub fn status(&self) -> FollowerStatus {
        let keeper = self.keeper.borrow();
        FollowerStatus {
            revision: keeper.revision(),
            state: keeper.state(Instant::now()),
            rejected: keeper.rejected().cloned(),
        }
    }

    /// Follows the configuration until dropped.
    pub async fn run(&self) {
        let mut ticks = tokio::time::interval(self.options.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut calls: FuturesUnordered<CallFuture<'_>> = FuturesUnordered::new();
        loop {
            let event = tokio::select! {
                Some(event) = calls.next() => event,
                _ = ticks.tick() => self.look_around(),
            };
            self.apply(event, &calls);
            let event = self.look_around();
            self.apply(event, &calls);
        }
    }

    fn look_around(&self) -> TrackerEvent {
        TrackerEvent::Ticked {
            place: self.place(),
            newest: self.peers.newest_revision(),
            live: self.peers.live_hosts(),
        }
    }

    fn place(&self) -> DomainPlace {
        let peers = self.peers.live_domain_hosts(&self.member.domain);
        domain_place(&self.member.host, &peers)
    }

    fn apply<'a>(&'a self, event: TrackerEvent, calls: &FuturesUnordered<CallFuture<'a>>) {
        let now = Instant::now();
        let actions = self.keeper.borrow_mut().handle(now, event);
        for action in actions {
            match action {
                TrackerAction::ListRoot => calls.push(self.list_root().boxed_local()),
                TrackerAction::WatchRoot { after } => {
                    calls.push(self.watch_root(after).boxed_local());
                }
                TrackerAction::FetchFrom(host) => calls.push(self.fetch(host).boxed_local()),
                TrackerAction::Announce(revision) => self.announce(revision),
                TrackerAction::CountAdopted(source) => {
                    self.counters.count(MetricName::ConfigChanges, &[source.name()]);
                }
                TrackerAction::CountRejected(code) => {
                    self.counters.count(MetricName::ConfigRejected, &[code.name()]);
                }
            }
        }
        let unconfirmed = self.keeper.borrow().state(now) == TrackerState::Unconfirmed;
        self.counters.set(MetricName::ConfigUnconfirmed, &[], i64::from(unconfirmed));
    }

    fn announce(&self, revision: ConfigRevision) {
        self.counters.set(MetricName::ConfigRevision, &[], revision as i64);
        self.peers.announce_revision(revision);
        self.changed.send_replace(revision);
    }

    async fn list_root(&self) -> TrackerEvent {
        let call = self.store.list(ROOT_KEY);
        let result = tokio::time::timeout(self.options.call_timeout, call).await;
        TrackerEvent::Listed(result.unwrap_or_else(|_| Err(timed_out())))
    }

    async fn watch_root(&self, after: ObjectVersion) -> TrackerEvent {
        let call = self.store.watch(ROOT_KEY, after, self.options.watch_wait);
        let limit = self.options.watch_wait + self.options.call_timeout;
        let result = tokio::time::timeout(limit, call).await;
        TrackerEvent::Watched(result.unwrap_or_else(|_| Err(timed_out())))
    }

    async fn fetch(&self, host: HostName) -> TrackerEvent {
        let call = self.peers.fetch_config(&host);
        let result = tokio::time::timeout(self.options.call_timeout, call).await;
        let late = PeerError { host: host.clone(), reason: "timed out".into() };
        TrackerEvent::Fetched(result.unwrap_or(Err(late)))
    }
}

fn timed_out() -> StoreError {
    StoreError::Unavailable("timed out".into())
}

/// The place of a host among the live hosts of its failure domain.
///
/// Every host computes the same order, so that hosts which see the same members choose the same
/// watchers; hosts which see different ones choose more watchers, never fewer.
pub fn domain_place(host: &str, peers: &[HostName]) -> DomainPlace {
    let own = host_order(host);
    let others = peers.iter().filter(|peer| &***peer != host);
    let ahead = others.clone().filter(|peer| host_order(peer) < own).count();
    DomainPlace { rank: ahead, members: others.count() + 1 }
}

fn host_order(host: &str) -> (Box<[u8]>, &str) {
    (Sha256::digest(host.as_bytes()).as_slice().into(), host)
}
