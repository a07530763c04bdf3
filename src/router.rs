//! The router daemon: starts its components, keeps their configuration and capacities up to date,
//! and shuts down gracefully.

use std::cell::Cell;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::admission::{AdmissionService, GateOptions};
use crate::callers::CallerServer;
use crate::capacity::CapacityView;
use crate::chain::PlannerOptions;
use crate::clock::unix_now;
use crate::codes::ResultCode;
use crate::config::RouterSettings;
use crate::driver::{AnswerDriver, DriverOptions};
use crate::effective::{EffectiveConfig, EffectiveService, ServiceTarget};
use crate::endpoint::EndpointClient;
use crate::engine_http::HttpEndpointClient;
use crate::fleet::{EndpointFleet, FleetOptions};
use crate::follower::{ConfigFollower, FollowerOptions, FollowerStatus, HostMember};
use crate::gateway::{GatewayDependencies, RequestGateway};
use crate::gossip::GossipOptions;
use crate::ids::Incarnation;
use crate::leaving::LeavingReader;
use crate::ledger::{ClaimHolder, LedgerOptions, LedgerService};
use crate::membership::{HostState, MemberRecord};
use crate::metrics::MetricRegistry;
use crate::operator::{self, HostStatus, OperatorState};
use crate::peer::{ConfigSnapshot, ConfigSource, PeerNetwork};
use crate::peer_service::{PeerService, PeerSetup};
use crate::permit::{PermitIssuer, QuotaLimiter};
use crate::plain::{PlainDriver, PlainOptions};
use crate::platform::PlatformStore;
use crate::probe;
use crate::registration::HostRegistration;
use crate::retries::RetryBudgets;
use crate::signals;
use crate::store_http::{HttpStore, HttpStoreOptions};

/// Interval between updates of capacities, readiness and status.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a status call to an engine.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of each of the last exchanges with peers and the platform during a shutdown.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time after the start for which the host is not ready because the other hosts may not yet
/// count it when customers' limits are divided. In a large fleet, hosts take longer to learn of a
/// new one, but there its small initial allocations matter less.
const QUOTA_WARMUP_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of refresh ticks between prunings of the retry budgets.
const RETRY_PRUNE_TICKS: u64 = 300;

/// Error that prevents a daemon from starting.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// An address could not be bound.
    #[error("[{}] address {address} of the {port} port: {reason}", ResultCode::BindFailed.number())]
    Bind {
        /// Whose port it is, such as `callers'`.
        port: &'static str,
        /// Address of the port.
        address: Box<str>,
        /// Cause of the failure.
        reason: Box<str>,
    },
}

/// Components and state of a running router.
struct RunningRouter {
    settings: RouterSettings,
    incarnation: Incarnation,
    store: Rc<dyn PlatformStore>,
    peers: PeerService,
    follower: Rc<ConfigFollower>,
    fleet: EndpointFleet,
    admission: AdmissionService,
    ledger: LedgerService,
    retries: RetryBudgets,
    gateway: Rc<RequestGateway>,
    operator_state: Arc<OperatorState>,
    metrics: Rc<MetricRegistry>,
    is_draining: Cell<bool>,
    started_at: Instant,
}

impl QuotaLimiter for PeerService {
    fn try_take(&self, customer: &str) -> Result<(), Duration> {
        PeerService::try_take(self, customer)
    }

    fn release(&self, customer: &str) {
        PeerService::release(self, customer);
    }
}

impl ConfigSource for ConfigFollower {
    fn snapshot(&self) -> Option<ConfigSnapshot> {
        ConfigFollower::snapshot(self)
    }
}

/// Runs a router until a shutdown is requested and its requests have finished or the drain timeout
/// has expired.
pub(crate) async fn run(settings: RouterSettings) -> Result<(), StartError> {
    let listener = TcpListener::bind(settings.listen)
        .await
        .map_err(|error| bind_error("callers'", settings.listen, &error))?;
    let router = Rc::new(RunningRouter::start(settings).await?);
    log::info!(host = &*router.settings.name, incarnation = router.incarnation; "router started");
    let (stop, stopped) = watch::channel(false);
    let server = Rc::new(CallerServer::new(
        router.settings.limits.clone(),
        router.gateway.clone(),
        router.metrics.clone(),
    ));
    let registration = Rc::new(router.registration());
    let background = router.clone().spawn_background(registration.clone());
    let accept_server = server.clone();
    let accept = tokio::task::spawn_local(async move {
        accept_server.run(listener, stopped).await;
    });
    signals::wait_for_shutdown(&router.operator_state).await;
    router.drain(&server, &stop).await;
    accept.abort();
    background.abort();
    router.leave(&registration).await;
    log::info!(host = &*router.settings.name; "router stopped");
    Ok(())
}

