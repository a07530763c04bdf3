//! What one entry process knows and counts.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jacinthrock::{
    BudgetOptions, CounterRegistry, DomainName, EndpointName, HostName, RetryBudget,
};
use rand::Rng;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::adapter::{CallCodec, RegistryClient};
use crate::detour::detour;
use crate::endpoints::{EndpointEntry, EndpointTable, LayerSpan, RegistryVersion};
use crate::expiry::ExpiringFlags;
use crate::inflight::{FlightTable, StageLoad};
use crate::health::HealthTable;
use crate::line::WaitLine;
use crate::loads::{LoadAggregator, PeerLoads, retry_share};
use crate::path::{CLOSED_PIPE, PathStage, StageView, cheapest_path, first_gap};
use crate::peers::{MIN_EXCHANGE_INTERVAL, exchange_interval};
use crate::pool::ConnectionPool;
use crate::quota::CrossingQuota;
use crate::rules::{EngineProfile, RuleIndex, ServingRules};

/// Cost of a stage that may be dead, in ms a token: more than a whole path over other cards.
const DOUBT_MS: f64 = 40.0;
/// Time for which an endpoint that took no work is not asked again, unless its entry changes.
const CLOSED_TIME: Duration = Duration::from_secs(3);
/// Age of the holder's last confirmation up to which hosts rely on it. Endpoints that leave must be
/// known within two seconds: at 1,800 ms a host whose holder was turned away read them too late.
pub(crate) const MAX_CONFIRMED_AGE: Duration = Duration::from_millis(1_300);
/// Largest share by which the cost of a stage is varied at random for each stream, at the shortest
/// exchange of loads. Hosts that know the same sums would all take the same path until the next.
const COST_SPREAD: f64 = 0.1;
/// Bound on that share for fleets whose exchanges are rarer.
const MAX_COST_SPREAD: f64 = 0.5;
/// Cost of a stage that has just refused a stream, in ms a token.
const CROWDED_MS: f64 = 20.0;
/// Time for which a refusal counts: some streams end meanwhile.
const CROWDED_TIME: Duration = Duration::from_millis(250);
/// Time for which the answer to a probe rules out a new suspicion: under overload all streams are
/// silent at times, and each probe is work for the endpoint.
const VOUCHED_TIME: Duration = Duration::from_millis(400);
/// Time for which a suspicion holds without a probe's answer.
const DOUBT_TIME: Duration = Duration::from_millis(1_500);
/// Share of the budget of retries that the hosts use together. The rest is for hosts that start
/// again within a window and know nothing of what they used.
const BUDGET_SHARE: f64 = 0.7;

/// Multiple of the pipe between failure domains that all hosts together hand out in tickets: few
/// hosts use theirs at the same time. 0.75 kept streams from free paths where one domain was hurt.
const TICKET_SHARE: f64 = 2.0;
/// Share of a stage's memory for tokens, and of a first stage's places, that streams may take.
const ROOM_SHARE: f64 = 0.95;

/// Another host of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerHost {
    /// Address for other hosts.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
}

/// The host that holds the placement duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementHolder {
    /// Name.
    pub host: HostName,
    /// Address for other hosts.
    pub address: SocketAddr,
}

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Name of this host.
    pub host: HostName,
    /// Failure domain of this host.
    pub domain: DomainName,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address for other hosts of the system.
    pub peer: SocketAddr,
    /// Address of metrics, where they are served.
    pub metrics: Option<SocketAddr>,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Retries allowed for each request, over all hosts.
    pub retry_ratio: f64,
    /// Retries allowed on top in each window, over all hosts.
    pub retry_slack: u32,
    /// Window of the two limits above.
    pub retry_window: Duration,
    /// Sockets that the process may open.
    pub max_sockets: usize,
}

