//! Follower of the accepted configuration: drives a [`RevisionTracker`] with the answers of the
//! platform and of peers.

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

use crate::effective::EffectiveConfig;
use crate::ids::{ConfigRevision, DomainName, HostName, ObjectVersion};
use crate::metrics::{MetricName, MetricRegistry};
use crate::peer::{ConfigSnapshot, PeerError, PeerNetwork};
use crate::platform::{PlatformStore, StoreError};
use crate::revision::ROOT_KEY;
use crate::tracker::{
    DomainPosition, RejectedRevision, RevisionTracker, TrackerAction, TrackerEvent, TrackerOptions,
    TrackerState,
};

/// A host and its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostMember {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
}

/// Options of a [`ConfigFollower`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowerOptions {
    /// Interval at which the revisions announced by peers are read.
    pub tick_interval: Duration,
    /// Maximum time that one watch waits for a change.
    pub watch_wait: Duration,
    /// Timeout of a call. For a watch, `watch_wait` is added.
    pub call_timeout: Duration,
    /// Options of the revision tracker.
    pub tracker: TrackerOptions,
}

impl Default for FollowerOptions {
    fn default() -> Self {
        Self {
            tick_interval: Duration::from_millis(100),
            watch_wait: Duration::from_secs(2),
            call_timeout: Duration::from_millis(800),
            tracker: TrackerOptions::default(),
        }
    }
}

/// Configuration status of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// Revision in force; 0 until the host may serve requests.
    pub revision: ConfigRevision,
    /// Whether the platform has confirmed the revision recently.
    pub state: TrackerState,
    /// Newer revision that failed validation on this host.
    pub rejected: Option<RejectedRevision>,
}

/// Brings each accepted configuration into force on one host.
///
/// ```
/// use jacinthrock::{ConfigFollower, FollowerOptions, HostMember, MetricRegistry};
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
/// # let metrics = Arc::new(MetricRegistry::new());
/// # let options = HttpStoreOptions::default();
/// # let store = Rc::new(HttpStore::new("http://127.0.0.1:7000", options, metrics.clone()));
/// # let peers = Rc::new(NoPeers);
/// let member = HostMember { host: "router-1".into(), domain: "fi-north".into() };
/// let follower =
///     ConfigFollower::new(store, peers, member, FollowerOptions::default(), metrics);
/// // The host serves no requests until `follower.run()` has obtained a configuration.
/// assert!(follower.current().is_none());
/// # }
/// ```
pub struct ConfigFollower {
    store: Rc<dyn PlatformStore>,
    peers: Rc<dyn PeerNetwork>,
    member: HostMember,
    options: FollowerOptions,
    metrics: Arc<MetricRegistry>,
    tracker: RefCell<RevisionTracker>,
    revisions: watch::Sender<ConfigRevision>,
}

type CallFuture<'a> = LocalBoxFuture<'a, TrackerEvent>;

impl ConfigFollower {
    /// Creates a follower without a configuration. [`ConfigFollower::run`] obtains one.
    pub fn new(
        store: Rc<dyn PlatformStore>,
        peers: Rc<dyn PeerNetwork>,
        member: HostMember,
        options: FollowerOptions,
        metrics: Arc<MetricRegistry>,
    ) -> Self {
        let tracker = RevisionTracker::new(options.tracker.clone(), Instant::now());
        let revisions = watch::Sender::new(0);
        Self { store, peers, member, options, metrics, tracker: RefCell::new(tracker), revisions }
    }

    /// Returns the configuration in force; `None` until the host may serve requests.
    pub fn current(&self) -> Option<Rc<EffectiveConfig>> {
        self.tracker.borrow().current()
    }

    /// Returns the configuration in force in its stored form, for peers.
    pub fn snapshot(&self) -> Option<ConfigSnapshot> {
        self.tracker.borrow().snapshot()
    }

    /// Subscribes to the revisions that come into force.
    pub fn subscribe(&self) -> watch::Receiver<ConfigRevision> {
        self.revisions.subscribe()
    }

    /// Returns the configuration status of the host.
    pub fn status(&self) -> FollowerStatus {
        let tracker = self.tracker.borrow();
        FollowerStatus {
            revision: tracker.revision(),
            state: tracker.state(Instant::now()),
            rejected: tracker.rejected().cloned(),
        }
    }