impl RunningRouter {
    async fn start(settings: RouterSettings) -> Result<Self, StartError> {
        let registry = MetricRegistry::new();
        let metrics = Rc::new(registry.clone());
        let shared_metrics = Arc::new(registry.clone());
        let operator_state = Arc::new(OperatorState::default());
        operator::serve(settings.operator_listen, operator_state.clone(), registry)
            .map_err(|reason| bind_error("operators'", settings.operator_listen, &reason))?;
        let incarnation = new_incarnation();
        let seed = incarnation;
        let options = HttpStoreOptions::default();
        let store: Rc<dyn PlatformStore> =
            Rc::new(HttpStore::new(settings.platform.clone(), options, shared_metrics.clone()));
        let setup = PeerSetup {
            own_record: own_record(&settings, incarnation),
            options: GossipOptions::default(),
            seed,
            store: store.clone(),
            metrics: shared_metrics.clone(),
        };
        let peers = PeerService::start(settings.peer_listen, setup)
            .await
            .map_err(|error| bind_error("peers'", settings.peer_listen, &error))?;
        let member = HostMember { host: settings.name.clone(), domain: settings.domain.clone() };
        let follower = Rc::new(ConfigFollower::new(
            store.clone(),
            Rc::new(peers.clone()),
            member,
            FollowerOptions::default(),
            shared_metrics.clone(),
        ));
        peers.set_config_source(follower.clone());
        let client: Rc<dyn EndpointClient> = Rc::new(HttpEndpointClient::new());
        let planner = PlannerOptions { seed, ..PlannerOptions::default() };
        let fleet_options = FleetOptions { planner, ..FleetOptions::default() };
        let fleet = EndpointFleet::new(fleet_options, metrics.clone());
        tokio::task::spawn_local(probe::poll_engines(
            fleet.clone(),
            client.clone(),
            STATUS_TIMEOUT,
        ));
        let admission = AdmissionService::start(GateOptions::default(), seed, shared_metrics);
        let liveness = peers.clone();
        let ledger = LedgerService::new(
            store.clone(),
            ClaimHolder { host: settings.name.clone(), incarnation },
            Rc::new(move |host, incarnation| liveness.is_live(host, incarnation)),
            LedgerOptions { jitter_seed: seed, ..LedgerOptions::default() },
            metrics.clone(),
        );
        let retries = RetryBudgets::default();
        let config_follower = follower.clone();
        let gateway = Rc::new(RequestGateway::new(GatewayDependencies {
            config: Rc::new(move || config_follower.current()),
            admission: admission.clone(),
            permit_issuer: PermitIssuer::new(Rc::new(peers.clone())),
            retries: retries.clone(),
            answers: AnswerDriver::new(
                fleet.clone(),
                client.clone(),
                metrics.clone(),
                DriverOptions::default(),
            ),
            plain: PlainDriver::new(
                client,
                ledger.clone(),
                metrics.clone(),
                PlainOptions::default(),
            ),
            fleet: fleet.clone(),
            metrics: metrics.clone(),
            limits: settings.limits.clone(),
        }));
        Ok(Self {
            settings,
            incarnation,
            store,
            peers,
            follower,
            fleet,
            admission,
            ledger,
            retries,
            gateway,
            operator_state,
            metrics,
            is_draining: Cell::new(false),
            started_at: Instant::now(),
        })
    }

    fn spawn_background(
        self: Rc<Self>,
        registration: Rc<HostRegistration>,
    ) -> tokio::task::JoinHandle<()> {
        tokio::task::spawn_local(async move {
            tokio::join!(
                self.follower.run(),
                self.apply_revisions(),
                self.refresh_periodically(),
                self.watch_leaving_endpoints(),
                registration.maintain(self.store.clone()),
            );
        })
    }