/// Everything that the tasks of an entry process share.
pub struct EntryState {
    /// Settings.
    pub options: EntryOptions,
    /// Names of the platform.
    pub dialect: Box<dyn CallCodec>,
    /// The platform's registry.
    pub registry: Box<dyn RegistryClient>,
    /// Connections to endpoints.
    pub pool: ConnectionPool,
    /// Metrics.
    pub counters: CounterRegistry,
    /// Endpoints as listed.
    pub endpoints: RefCell<EndpointTable>,
    /// Beliefs about endpoints.
    pub beliefs: RefCell<HealthTable>,
    /// Streams in flight.
    pub inflight: Rc<RefCell<FlightTable>>,
    /// Told whenever a path may have become possible.
    pub path_changed: Notify,
    /// The other hosts of the system.
    pub peers: RefCell<BTreeMap<HostName, PeerHost>>,
    /// Host that holds the placement duty, as last read.
    pub placement_holder: RefCell<Option<PlacementHolder>>,
    /// Draws one start of this process apart from others.
    pub boot: u64,
    /// When the registry last confirmed this host's table of endpoints.
    pub endpoints_confirmed: Cell<Option<Instant>>,
    /// When the registry last confirmed what the holder of the duty tells.
    pub holder_confirmed: Cell<Option<Instant>>,
    /// Loads told to this host while it holds the duty.
    pub load_board: RefCell<LoadAggregator>,
    /// Streams that wait for a path.
    pub line: RefCell<WaitLine>,
    /// Loads of the other hosts.
    pub other_loads: RefCell<PeerLoads>,
    /// Whether the process is about to end.
    pub is_leaving: Cell<bool>,
    /// Requests in progress.
    pub open_requests: Cell<usize>,
    rules: RefCell<Rc<RuleIndex>>,
    rules_version: Cell<Option<RegistryVersion>>,
    doubts: RefCell<ExpiringFlags>,
    vouched: RefCell<ExpiringFlags>,
    closed: RefCell<BTreeMap<EndpointName, ClosedMark>>,
    crowded: RefCell<ExpiringFlags>,
    tickets: RefCell<CrossingQuota>,
    budget: RefCell<RetryBudget>,
}

/// An endpoint that took no work, as the registry listed it then.
#[derive(Clone, Copy, Debug)]
struct ClosedMark {
    until: Instant,
    born: u64,
    layers: Option<LayerSpan>,
}

/// What a path is asked for.
#[derive(Clone, Copy, Debug)]
pub struct PathDemand<'a> {
    /// Service.
    pub service: &'a str,
    /// Most tokens that the stream will hold.
    pub tokens: u32,
    /// Endpoints that the path must begin at; any where none are named.
    pub starts: Option<&'a BTreeSet<EndpointName>>,
    /// Endpoints to leave out.
    pub avoid: &'a BTreeSet<EndpointName>,
}

impl EntryState {
    /// An entry process that knows nothing yet.
    pub fn new(
        options: EntryOptions,
        dialect: Box<dyn CallCodec>,
        registry: Box<dyn RegistryClient>,
    ) -> Self {
        let budget = RetryBudget::new(budget_options(&options, 1.0));
        Self {
            options,
            dialect,
            registry,
            pool: ConnectionPool::default(),
            counters: CounterRegistry::new(),
            endpoints: RefCell::default(),
            beliefs: RefCell::default(),
            inflight: Rc::default(),
            path_changed: Notify::new(),
            peers: RefCell::default(),
            placement_holder: RefCell::default(),
            boot: rand::random(),
            endpoints_confirmed: Cell::new(None),
            holder_confirmed: Cell::new(None),
            load_board: RefCell::default(),
            other_loads: RefCell::default(),
            line: RefCell::default(),
            is_leaving: Cell::new(false),
            open_requests: Cell::new(0),
            rules: RefCell::default(),
            rules_version: Cell::new(None),
            doubts: RefCell::default(),
            vouched: RefCell::default(),
            closed: RefCell::default(),
            crowded: RefCell::default(),
            tickets: RefCell::default(),
            budget: RefCell::new(budget),
        }
    }

    /// The rules in force; none before the first are known.
    pub fn rules(&self) -> Option<Rc<RuleIndex>> {
        self.rules_version.get().map(|_| self.rules.borrow().clone())
    }

    /// Registry version of the rules in force, 0 before the first.
    pub fn rules_version(&self) -> RegistryVersion {
        self.rules_version.get().unwrap_or(0)
    }

    /// Takes rules unless newer ones are in force.
    pub fn apply_rules(&self, version: RegistryVersion, rules: ServingRules, source: &str) {
        if self.rules_version.get().is_some_and(|current| version <= current) {
            return;
        }
        log::info!(
            event = "rules", version = rules.version, registry = version,
            routes = rules.routes.len(), source; "rules in force"
        );
        *self.rules.borrow_mut() = Rc::new(RuleIndex::new(rules));
        self.rules_version.set(Some(version));
        self.path_changed.notify_waiters();
    }

    /// Hosts that serve callers, this one included.
    pub fn host_count(&self) -> usize {
        self.peers.borrow().len() + 1
    }

    /// Hosts in this host's failure domain, this one included.
    fn neighbours(&self) -> usize {
        let peers = self.peers.borrow();
        peers.values().filter(|peer| peer.domain == self.options.domain).count() + 1
    }

    /// Records the first attempt of a request for a service.
    pub fn record_first(&self, service: &str) {
        self.budget.borrow_mut().record_first(Instant::now(), service, service);
    }