    /// Follows the accepted configuration until the future is dropped.
    pub async fn run(&self) {
        let mut ticks = tokio::time::interval(self.options.tick_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut calls: FuturesUnordered<CallFuture<'_>> = FuturesUnordered::new();
        loop {
            let event = tokio::select! {
                Some(event) = calls.next() => event,
                _ = ticks.tick() => self.tick_event(),
            };
            self.handle_event(event, &calls);
            let event = self.tick_event();
            self.handle_event(event, &calls);
        }
    }

    fn tick_event(&self) -> TrackerEvent {
        TrackerEvent::Ticked {
            position: self.own_position(),
            newest: self.peers.newest_revision(),
            live: self.peers.live_hosts(),
        }
    }

    fn own_position(&self) -> DomainPosition {
        let domain_hosts = self.peers.live_domain_hosts(&self.member.domain);
        domain_position(&self.member.host, &domain_hosts)
    }

    fn handle_event<'a>(&'a self, event: TrackerEvent, calls: &FuturesUnordered<CallFuture<'a>>) {
        let now = Instant::now();
        let actions = self.tracker.borrow_mut().handle(now, event);
        for action in actions {
            match action {
                TrackerAction::ListRoot => calls.push(self.list_root().boxed_local()),
                TrackerAction::WatchRoot { after } => {
                    calls.push(self.watch_root(after).boxed_local());
                }
                TrackerAction::FetchFrom(host) => calls.push(self.fetch_peer(host).boxed_local()),
                TrackerAction::Announce(revision) => self.announce(revision),
                TrackerAction::CountAdopted(source) => {
                    self.metrics.count(MetricName::ConfigChanges, &[source.name()]);
                }
                TrackerAction::CountRejected(code) => {
                    self.metrics.count(MetricName::ConfigRejected, &[code.name()]);
                }
            }
        }
        let is_unconfirmed = self.tracker.borrow().state(now) == TrackerState::Unconfirmed;
        self.metrics.set(MetricName::ConfigUnconfirmed, &[], i64::from(is_unconfirmed));
    }

    fn announce(&self, revision: ConfigRevision) {
        self.metrics.set(MetricName::ConfigRevision, &[], revision as i64);
        self.peers.announce_revision(revision);
        self.revisions.send_replace(revision);
    }

    async fn list_root(&self) -> TrackerEvent {
        let call = self.store.list(ROOT_KEY);
        let result = tokio::time::timeout(self.options.call_timeout, call).await;
        TrackerEvent::Listed(result.unwrap_or_else(|_| Err(store_timeout())))
    }

    async fn watch_root(&self, after: ObjectVersion) -> TrackerEvent {
        let call = self.store.watch(ROOT_KEY, after, self.options.watch_wait);
        let limit = self.options.watch_wait + self.options.call_timeout;
        let result = tokio::time::timeout(limit, call).await;
        TrackerEvent::Watched(result.unwrap_or_else(|_| Err(store_timeout())))
    }

    async fn fetch_peer(&self, host: HostName) -> TrackerEvent {
        let call = self.peers.fetch_config(&host);
        let result = tokio::time::timeout(self.options.call_timeout, call).await;
        let timeout_error = PeerError { host: host.clone(), reason: "timed out".into() };
        TrackerEvent::Fetched(result.unwrap_or(Err(timeout_error)))
    }
}

fn store_timeout() -> StoreError {
    StoreError::Unavailable("timed out".into())
}

/// Returns the position of a host among the live hosts of its failure domain.
///
/// Every host sorts by the same key, so hosts with the same view of the members choose the same
/// watchers. Hosts with different views choose more watchers, never fewer.
pub fn domain_position(host: &str, peers: &[HostName]) -> DomainPosition {
    let own_key = host_sort_key(host);
    let others = peers.iter().filter(|peer| &***peer != host);
    let lower_count = others.clone().filter(|peer| host_sort_key(peer) < own_key).count();
    DomainPosition { rank: lower_count, members: others.count() + 1 }
}

fn host_sort_key(host: &str) -> (Box<[u8]>, &str) {
    (Sha256::digest(host.as_bytes()).as_slice().into(), host)
}
