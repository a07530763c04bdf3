//! Service that runs gossip, discovery and the peer protocol of a host.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout};

use crate::effective::EffectiveConfig;
use crate::gossip::{GossipAction, GossipCore, GossipOptions, LoadReport, PeerDigest};
use crate::ids::{ConfigRevision, HostName, Incarnation, ObjectVersion};
use crate::membership::{HostState, MemberRecord, PeerStatus};
use crate::metrics::{MetricName, MetricRegistry};
use crate::peer::{
    ConfigSnapshot, ConfigSource, PeerError, PeerNetwork, PeerResponder, PeerTransport,
};
use crate::peer_rpc::{RpcListener, RpcTransport};
use crate::platform::PlatformStore;
use crate::quota::QuotaLimits;
use crate::registration::{HOST_PREFIX, HostRegistration};

/// Interval between listings of the hosts registered on the platform.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(30);

/// Interval between listings while no other host is live.
const ISOLATED_DISCOVERY_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before the next listing after the platform failed.
const DISCOVERY_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Timeout of an exchange with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a configuration fetch from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Dependencies and options of a [`PeerService`].
pub struct PeerSetup {
    /// Record of this host; an empty address is replaced by that of the listening socket.
    pub own_record: MemberRecord,
    /// Timing and protections of the gossip protocol.
    pub options: GossipOptions,
    /// Seed that determines which peers this host contacts and when.
    pub seed: u64,
    /// Object store of the platform, through which hosts discover each other.
    pub store: Rc<dyn PlatformStore>,
    /// Metrics of this host.
    pub metrics: Arc<MetricRegistry>,
}

/// Membership, shares of customers' limits, endpoint loads and drain marks, kept in sync with the
/// other hosts.
///
/// Runs in a [`tokio::task::LocalSet`]; clones are handles to the same service.
#[derive(Clone)]
pub struct PeerService {
    state: Rc<PeerState>,
}

struct PeerState {
    core: RefCell<GossipCore>,
    transport: Rc<dyn PeerTransport>,
    store: Rc<dyn PlatformStore>,
    config_source: RefCell<Option<Rc<dyn ConfigSource>>>,
    metrics: Arc<MetricRegistry>,
    /// Wakes the round loop when its next round may be due earlier.
    schedule_changed: Notify,
    /// Number of detected pauses of this process.
    pauses: watch::Sender<u64>,
    seed: u64,
}