    /// Takes one retry for a service from this host's share of the budget, if the part of it that is
    /// left is at least `reserve`.
    pub fn allow_retry(&self, service: &str, reason: &str, reserve: f64) -> bool {
        let now = Instant::now();
        let own = self.inflight.borrow().count() as u32;
        let others = self.other_loads.borrow().streams(now);
        let share = retry_share(self.host_count(), own, others);
        let mut budget = self.budget.borrow_mut();
        budget.set_options(budget_options(&self.options, share));
        let is_reserved = budget.remaining_fraction(now, service) < reserve;
        let allowed = !is_reserved && budget.allow(now, service, service);
        let label = match (allowed, is_reserved) {
            (true, _) => reason,
            (false, true) => "budget_reserved",
            (false, false) => "budget_spent",
        };
        self.counters.count(jacinthrock::MetricName::Retries, &[label]);
        allowed
    }

    /// Doubts an endpoint until a probe answers; returns whether a probe is due. An endpoint that
    /// has just answered one is not doubted.
    pub fn mark_suspected(&self, name: &EndpointName) -> bool {
        let now = Instant::now();
        if self.vouched.borrow().is_set(name, now) {
            return false;
        }
        !self.doubts.borrow_mut().set(name, now, now + DOUBT_TIME)
    }

    /// Whether the holder of the duty tells this host of endpoints in time.
    pub fn is_following_holder(&self) -> bool {
        let told = self.holder_confirmed.get();
        !self.is_holder() && told.is_some_and(|at| at.elapsed() < MAX_CONFIRMED_AGE)
    }

    /// Whether this host holds the placement duty.
    pub fn is_holder(&self) -> bool {
        self.placement_holder.borrow().as_ref().is_some_and(|holder| holder.host == self.options.host)
    }

    /// Lets waiting streams look for a path again.
    pub fn wake_queue(&self) {
        if !self.line.borrow().is_empty() {
            self.path_changed.notify_waiters();
        }
    }

    /// Records that an endpoint has refused a stream; returns whether it had just refused another.
    pub fn mark_overloaded(&self, name: &EndpointName) -> bool {
        let now = Instant::now();
        self.crowded.borrow_mut().set(name, now, now + CROWDED_TIME)
    }

    /// Records that an endpoint takes no work although the registry lists it: it leaves, or no
    /// longer holds its layers. Returns whether that is new.
    pub fn mark_excluded(&self, name: &EndpointName) -> bool {
        let Some(entry) = self.endpoint(name) else { return false };
        let mark = ClosedMark {
            until: Instant::now() + CLOSED_TIME,
            born: entry.born,
            layers: entry.layers,
        };
        let previous = self.closed.borrow_mut().insert(name.clone(), mark);
        previous.is_none_or(|mark| mark.until <= Instant::now())
    }

    /// Whether an endpoint is known to take no work although the registry lists it.
    pub fn is_excluded(&self, entry: &EndpointEntry, now: Instant) -> bool {
        let closed = self.closed.borrow();
        closed.get(&entry.name).is_some_and(|mark| {
            now < mark.until && mark.born == entry.born && mark.layers == entry.layers
        })
    }

    /// Takes a doubt back after an answer to a probe.
    pub fn clear_suspicion(&self, name: &EndpointName) {
        let now = Instant::now();
        self.doubts.borrow_mut().clear(name);
        self.vouched.borrow_mut().set(name, now, now + VOUCHED_TIME);
    }

    /// Forgets marks of endpoints that are gone.
    pub fn prune_marks(&self) {
        let endpoints = self.endpoints.borrow();
        for marks in [&self.doubts, &self.vouched, &self.crowded] {
            marks.borrow_mut().retain(|name| endpoints.get(name).is_some());
        }
        self.closed.borrow_mut().retain(|name, _| endpoints.get(name).is_some());
    }

    /// The cheapest path for a stream; nothing where none has room.
    pub fn find_path(&self, demand: &PathDemand<'_>) -> Option<Rc<[PathStage]>> {
        self.path_with(demand, |engine| self.open_pipe(engine, demand.tokens)).map(Into::into)
    }

    /// The cheapest path with a share of the pipe in use.
    fn path_with(
        &self,
        demand: &PathDemand<'_>,
        pipe: impl FnOnce(&EngineProfile) -> f64,
    ) -> Option<Vec<PathStage>> {
        let rules = self.rules()?;
        let engine = rules.engine(demand.service)?;
        let stages = self.stage_views(engine, demand);
        cheapest_path(engine.layers, &self.options.domain, pipe(engine), &stages)
    }

