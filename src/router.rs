//! The router: starts its parts, keeps them current, and ends gracefully.

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
use crate::counters::CounterRegistry;
use crate::driver::{AnswerDriver, DriverOptions};
use crate::effective::{EffectiveConfig, EffectiveService, ServiceTarget};
use crate::endpoint::EndpointCaller;
use crate::engine_http::HttpCaller;
use crate::fleet::{EndpointFleet, FleetOptions};
use crate::follower::{ConfigFollower, FollowerOptions, FollowerStatus, HostMember};
use crate::gateway::{GatewayDependencies, RequestGateway};
use crate::gossip::GossipOptions;
use crate::ids::Incarnation;
use crate::leaving::LeavingReader;
use crate::ledger::{ClaimHolder, LedgerOptions, LedgerService};
use crate::membership::{HostState, MemberRecord};
use crate::operator::{self, HostStatus, OperatorState};
use crate::peer::{ConfigSnapshot, ConfigSource, PeerNetwork};
use crate::peer_service::{PeerService, PeerSetup};
use crate::plain::{PlainDriver, PlainOptions};
use crate::platform::PlatformStore;
use crate::probe;
use crate::quotas::{PermitIssuer, QuotaLimiter};
use crate::registration::HostRegistration;
use crate::retries::RetryBudgets;
use crate::signals;
use crate::store_http::{HttpStore, HttpStoreOptions};

/// Time between two looks at capacity and status.
const TICK: Duration = Duration::from_millis(200);
/// Time for an engine to report its state.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for the last exchanges with the platform in a shutdown.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait until the other hosts count this one's part of the limits; in a large fleet news
/// of a host takes longer, and a fresh host's small parts matter less.
const WARM_LIMIT: Duration = Duration::from_secs(5);
/// Ticks between two clean-ups of retry budgets.
const PRUNE_TICKS: u64 = 300;

/// Why a router could not start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// An address could not be bound.
    #[error("[{}] address {address} of the {port} port: {reason}", ResultCode::BindFailed.number())]
    Bind {
        /// Port that was to be bound.
        port: &'static str,
        /// Address that was to be bound.
        address: Box<str>,
        /// What failed.
        reason: Box<str>,
    },
}

/// A router's parts.
struct RouterParts {
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
    board: Arc<OperatorState>,
    counters: Rc<CounterRegistry>,
    draining: Cell<bool>,
    started: Instant,
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

/// Runs a router until it is told to stop and has finished its requests.
pub(crate) async fn run(settings: RouterSettings) -> Result<(), StartError> {
    let listener = TcpListener::bind(settings.listen)
        .await
        .map_err(|error| bind_error("callers'", settings.listen, &error))?;
    let parts = Rc::new(RouterParts::start(settings).await?);
    log::info!(host = &*parts.settings.name, incarnation = parts.incarnation; "router started");
    let (stop, stopped) = watch::channel(false);
    let server = Rc::new(CallerServer::new(
        parts.settings.limits.clone(),
        parts.gateway.clone(),
        parts.counters.clone(),
    ));
    let registration = Rc::new(parts.registration());
    let background = parts.clone().spawn_background(registration.clone());
    let accepting = server.clone();
    let accept = tokio::task::spawn_local(async move {
        accepting.run(listener, stopped).await;
    });
    signals::wait_for_shutdown(&parts.board).await;
    parts.drain(&server, &stop).await;
    accept.abort();
    background.abort();
    parts.leave(&registration).await;
    log::info!(host = &*parts.settings.name; "router stopped");
    Ok(())
}

impl RouterParts {
    async fn start(settings: RouterSettings) -> Result<Self, StartError> {
        let registry = CounterRegistry::new();
        let counters = Rc::new(registry.clone());
        let shared = Arc::new(registry.clone());
        let board = Arc::new(OperatorState::default());
        operator::serve(settings.operator_listen, board.clone(), registry)
            .map_err(|reason| bind_error("operators'", settings.operator_listen, &reason))?;
        let incarnation = new_incarnation();
        let seed = incarnation;
        let options = HttpStoreOptions::default();
        let store: Rc<dyn PlatformStore> =
            Rc::new(HttpStore::new(settings.platform.clone(), options, shared.clone()));
        let setup = PeerSetup {
            own_record: own_record(&settings, incarnation),
            options: GossipOptions::default(),
            seed,
            store: store.clone(),
            counters: shared.clone(),
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
            shared.clone(),
        ));
        peers.set_config_source(follower.clone());
        let caller: Rc<dyn EndpointCaller> = Rc::new(HttpCaller::new());
        let planner = PlannerOptions { seed, ..PlannerOptions::default() };
        let fleet_options = FleetOptions { planner, ..FleetOptions::default() };
        let fleet = EndpointFleet::new(fleet_options, counters.clone());
        tokio::task::spawn_local(probe::poll_engines(
            fleet.clone(),
            caller.clone(),
            STATUS_TIMEOUT,
        ));
        let admission = AdmissionService::start(GateOptions::default(), seed, shared);
        let liveness = peers.clone();
        let ledger = LedgerService::new(
            store.clone(),
            ClaimHolder { host: settings.name.clone(), incarnation },
            Rc::new(move |host, incarnation| liveness.is_live(host, incarnation)),
            LedgerOptions { jitter_seed: seed, ..LedgerOptions::default() },
            counters.clone(),
        );
        let retries = RetryBudgets::default();
        let configured = follower.clone();
        let gateway = Rc::new(RequestGateway::new(GatewayDependencies {
            config: Rc::new(move || configured.current()),
            admission: admission.clone(),
            quotas: PermitIssuer::new(Rc::new(peers.clone())),
            retries: retries.clone(),
            answers: AnswerDriver::new(
                fleet.clone(),
                caller.clone(),
                counters.clone(),
                DriverOptions::default(),
            ),
            plain: PlainDriver::new(
                caller,
                ledger.clone(),
                counters.clone(),
                PlainOptions::default(),
            ),
            fleet: fleet.clone(),
            counters: counters.clone(),
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
            board,
            counters,
            draining: Cell::new(false),
            started: Instant::now(),
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
                self.look_around(),
                self.follow_leaving(),
                registration.keep(self.store.clone()),
            );
        })
    }