impl PeerService {
    /// Starts the service with capnp-rpc as its transport, listening on the address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(listen: SocketAddr, mut setup: PeerSetup) -> io::Result<Self> {
        let listener = RpcListener::bind(listen, setup.metrics.clone()).await?;
        if setup.own_record.address.is_empty() {
            setup.own_record.address = listener.local_addr()?.to_string().into();
        }
        let transport = Rc::new(RpcTransport::new(setup.metrics.clone()));
        let service = Self::with_transport(setup, transport);
        tokio::task::spawn_local(listener.serve(service.responder()));
        Ok(service)
    }

    /// Starts the service over another transport; the caller passes calls from peers to
    /// [`PeerService::responder`].
    pub fn with_transport(setup: PeerSetup, transport: Rc<dyn PeerTransport>) -> Self {
        let PeerSetup { own_record, options, seed, store, metrics } = setup;
        let state = Rc::new(PeerState {
            core: RefCell::new(GossipCore::new(Instant::now(), own_record, options, seed)),
            transport,
            store,
            config_source: RefCell::new(None),
            metrics,
            schedule_changed: Notify::new(),
            pauses: watch::Sender::new(0),
            seed,
        });
        tokio::task::spawn_local(state.clone().run_rounds());
        tokio::task::spawn_local(state.clone().run_discovery());
        Self { state }
    }

    /// Handler of calls from peers.
    pub fn responder(&self) -> Rc<dyn PeerResponder> {
        self.state.clone()
    }

    /// Sets the source of the configuration that is served to peers.
    pub fn set_config_source(&self, source: Rc<dyn ConfigSource>) {
        *self.state.config_source.borrow_mut() = Some(source);
    }

    /// Sets customers' limits from a configuration and removes customers that it does not contain.
    pub fn set_limits(&self, config: &EffectiveConfig) {
        let mut core = self.state.core.borrow_mut();
        let now = Instant::now();
        for customer in config.customers.values() {
            let limits = QuotaLimits {
                requests_per_second: customer.requests_per_second,
                concurrent_requests: customer.concurrent_requests,
            };
            core.allocator_mut().set_limits(now, &customer.name, limits);
        }
        let names: BTreeSet<_> = config.customers.keys().cloned().collect();
        core.allocator_mut().retain_customers(&names);
    }

    /// Counts one request against the customer's limits until [`PeerService::release`].
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry if a limit is exhausted.
    pub fn try_take(&self, customer: &str) -> Result<(), Duration> {
        let now = Instant::now();
        self.state.record_activity(now);
        self.state.core.borrow_mut().allocator_mut().try_take(now, customer)
    }

    /// Ends a request that [`PeerService::try_take`] admitted.
    pub fn release(&self, customer: &str) {
        self.state.core.borrow_mut().allocator_mut().release(customer);
    }

    /// Whether every host has had time to learn of this one; until then its shares of limits are
    /// small.
    pub fn is_warm(&self) -> bool {
        self.state.core.borrow_mut().allocator_mut().is_warm(Instant::now())
    }

    /// Whether this host polls the endpoint for itself and others.
    pub fn is_poller_of(&self, endpoint: &str) -> bool {
        self.state.core.borrow().is_poller_of(Instant::now(), endpoint)
    }

    /// Records the load of an endpoint that this host polled.
    pub fn record_load(&self, endpoint: &str, running: u32, waiting: u32, leaving: bool) {
        let mut core = self.state.core.borrow_mut();
        core.record_load(Instant::now(), endpoint, running, waiting, leaving);
    }

    /// Newest known load of an endpoint, polled by any host, with its age.
    pub fn load_of(&self, endpoint: &str) -> Option<LoadReport> {
        self.state.core.borrow().load_of(Instant::now(), endpoint)
    }

    /// Sets an endpoint's drain mark and sends it to peers; the highest version wins on every host.
    pub fn set_drain_mark(&self, endpoint: &str, version: ObjectVersion, draining: bool) {
        self.state.core.borrow_mut().set_drain_mark(endpoint, version, draining);
        self.state.schedule_changed.notify_one();
    }

    /// Whether the controller marked the endpoint as draining.
    pub fn is_draining(&self, endpoint: &str) -> bool {
        self.state.core.borrow().is_draining(endpoint)
    }

    /// Announces to peers that this host is draining.
    pub fn set_draining(&self) {
        self.state.core.borrow_mut().set_state(Instant::now(), HostState::Draining);
        self.state.schedule_changed.notify_one();
    }

    /// Announces to a few peers that this host has left, in its last exchanges.
    pub async fn leave(&self) {
        let actions = self.state.core.borrow_mut().leave(Instant::now());
        let exchanges = actions.into_iter().map(|action| self.state.clone().perform(action));
        futures::future::join_all(exchanges).await;
    }

    /// Watches the number of detected pauses of this process.
    pub fn pauses(&self) -> watch::Receiver<u64> {
        self.state.pauses.subscribe()
    }

    /// Whether a newer incarnation of this host is known to exist.
    pub fn is_superseded(&self) -> bool {
        self.state.core.borrow().table().is_superseded()
    }

    /// This host's own record.
    pub fn own_record(&self) -> MemberRecord {
        self.state.core.borrow().table().own_record().clone()
    }

    /// Status of every other known host.
    pub fn status(&self) -> Vec<PeerStatus> {
        self.state.core.borrow().status(Instant::now())
    }
}

impl PeerNetwork for PeerService {
    fn live_hosts(&self) -> Vec<HostName> {
        let now = Instant::now();
        self.state.record_activity(now);
        let core = self.state.core.borrow();
        core.table().live(now).map(|record| record.host.clone()).collect()
    }

    fn live_domain_hosts(&self, domain: &str) -> Vec<HostName> {
        let now = Instant::now();
        self.state.record_activity(now);
        let core = self.state.core.borrow();
        let hosts = core.table().live(now).filter(|record| &*record.domain == domain);
        hosts.map(|record| record.host.clone()).collect()
    }

    fn is_live(&self, host: &str, incarnation: Incarnation) -> bool {
        let now = Instant::now();
        self.state.record_activity(now);
        self.state.core.borrow().table().is_live(now, host, incarnation)
    }

    fn newest_revision(&self) -> Option<(HostName, ConfigRevision)> {
        self.state.core.borrow().table().newest_revision(Instant::now())
    }