    /// Records that a stream crosses the pipe between failure domains so many times more.
    pub fn crossings_taken(&self, crossings: usize) {
        self.tickets.borrow_mut().consume(crossings);
    }

    /// Share of the pipe that is in use, if this host may send one more stream through it.
    fn open_pipe(&self, engine: &EngineProfile, tokens: u32) -> f64 {
        let per_s = self.crossings_per_s(engine, tokens);
        let draw = rand::rng().random_range(0.0..1.0);
        let may_cross = self.tickets.borrow_mut().allows_crossing(Instant::now(), per_s, draw);
        if may_cross { self.pipe_share(engine) } else { CLOSED_PIPE }
    }

    /// This host's share of the pipe between failure domains, in crossings of a stream a second.
    fn crossings_per_s(&self, engine: &EngineProfile, tokens: u32) -> f64 {
        let stream_mbit = f64::from(tokens) * engine.activation_bytes * 8.0 / 1e6;
        if engine.pipe_mbps <= 0.0 || stream_mbit <= 0.0 {
            return f64::INFINITY;
        }
        engine.pipe_mbps * TICKET_SHARE / stream_mbit / self.host_count() as f64
    }

    /// The path of a running stream with others in place of the stages that are lost.
    pub fn find_detour(
        &self,
        path: &[PathStage],
        demand: &PathDemand<'_>,
    ) -> Option<Vec<PathStage>> {
        let rules = self.rules()?;
        let engine = rules.engine(demand.service)?;
        let lost: BTreeSet<EndpointName> = {
            let (endpoints, beliefs) = (self.endpoints.borrow(), self.beliefs.borrow());
            let names = path.iter().map(|stage| &stage.name);
            let is_lost =
                |name: &&EndpointName| endpoints.get(name).is_none() || beliefs.is_down(name);
            names.filter(is_lost).cloned().collect()
        };
        if lost.is_empty() {
            return None;
        }
        let stages = self.stage_views(engine, demand);
        let pipe = self.open_pipe(engine, demand.tokens);
        let way = detour(path, &lost, pipe, &stages);
        if way.is_none() {
            log_no_detour(path, &lost, &stages);
        }
        way
    }

    /// What all hosts run through an endpoint, as far as this host knows.
    pub fn total_load(&self, name: &str) -> StageLoad {
        let mut load = self.inflight.borrow().load(name);
        let others = self.other_loads.borrow().load(name, load, Instant::now());
        load.add(others.unwrap_or_default());
        load
    }

    /// Share of an endpoint's memory for tokens that the known streams take.
    pub fn known_kv_usage(&self, entry: &EndpointEntry) -> Option<f64> {
        let rules = self.rules()?;
        let engine = rules.engine(&entry.service)?;
        let card = engine.cards.get(entry.card.as_deref()?)?;
        let room = engine.token_room(card, entry.weight_layers());
        Some(self.total_load(&entry.name).token_layers as f64 / room)
    }

    /// Share of the pipe between failure domains that the streams of all hosts fill.
    fn pipe_share(&self, engine: &EngineProfile) -> f64 {
        let others = self.other_loads.borrow().crossing_tokens_per_s(Instant::now());
        let tokens = self.inflight.borrow().crossing_tokens_per_s() + others;
        if engine.pipe_mbps <= 0.0 {
            return 0.0;
        }
        tokens * engine.activation_bytes * 8.0 / 1e6 / engine.pipe_mbps
    }

    /// Why there is no path, for logs.
    pub fn explain_no_path(&self, demand: &PathDemand<'_>) -> Box<str> {
        let rules = self.rules();
        let Some(engine) = rules.as_ref().and_then(|rules| rules.engine(demand.service)) else {
            return "the service has no engine".into();
        };
        let stages = self.stage_views(engine, demand);
        let Some(gap) = first_gap(engine.layers, &stages) else {
            let pipe = self.pipe_share(engine);
            return format!("no path joins {} stages; pipe share {pipe:.2}", stages.len()).into();
        };
        let holders = stages.iter().filter(|stage| stage.span.holds(gap)).map(|stage| {
            format!("{} streams {} fill {:.2}", stage.name, stage.streams, stage.fill)
        });
        let holders: Vec<_> = holders.collect();
        format!("layer {gap} has no room; holders: {holders:?}").into()
    }