    async fn apply_revisions(&self) {
        let mut changed = self.follower.changed();
        loop {
            if let Some(config) = self.follower.current() {
                self.fleet.apply_config(&config);
                self.peers.set_limits(&config);
                self.set_capacities(&config);
                log::info!(revision = config.revision; "configuration in force");
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Whether the other hosts count this one's part of the limits, or have had time enough.
    fn is_known(&self) -> bool {
        self.peers.is_warm() || self.started.elapsed() >= WARM_LIMIT
    }

    async fn follow_leaving(&self) {
        let reader = LeavingReader {
            host: &self.settings.name,
            domain: &self.settings.domain,
            store: &*self.store,
            peers: &self.peers,
            fleet: &self.fleet,
        };
        reader.run(|| self.follower.current()).await;
    }

    async fn look_around(&self) {
        let mut ticks = 0;
        loop {
            let config = self.follower.current();
            if let Some(config) = &config {
                self.set_capacities(config);
            }
            self.board.set_ready(config.is_some() && self.is_known() && !self.draining.get());
            self.board.set_status(self.status());
            ticks += 1;
            if ticks % PRUNE_TICKS == 0 {
                self.retries.prune();
            }
            tokio::time::sleep(TICK).await;
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
                let pool = self.fleet.model_load(Instant::now(), model);
                CapacityView { slots: pool.slots, own, reported: pool.running, hosts }.host_slots()
            }
            // A plain service refuses what is too much before it starts, so that no part is kept.
            ServiceTarget::Plain(plain) => plain.endpoint_slots * plain.endpoints.len() as u32,
        }
    }

    /// Finishes every request: not ready, balancer's delay, no new connections, open ones end.
    async fn drain(&self, server: &CallerServer, stop: &watch::Sender<bool>) {
        log::info!(host = &*self.settings.name; "router draining");
        self.draining.set(true);
        self.board.set_ready(false);
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
            log::warn!(open_requests = open; "drain timeout passed with requests open");
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
        let state = match (self.draining.get(), follower.revision) {
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

/// A restarted process has a higher incarnation: the host's own clock went on meanwhile.
pub(crate) fn new_incarnation() -> Incarnation {
    unix_now().as_millis() as Incarnation
}