    fn announce_revision(&self, revision: ConfigRevision) {
        self.state.core.borrow_mut().announce_revision(Instant::now(), revision);
        self.state.schedule_changed.notify_one();
    }

    fn fetch_config(&self, host: &str) -> LocalBoxFuture<'_, Result<ConfigSnapshot, PeerError>> {
        let host: HostName = host.into();
        async move {
            let record = self.state.core.borrow().table().record(&host).cloned();
            let unknown = || PeerError { host: host.clone(), reason: "host is unknown".into() };
            let record = record.ok_or_else(unknown)?;
            let fetch = self.state.transport.fetch_config(&host, &record.address);
            let timed_out = |_| PeerError { host: host.clone(), reason: "no reply in time".into() };
            timeout(FETCH_TIMEOUT, fetch).await.map_err(timed_out)?
        }
        .boxed_local()
    }
}

impl PeerResponder for PeerState {
    fn exchange(&self, digest: &PeerDigest) -> PeerDigest {
        self.record_activity(Instant::now());
        let reply = self.core.borrow_mut().handle_request(Instant::now(), digest);
        self.schedule_changed.notify_one();
        reply
    }

    fn config(&self) -> Option<ConfigSnapshot> {
        let source = self.config_source.borrow().clone()?;
        source.snapshot()
    }
}

impl PeerState {
    async fn run_rounds(self: Rc<Self>) {
        loop {
            let due = self.core.borrow().next_tick();
            let sleep = tokio::time::sleep_until(due).boxed_local();
            futures::future::select(sleep, self.schedule_changed.notified().boxed_local()).await;
            let now = Instant::now();
            self.record_activity(now);
            let actions = self.core.borrow_mut().tick(now);
            for action in actions {
                tokio::task::spawn_local(self.clone().perform(action));
            }
            let live = self.core.borrow().table().live(now).count();
            self.metrics.set(MetricName::LivePeers, &[], live as i64);
        }
    }

    async fn run_discovery(self: Rc<Self>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 1);
        loop {
            let listing = self.store.list(HOST_PREFIX).await;
            let wait = match listing {
                Ok(listing) => {
                    let objects = listing.objects.iter();
                    let records: Vec<_> =
                        objects.filter_map(|object| parse_registration(&object.value)).collect();
                    self.core.borrow_mut().set_listed_hosts(Instant::now(), &records);
                    self.schedule_changed.notify_one();
                    self.discovery_wait()
                }
                Err(_) => DISCOVERY_RETRY_DELAY,
            };
            tokio::time::sleep(wait.mul_f64(rng.random_range(0.75..1.25))).await;
        }
    }

    /// Interval until the next listing; short while no other host is live, since the others may be
    /// about to register.
    fn discovery_wait(&self) -> Duration {
        let core = self.core.borrow();
        let is_alone = core.table().live(Instant::now()).next().is_none();
        if is_alone { ISOLATED_DISCOVERY_INTERVAL } else { DISCOVERY_INTERVAL }
    }

    async fn perform(self: Rc<Self>, action: GossipAction) {
        let GossipAction::Exchange { host, address, digest } = action else {
            return;
        };
        let exchange = self.transport.exchange(&host, &address, *digest);
        let reply = timeout(EXCHANGE_TIMEOUT, exchange).await;
        let now = Instant::now();
        let label = match &reply {
            Ok(Ok(digest)) => {
                self.core.borrow_mut().handle_reply(now, &host, digest);
                "ok"
            }
            Ok(Err(_)) => "failed",
            Err(_) => "timeout",
        };
        if label != "ok" {
            self.core.borrow_mut().handle_failure(&host);
        }
        self.metrics.count(MetricName::PeerExchanges, &[label]);
        self.schedule_changed.notify_one();
    }

    /// Detects a pause of this process and publishes it to watchers.
    fn record_activity(&self, now: Instant) {
        if self.core.borrow_mut().record_activity(now).is_none() {
            return;
        }
        self.pauses.send_modify(|count| *count += 1);
        self.schedule_changed.notify_one();
    }
}

fn parse_registration(value: &[u8]) -> Option<MemberRecord> {
    let object: HostRegistration = serde_json::from_slice(value).ok()?;
    Some(MemberRecord {
        host: object.host,
        domain: object.domain,
        address: object.peer,
        incarnation: object.incarnation,
        heartbeat: 0,
        revision: 0,
        state: HostState::Serving,
    })
}