    fn stage_views(&self, engine: &EngineProfile, demand: &PathDemand<'_>) -> Vec<StageView> {
        let now = Instant::now();
        let neighbours = self.neighbours() as u32;
        let rarity = exchange_interval(self.host_count()).div_duration_f64(MIN_EXCHANGE_INTERVAL);
        let spread = (COST_SPREAD * rarity).min(MAX_COST_SPREAD);
        let others = self.other_loads.borrow();
        let (endpoints, beliefs) = (self.endpoints.borrow(), self.beliefs.borrow());
        let (inflight, doubts) = (self.inflight.borrow(), self.doubts.borrow());
        let crowded = self.crowded.borrow();
        let usable = endpoints.entries().filter(|entry| {
            &*entry.service == demand.service
                && !entry.is_draining
                && !beliefs.is_down(&entry.name)
                && !self.is_excluded(entry, now)
                && !demand.avoid.contains(&entry.name)
        });
        usable
            .filter_map(|entry| {
                let span = entry.layers.filter(|span| span.count() > 0)?;
                let card = engine.cards.get(entry.card.as_deref()?)?;
                let mut load = inflight.load(&entry.name);
                match others.load(&entry.name, load, now) {
                    Some(others) => load.add(others),
                    // Without word of the others, those of the same domain are taken to use the
                    // stage as much as this host does.
                    None if entry.domain == self.options.domain => load.scale(neighbours),
                    None => {}
                }
                let new = f64::from(demand.tokens) * f64::from(span.count());
                let memory = (load.token_layers as f64 + new)
                    / engine.token_room(card, entry.weight_layers());
                let places = f64::from(load.starts + 1) / f64::from(entry.slots.max(1));
                let has_places = span.from > 0 || places < ROOM_SHARE;
                let doubt_ms = if doubts.is_set(&entry.name, now) { DOUBT_MS } else { 0.0 };
                let crowd_ms = if crowded.is_set(&entry.name, now) { CROWDED_MS } else { 0.0 };
                Some(StageView {
                    name: entry.name.clone(),
                    address: entry.address,
                    domain: entry.domain.clone(),
                    span,
                    layer_ms: card.step_factor * engine.step_ms / f64::from(engine.layers)
                        * rand::rng().random_range(1.0..=1.0 + spread),
                    streams: f64::from(load.streams),
                    fill: memory,
                    has_room: memory < ROOM_SHARE,
                    doubt_ms: doubt_ms + crowd_ms,
                    may_start: has_places
                        && demand.starts.is_none_or(|starts| starts.contains(&entry.name)),
                })
            })
            .collect()
    }

    /// Endpoint at an address.
    pub fn endpoint_at(&self, address: SocketAddr) -> Option<EndpointName> {
        let endpoints = self.endpoints.borrow();
        endpoints.entries().find(|entry| entry.address == address).map(|entry| entry.name.clone())
    }

    /// Entry of an endpoint.
    pub fn endpoint(&self, name: &str) -> Option<EndpointEntry> {
        self.endpoints.borrow().get(name).cloned()
    }

    /// Whether requests can be served: rules are known, and each model has a path.
    pub fn is_ready(&self) -> bool {
        let Some(rules) = self.rules().filter(|_| !self.is_leaving.get()) else { return false };
        let none = BTreeSet::new();
        rules.rules().services.iter().filter(|(_, service)| service.engine.is_some()).all(
            |(name, _)| {
                let demand = PathDemand { service: name, tokens: 1, starts: None, avoid: &none };
                // Be it over more than this host's share of the pipe.
                self.path_with(&demand, |engine| self.pipe_share(engine)).is_some()
            },
        )
    }
}

/// Tells which layers nobody stands in for, and who holds some of them without room.
fn log_no_detour(path: &[PathStage], lost: &BTreeSet<EndpointName>, stages: &[StageView]) {
    let missing = path.iter().filter(|stage| lost.contains(&stage.name)).map(|stage| {
        let is_near = |view: &&StageView| {
            let overlaps = view.span.from < stage.span.to && stage.span.from < view.span.to;
            view.domain == stage.domain && overlaps
        };
        let holders = stages.iter().filter(is_near);
        let holders: Vec<_> = holders.map(|v| (&*v.name, v.span, v.fill, v.has_room)).collect();
        (&*stage.name, stage.span, holders)
    });
    let missing: Vec<_> = missing.collect();
    log::info!(event = "no_detour", missing:? = missing; "no stages stand in for lost ones");
}

/// Limits for a host with a share of the budget. What comes with each first attempt is its own.
fn budget_options(options: &EntryOptions, share: f64) -> BudgetOptions {
    let floor = f64::from(options.retry_slack) * BUDGET_SHARE * share;
    BudgetOptions {
        ratio: options.retry_ratio * BUDGET_SHARE,
        floor: floor.round() as u32,
        window_buckets: options.retry_window.as_secs().max(1) as u32,
        enforced: true,
    }
}