    async fn apply_revisions(&self) {
        let mut changed = self.follower.subscribe();
        loop {
            if let Some(config) = self.follower.current() {
                self.fleet.apply_config(&config);
                self.peers.set_limits(&config);
                self.set_capacities(&config);
                log::info!(revision = config.revision; "configuration applied");
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Whether the other hosts count this one when limits are divided, or the timeout has expired.
    fn is_quota_ready(&self) -> bool {
        self.peers.is_warm() || self.started_at.elapsed() >= QUOTA_WARMUP_TIMEOUT
    }

    async fn watch_leaving_endpoints(&self) {
        let reader = LeavingReader {
            host: &self.settings.name,
            domain: &self.settings.domain,
            store: &*self.store,
            peers: &self.peers,
            fleet: &self.fleet,
        };
        reader.run(|| self.follower.current()).await;
    }

    async fn refresh_periodically(&self) {
        let mut ticks = 0;
        loop {
            let config = self.follower.current();
            if let Some(config) = &config {
                self.set_capacities(config);
            }
            self.operator_state
                .set_ready(config.is_some() && self.is_quota_ready() && !self.is_draining.get());
            self.operator_state.set_status(self.status());
            ticks += 1;
            if ticks % RETRY_PRUNE_TICKS == 0 {
                self.retries.prune();
            }
            tokio::time::sleep(REFRESH_INTERVAL).await;
        }
    }

    fn set_capacities(&self, config: &EffectiveConfig) {
        let load = self.admission.load();
        let hosts = self.peers.live_hosts().len() as u32 + 1;
        for service in config.services.values() {
            let own = load.get(&service.name).map_or(0, |load| load.running);
            let slots = self.service_slots(service, own, hosts);
            self.admission.set_capacity(&service.name, slots);
        }
    }

    fn service_slots(&self, service: &EffectiveService, own: u32, hosts: u32) -> u32 {
        match &service.target {
            ServiceTarget::Model(model) => {
                let load = self.fleet.model_load(Instant::now(), model);
                CapacityView { slots: load.slots, own, reported: load.running, hosts }.host_slots()
            }
            // A plain service refuses excess requests before it starts them, so its slots are not
            // divided among the hosts.
            ServiceTarget::Plain(plain) => plain.endpoint_slots * plain.endpoints.len() as u32,
        }
    }

    /// Drains the router: reports not ready, waits for load balancers to notice, stops accepting
    /// connections, then waits for open connections and requests to finish.
    async fn drain(&self, server: &CallerServer, stop: &watch::Sender<bool>) {
        log::info!(host = &*self.settings.name; "router draining");
        self.is_draining.set(true);
        self.operator_state.set_ready(false);
        self.peers.set_draining();
        tokio::time::sleep(self.settings.drain_delay).await;
        let _ = stop.send(true);
        let finished = async {
            server.wait_closed().await;
            self.admission.wait_idle().await;
            self.ledger.drain().await;
        };
        if tokio::time::timeout(self.settings.drain_timeout, finished).await.is_err() {
            let open = self.gateway.open_requests();
            log::warn!(open_requests = open; "drain timeout expired with requests open");
        }
    }

    async fn leave(&self, registration: &HostRegistration) {
        let _ = tokio::time::timeout(LEAVE_TIMEOUT, self.peers.leave()).await;
        registration.remove(self.store.clone(), LEAVE_TIMEOUT).await;
    }

    fn registration(&self) -> HostRegistration {
        HostRegistration {
            host: self.settings.name.clone(),
            domain: self.settings.domain.clone(),
            peer: self.settings.peer_advertise.to_string().into(),
            operator: self.settings.operator_advertise.to_string().into(),
            incarnation: self.incarnation,
        }
    }

    fn status(&self) -> HostStatus {
        let follower = self.follower.status();
        let state = match (self.is_draining.get(), follower.revision) {
            (true, _) => "draining",
            (false, 0) => "starting",
            (false, _) => "serving",
        };
        HostStatus {
            host: self.settings.name.clone(),
            domain: self.settings.domain.clone(),
            incarnation: self.incarnation,
            revision: follower.revision,
            state: state.into(),
            open_requests: self.gateway.open_requests(),
            live_peers: self.peers.live_hosts(),
            endpoints: self.fleet.summary(Instant::now()),
            detail: config_detail(&follower),
        }
    }
}

fn config_detail(status: &FollowerStatus) -> Box<str> {
    match &status.rejected {
        Some(rejected) => format!("{:?}; rejected revision {rejected:?}", status.state).into(),
        None => format!("{:?}", status.state).into(),
    }
}

fn own_record(settings: &RouterSettings, incarnation: Incarnation) -> MemberRecord {
    MemberRecord {
        host: settings.name.clone(),
        domain: settings.domain.clone(),
        address: settings.peer_advertise.to_string().into(),
        incarnation,
        heartbeat: 0,
        revision: 0,
        state: HostState::Serving,
    }
}

pub(crate) fn bind_error(
    port: &'static str,
    address: impl std::fmt::Display,
    reason: &impl std::fmt::Display,
) -> StartError {
    StartError::Bind {
        port,
        address: address.to_string().into(),
        reason: reason.to_string().into(),
    }
}

/// Returns the Unix time in milliseconds. A restarted process thus has a higher incarnation, since
/// the host's clock has advanced in the meantime.
pub(crate) fn new_incarnation() -> Incarnation {
    unix_now().as_millis() as Incarnation
}
