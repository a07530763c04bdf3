//! Shared state of an entry process.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jacinthrock::{
    BudgetOptions, DomainName, EndpointName, HostName, MetricName, MetricRegistry, RetryBudget,
    ServiceName,
};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::adapter::{CallCodec, RegistryClient};
use crate::admission::AdmissionTable;
use crate::answers::OpenAnswers;
use crate::call_wait::{ServiceLines, add_open_calls};
use crate::connections::CallerTable;
use crate::demand::DemandMeter;
use crate::down_reports::DownTable;
use crate::empty_endpoints::EmptyEndpoints;
use crate::endpoints::{EndpointEntry, EndpointTable};
use crate::ends::EndClaims;
use crate::exclusions::{EXCLUSION_TIME, ExclusionTable};
use crate::expiry::ExpiringFlags;
use crate::freshness::RulesFreshness;
use crate::health::HealthTable;
use crate::heartbeat::LoopHeartbeat;
use crate::inflight::StreamTable;
use crate::loads::{LoadSum, PeerLoads, RelayLoads, SmoothedShare, retry_share};
use crate::memory::MemoryPlan;
use crate::notices::{EndpointNotices, EndpointStart};
use crate::path::PathStage;
use crate::permits::PermitPools;
use crate::poison::PoisonTable;
use crate::pool::ConnectionPool;
use crate::queue::{ObjectiveQueue, WaitQueue};
use crate::quota::{CrossingQuota, LinkQuota};
use crate::rates::{RateChange, RateTable};
use crate::reach::ReachTable;
use crate::refusals::RefusalMemory;
use crate::relay::{RelayCandidate, RelayPicker};
use crate::reply::BufferBudget;
use crate::returns::ReturnSchedules;
use crate::routing::{accepts_work, is_leaving};
use crate::rules::{RuleIndex, RulesVersion, ServingRules};
use crate::shutdown::StopPlan;
use crate::takeover::TakeoverTable;
use crate::times::{CallTimes, StreamTimes};
use crate::version::{RegistryEra, RegistryVersion};

/// Maximum age of the registry's last confirmation of the holder's endpoint table for hosts to rely
/// on it. Endpoints that leave must be known within two seconds; with 1,800 ms, a host whose holder
/// was rejected by the registry learned of them too late.
pub(crate) const MAX_CONFIRMED_AGE: Duration = Duration::from_millis(1_300);
/// Age of the last confirmation at which a relay reads the registry itself, before its members find
/// its table too old and all do so.
const RELAY_MAX_CONFIRMED_AGE: Duration = Duration::from_millis(900);
/// Time for which a reply of the registry shows that this host can reach it; a host without a
/// holder asks it once per second.
const REGISTRY_SEEN_TIME: Duration = Duration::from_millis(1_500);
/// Time for which a host that has heard of the placement holder counts on it.
const HOLDER_HEARD_TIME: Duration = Duration::from_millis(1_500);
/// Time for which an endpoint that has refused a stream gets no other; some streams end in that
/// time and leave room, and the next load exchange shows the streams of other hosts.
const OVERLOAD_TIME: Duration = Duration::from_millis(250);
/// Time after an answered probe during which an endpoint is not suspected again. Under overload all
/// streams are silent at times, and each probe costs the endpoint work.
const PROBE_VALIDITY: Duration = Duration::from_millis(400);
/// Time for which a suspicion lasts if no probe is answered.
const SUSPECT_TIME: Duration = Duration::from_millis(1_500);
/// Share of the retry budget that the hosts use together. The rest covers hosts that restart within
/// a window and do not know what they have already used.
const BUDGET_SHARE: f64 = 0.7;

/// Another entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerHost {
    /// Address for other entry hosts.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Relative capacity; see [`host_capacity`](crate::host_capacity).
    pub capacity: u32,
}

/// The host that holds the placement lease: it places models on endpoints, and sends endpoint
/// changes and load totals to the other hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementHolder {
    /// Name.
    pub host: HostName,
    /// Address for other entry hosts.
    pub address: SocketAddr,
}

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Name of this host.
    pub host: HostName,
    /// Failure domain of this host.
    pub domain: DomainName,
    /// Relative capacity of this host; see [`host_capacity`](crate::host_capacity).
    pub capacity: u32,
    /// Whether all hosts start for the first time, so that no requests arrive for some seconds.
    pub is_first_start: bool,
    /// Listen address for callers.
    pub front: SocketAddr,
    /// Listen address of the readiness check.
    pub ready: SocketAddr,
    /// Listen address for other entry hosts.
    pub peer: SocketAddr,
    /// Listen address of metrics, if they are served.
    pub metrics: Option<SocketAddr>,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Retries allowed per request, over all hosts.
    pub retry_ratio: f64,
    /// Retries allowed in each window in addition to the ratio, over all hosts.
    pub retry_slack: u32,
    /// Window of `retry_ratio` and `retry_slack`.
    pub retry_window: Duration,
    /// Interval at which endpoints write their entry in the registry, which removes it after three
    /// intervals of silence.
    pub heartbeat_interval: Duration,
    /// Maximum number of sockets that the process may open.
    pub max_sockets: usize,
    /// Memory that the process may take, in bytes.
    pub memory: usize,
}

impl EntryOptions {
    /// Shortest outage of the registry in which the entry of a live endpoint can lapse: its last
    /// heartbeat before the outage came one interval earlier at most.
    pub(crate) fn min_lapse_time(&self) -> Duration {
        self.heartbeat_interval * 2
    }
}

/// State shared by all tasks of an entry process.
pub struct EntryState {
    /// Settings.
    pub options: EntryOptions,
    /// Codec of the platform's headers and message bodies.
    pub codec: Box<dyn CallCodec>,
    /// The platform's registry.
    pub registry: Box<dyn RegistryClient>,
    /// Shares of the host's memory.
    pub memory: MemoryPlan,
    /// Budget of the bodies of requests.
    pub request_budget: BufferBudget,
    /// Connection pool for endpoints and other hosts.
    pub pool: ConnectionPool,
    /// Metrics.
    pub metrics: MetricRegistry,
    /// Endpoints listed by the registry.
    pub endpoints: RefCell<EndpointTable>,
    /// Health of endpoints as observed by this host.
    pub health: RefCell<HealthTable>,
    /// Reports on whether the rules in force are the newest.
    pub rules_freshness: RefCell<RulesFreshness>,
    /// Endpoints that accept no work although the registry lists them.
    pub exclusions: RefCell<ExclusionTable>,
    /// Whether this host has taken over what others know, or found none to ask.
    pub has_asked_hosts: Cell<bool>,
    /// Evidence on prompt parts that crash endpoints.
    pub poison: RefCell<PoisonTable>,
    /// Endpoints of which it is open whether they have ended.
    pub end_claims: RefCell<EndClaims>,
    /// Endpoints that this or another host has found down.
    pub down_table: RefCell<DownTable>,
    /// Services that this host or another one cannot reach.
    pub reach: RefCell<ReachTable>,
    /// Notified when connections to a service begin to fail, and when one counts as lost or replies
    /// again.
    pub reach_changed: Notify,
    /// Notified when a service counts as lost.
    pub links_lost: Notify,
    /// Calls in progress that other hosts have passed on to this one.
    pub forwarded_calls: Cell<usize>,
    /// What endpoints have said of themselves.
    pub notices: RefCell<EndpointNotices>,
    /// Rate limits that endpoints have named, with this host's permits.
    pub rates: RefCell<RateTable>,
    /// Permits for the hosts that exchange through this host.
    pub permits: RefCell<PermitPools>,
    /// Streams in flight.
    pub inflight: Rc<RefCell<StreamTable>>,
    /// Notified whenever a path may have become available.
    pub path_changed: Notify,
    /// The other entry hosts.
    pub peers: RefCell<BTreeMap<HostName, PeerHost>>,
    /// Holder of the placement lease, as last read.
    pub placement_holder: RefCell<Option<PlacementHolder>>,
    /// When this host may take the placement lease.
    pub takeover: RefCell<TakeoverTable>,
    /// Notified when the placement holder's process is found to have ended.
    pub holder_ended: Notify,
    /// Since when endpoints have had no layers.
    pub empty_endpoints: RefCell<EmptyEndpoints>,
    /// Random identifier of this process, new after each restart.
    pub boot_id: u64,
    /// When the registry last confirmed this host's endpoint table.
    pub endpoints_confirmed: Cell<Option<Instant>>,
    /// When the registry last confirmed the endpoint table that this host gets from the placement
    /// holder or a relay.
    pub holder_confirmed: Cell<Option<Instant>>,
    /// When this host, or the relay that told it, last exchanged loads with the placement holder.
    pub holder_heard: Cell<Option<Instant>>,
    /// Loads of the hosts that exchange through this host.
    pub relay_loads: RefCell<RelayLoads>,
    /// Choice of the relay that this host exchanges through.
    pub relay_picker: RefCell<RelayPicker>,
    /// Plain calls that wait for an endpoint to take a request again.
    pub waiting_calls: Cell<u32>,
    /// Plain calls that wait for a slot, by service with several priorities.
    pub(crate) call_lines: RefCell<ServiceLines>,
    /// Queue of streams that wait for a path.
    pub path_queue: RefCell<WaitQueue>,
    /// Queues of streams that wait for a path, by service with several priorities.
    pub objective_queues: RefCell<BTreeMap<ServiceName, ObjectiveQueue>>,
    /// Streams that callers ask for at this host, of services with several priorities.
    pub demand: RefCell<DemandMeter>,
    /// Streams that this host has refused, of services with several priorities.
    pub refusals: RefCell<RefusalMemory>,
    /// Shares of new streams that are admitted.
    pub admission: RefCell<AdmissionTable>,
    /// Outcomes of streams, for the delay after which refused callers come back.
    pub return_schedules: RefCell<ReturnSchedules>,
    /// Load that the streams of the other hosts put on endpoints, from the last exchange.
    pub peer_loads: RefCell<PeerLoads>,
    /// Whether this host holds the placement lease, or acts as its holder.
    pub is_placing: Cell<bool>,
    /// Notified when the registry was restored from a copy.
    pub registry_restored: Notify,
    /// Plan of the process's stop, once it was told to.
    pub stop_plan: Cell<Option<StopPlan>>,
    /// Times of the latest streams.
    pub stream_times: RefCell<StreamTimes>,
    /// Times of the latest calls to plain services.
    pub call_times: RefCell<CallTimes>,
    /// Beats of the thread that runs all tasks.
    pub heartbeat: LoopHeartbeat,
    /// Number of open requests.
    pub open_requests: Cell<usize>,
    /// Answers that are not written yet.
    pub(crate) open_answers: OpenAnswers,
    /// Open connections of callers.
    pub(crate) callers: CallerTable,
    /// Endpoints that are suspected to be down.
    pub(crate) suspected: RefCell<ExpiringFlags>,
    /// Endpoints that have just refused a stream.
    pub(crate) overloaded: RefCell<ExpiringFlags>,
    /// Paths between failure domains that this host may still start.
    pub(crate) crossing_quota: RefCell<CrossingQuota>,
    /// Bytes that streams of services with several priorities may send between failure domains.
    pub(crate) link_quota: RefCell<LinkQuota>,
    rules: RefCell<Rc<RuleIndex>>,
    rules_version: Cell<Option<RegistryVersion>>,
    registry_era: Cell<Option<RegistryEra>>,
    registry_seen: Cell<Option<Instant>>,
    era_since: Cell<Instant>,
    recently_probed: RefCell<ExpiringFlags>,
    retry_budget: RefCell<RetryBudget>,
    retry_share: RefCell<SmoothedShare>,
}

impl EntryState {
    /// Creates the state of an entry process before it has read anything from the registry.
    pub fn new(
        options: EntryOptions,
        codec: Box<dyn CallCodec>,
        registry: Box<dyn RegistryClient>,
    ) -> Self {
        let budget = RetryBudget::new(budget_options(&options, 1.0));
        let memory = MemoryPlan::new(options.memory);
        let boot_id = rand::random();
        Self {
            options,
            codec,
            registry,
            memory,
            request_budget: BufferBudget::new(memory.requests),
            pool: ConnectionPool::new(BufferBudget::new(memory.replies)),
            metrics: MetricRegistry::new(),
            endpoints: RefCell::default(),
            health: RefCell::default(),
            rules_freshness: RefCell::default(),
            exclusions: RefCell::default(),
            has_asked_hosts: Cell::new(false),
            poison: RefCell::new(PoisonTable::new(Instant::now())),
            end_claims: RefCell::default(),
            down_table: RefCell::default(),
            reach: RefCell::default(),
            reach_changed: Notify::new(),
            links_lost: Notify::new(),
            forwarded_calls: Cell::new(0),
            notices: RefCell::default(),
            rates: RefCell::new(RateTable::new(boot_id)),
            permits: RefCell::default(),
            inflight: Rc::default(),
            path_changed: Notify::new(),
            peers: RefCell::default(),
            placement_holder: RefCell::default(),
            takeover: RefCell::default(),
            holder_ended: Notify::new(),
            empty_endpoints: RefCell::default(),
            boot_id,
            endpoints_confirmed: Cell::new(None),
            holder_confirmed: Cell::new(None),
            holder_heard: Cell::new(None),
            relay_loads: RefCell::default(),
            relay_picker: RefCell::default(),
            is_placing: Cell::new(false),
            registry_restored: Notify::new(),
            peer_loads: RefCell::default(),
            waiting_calls: Cell::new(0),
            call_lines: RefCell::default(),
            path_queue: RefCell::default(),
            objective_queues: RefCell::default(),
            demand: RefCell::default(),
            refusals: RefCell::default(),
            admission: RefCell::default(),
            return_schedules: RefCell::default(),
            stop_plan: Cell::new(None),
            stream_times: RefCell::default(),
            call_times: RefCell::default(),
            heartbeat: LoopHeartbeat::default(),
            open_requests: Cell::new(0),
            open_answers: OpenAnswers::default(),
            callers: CallerTable::default(),
            suspected: RefCell::default(),
            overloaded: RefCell::default(),
            crossing_quota: RefCell::default(),
            link_quota: RefCell::default(),
            rules: RefCell::default(),
            rules_version: Cell::new(None),
            registry_era: Cell::new(None),
            registry_seen: Cell::new(None),
            era_since: Cell::new(Instant::now()),
            recently_probed: RefCell::default(),
            retry_budget: RefCell::new(budget),
            retry_share: RefCell::default(),
        }
    }

    /// Whether the process is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.stop_plan.get().is_some()
    }

    /// The rules in force, or `None` before the first are known.
    pub fn rules(&self) -> Option<Rc<RuleIndex>> {
        self.rules_version.get().map(|_| self.rules.borrow().clone())
    }

    /// Version number that the operator gave the rules in force, 0 before the first.
    pub fn rules_number(&self) -> RulesVersion {
        self.rules.borrow().rules().version
    }

    /// Records the version of the rules by which another host has decided a call, if it is newer: a
    /// watch that does not bring it in time is taken for lost.
    pub(crate) fn record_newer_rules(&self, version: RulesVersion) {
        let in_force = self.rules_number();
        if version > in_force {
            let mut freshness = self.rules_freshness.borrow_mut();
            freshness.record_peer(in_force, version, None, Instant::now());
        }
    }

    /// Registry version of the rules in force, 0 before the first.
    pub fn rules_version(&self) -> RegistryVersion {
        self.rules_version.get().unwrap_or_default()
    }

    /// Puts rules in force unless newer ones are. A registry that was restored from a copy may list
    /// older rules than those in force, until the operator has written the lost ones again; rules
    /// that were accepted stay in force meanwhile.
    pub fn apply_rules(
        &self,
        version: impl Into<RegistryVersion>,
        rules: ServingRules,
        source: &str,
    ) {
        let version = version.into();
        self.observe_version(version);
        if let Some(current) = self.rules_version.get().filter(|current| version <= *current) {
            log::info!(
                event = "rules_known", version = rules.version, registry:% = version,
                known:% = current, source; "rules of a known version of the registry"
            );
            return;
        }
        let in_force = self.rules_number();
        let is_older = self.rules_version.get().is_some() && rules.version < in_force;
        self.rules_version.set(Some(version));
        if is_older {
            log::info!(
                event = "rules_kept", version = rules.version, registry:% = version, in_force, source;
                "the registry lists older rules than those in force"
            );
            return;
        }
        log::info!(
            event = "rules", version = rules.version, registry:% = version,
            routes = rules.routes.len(), source; "rules in force"
        );
        self.metrics.set(MetricName::ConfigRevision, &[], rules.version as i64);
        self.metrics.count(MetricName::ConfigChanges, &[source]);
        *self.rules.borrow_mut() = Rc::new(RuleIndex::new(rules));
        self.path_changed.notify_waiters();
    }

    /// Records that the registry has replied to this host, with a version.
    pub fn record_registry_reply(&self, version: RegistryVersion) {
        self.registry_seen.set(Some(Instant::now()));
        self.observe_version(version);
    }

    /// Whether the registry has recently replied to this host.
    pub fn can_reach_registry(&self) -> bool {
        self.registry_seen.get().is_some_and(|at| at.elapsed() < REGISTRY_SEEN_TIME)
    }

    /// When the registry last replied to this host, or confirmed the table that this host got from
    /// another one.
    pub fn last_registry_reply(&self) -> Option<Instant> {
        self.registry_seen.get().max(self.table_confirmed())
    }

    /// Notes the era of the registry in a version that it has sent to this host or to another; a
    /// higher one than before means that it was restored from a copy.
    pub fn observe_version(&self, version: RegistryVersion) {
        let previous = self.registry_era.get();
        if previous.is_some_and(|era| version.era <= era) {
            return;
        }
        self.registry_era.set(Some(version.era));
        self.era_since.set(Instant::now());
        if let Some(previous) = previous {
            log::warn!(
                event = "store_restored", era = version.era, previous, registry:% = version;
                "registry was restored from a copy"
            );
            self.endpoints.borrow_mut().record_registry_outage(Instant::now());
            self.registry_restored.notify_waiters();
        }
    }

    /// Era of the registry, as far as this host knows.
    pub fn registry_era(&self) -> RegistryEra {
        self.registry_era.get().unwrap_or(0)
    }

    /// Time since this host first saw the present era of the registry, or since its start.
    pub fn era_age(&self) -> Duration {
        self.era_since.get().elapsed()
    }

    /// Load of this host's streams, and of its plain calls to services with several priorities.
    pub fn own_load(&self) -> LoadSum {
        let (inflight, queues) = (self.inflight.borrow(), self.objective_queues.borrow());
        let now = Instant::now();
        let on_time = queues.iter().map(|(service, queue)| (service.clone(), queue.on_time(now)));
        let mut loads = inflight.loads().clone();
        add_open_calls(self, &mut loads);
        LoadSum {
            loads,
            crossing_tokens_per_s: inflight.crossing_tokens_per_s(),
            demands: self.demand.borrow_mut().counts(now),
            on_time: on_time.collect(),
            refused: self.refusals.borrow_mut().filter(now),
        }
    }

    /// Name and address of the relay that this host exchanges through; `None` if it exchanges with
    /// the placement holder directly.
    pub fn upstream_relay(&self) -> Option<(HostName, SocketAddr)> {
        let now = Instant::now();
        if self.relay_loads.borrow_mut().has_members(now) {
            return None;
        }
        let peers = self.peers.borrow();
        let own =
            RelayCandidate { host: self.options.host.clone(), capacity: self.options.capacity };
        let in_domain = peers.iter().filter(|(_, peer)| peer.domain == self.options.domain);
        let candidates = in_domain
            .map(|(host, peer)| RelayCandidate { host: host.clone(), capacity: peer.capacity });
        let candidates = candidates.chain([own]).collect();
        let picker = self.relay_picker.borrow();
        let relay = picker.relay(&self.options.host, candidates, peers.len() + 1, now)?;
        let address = peers.get(&relay)?.address;
        Some((relay, address))
    }

    /// Number of entry hosts, including this one.
    pub fn host_count(&self) -> usize {
        self.peers.borrow().len() + 1
    }

    /// Records the first attempt of a request in the retry budget of its service.
    pub fn record_first(&self, service: &str) {
        self.retry_budget.borrow_mut().record_first(Instant::now(), service, service);
    }

    /// Whether a retry could be taken with [`allow_retry`](Self::allow_retry).
    pub fn has_retry(&self, service: &str, reserved_share: f64) -> bool {
        let remaining = self.retry_budget.borrow_mut().remaining_fraction(Instant::now(), service);
        remaining > reserved_share
    }

    /// Takes one retry for a service from this host's share of the budget, unless less than the
    /// part `reserved_share` of it remains, which is reserved for other requests. `reason` labels
    /// the retry in metrics.
    pub fn allow_retry(&self, service: &str, reason: &str, reserved_share: f64) -> bool {
        self.take_retry(service, reason, reserved_share).is_some()
    }

    /// The same; the retry can be given back if the request is not sent.
    pub(crate) fn take_retry(
        &self,
        service: &str,
        reason: &str,
        reserved_share: f64,
    ) -> Option<RetryPermit> {
        let now = Instant::now();
        let share = self.retry_share.borrow().latest().unwrap_or_else(|| self.present_share(now));
        let mut budget = self.retry_budget.borrow_mut();
        budget.set_options(budget_options(&self.options, share));
        let is_reserved = budget.remaining_fraction(now, service) < reserved_share;
        let allowed = !is_reserved && budget.allow(now, service, service);
        let label = match (allowed, is_reserved) {
            (true, _) => reason,
            (false, true) => "budget_reserved",
            (false, false) => "budget_spent",
        };
        self.metrics.count(MetricName::Retries, &[label]);
        allowed.then(|| RetryPermit { service: service.into(), taken: now })
    }

    /// Gives back a retry of a request that no endpoint has received.
    pub(crate) fn give_back_retry(&self, permit: &RetryPermit) {
        let RetryPermit { service, taken } = permit;
        self.retry_budget.borrow_mut().give_back(*taken, service, service);
        self.metrics.count(MetricName::Retries, &["given_back"]);
    }

    /// Adds the present share of the retry budget to its average, once the other hosts are known.
    pub fn update_retry_share(&self) {
        if self.peers.borrow().is_empty() {
            return;
        }
        let now = Instant::now();
        let share = self.present_share(now);
        let (hosts, window) = (self.host_count(), self.options.retry_window);
        self.retry_share.borrow_mut().update(share, hosts, window, now);
    }

    fn present_share(&self, now: Instant) -> f64 {
        let own = self.inflight.borrow().count() as u32;
        let others = self.peer_loads.borrow().streams(now);
        retry_share(self.host_count(), own, others)
    }

    /// Marks an endpoint as suspected until it answers a probe; returns whether a probe is due. An
    /// endpoint that has just answered a probe is not suspected.
    pub fn mark_suspected(&self, name: &EndpointName) -> bool {
        let now = Instant::now();
        if self.recently_probed.borrow().is_set(name, now) {
            return false;
        }
        !self.suspected.borrow_mut().set(name, now, now + SUSPECT_TIME)
    }

    /// Whether this host gets endpoint changes from the placement holder or a relay, and the
    /// registry has recently confirmed their table.
    pub fn is_following_holder(&self) -> bool {
        let has_members = self.relay_loads.borrow_mut().has_members(Instant::now());
        let max_age = if has_members { RELAY_MAX_CONFIRMED_AGE } else { MAX_CONFIRMED_AGE };
        let confirmed = self.holder_confirmed.get();
        !self.is_holder() && confirmed.is_some_and(|at| at.elapsed() < max_age)
    }

    /// Whether a placement holder has exchanged loads recently, with this host or with its relay.
    pub fn has_heard_holder(&self) -> bool {
        self.holder_heard.get().is_some_and(|at| at.elapsed() < HOLDER_HEARD_TIME)
    }

    /// When the registry last confirmed this host's endpoint table, by itself or through the host
    /// that sent the table.
    pub fn table_confirmed(&self) -> Option<Instant> {
        self.endpoints_confirmed.get().max(self.holder_confirmed.get())
    }

    /// Whether this host is the placement holder.
    pub fn is_holder(&self) -> bool {
        self.is_placing.get()
    }

    /// Wakes waiting streams to search for a path again, and waiting calls to look for a slot.
    pub fn wake_queue(&self) {
        self.call_lines.borrow().wake();
        if !self.path_queue.borrow().is_empty() || !self.objective_queues.borrow().is_empty() {
            self.path_changed.notify_waiters();
        }
    }

    /// Records that an endpoint has refused a stream; returns whether an earlier refusal still
    /// counts.
    pub fn mark_overloaded(&self, name: &EndpointName) -> bool {
        let now = Instant::now();
        self.overloaded.borrow_mut().set(name, now, now + OVERLOAD_TIME)
    }

    /// Excludes an endpoint that accepts no work although the registry lists it, since it is
    /// shutting down or no longer holds its layers. Returns whether the exclusion is new.
    pub fn mark_excluded(&self, name: &EndpointName) -> bool {
        let Some(entry) = self.endpoint(name) else { return false };
        self.exclusions.borrow_mut().exclude(&entry, EXCLUSION_TIME, Instant::now())
    }

    /// Whether an endpoint accepts work, as far as this host knows: it neither leaves nor is it
    /// down or excluded.
    pub fn accepts_work(&self, entry: &EndpointEntry, now: Instant) -> bool {
        accepts_work(
            entry,
            &self.notices.borrow(),
            &self.health.borrow(),
            &self.exclusions.borrow(),
            now,
        )
    }

    /// Clears the suspicion of an endpoint that has answered a probe.
    pub fn clear_suspicion(&self, name: &EndpointName) {
        let now = Instant::now();
        self.suspected.borrow_mut().clear(name);
        self.recently_probed.borrow_mut().set(name, now, now + PROBE_VALIDITY);
    }

    /// Drops what this host knows of endpoints that have ended, as a later start shows, and has
    /// their streams continue over other paths. An entry of another name that claims the address of
    /// an endpoint shows nothing by itself: unless the endpoint is known to be down, it is asked.
    pub fn forget_ended(&self) {
        let ended = self.endpoints.borrow_mut().take_ended();
        for name in ended {
            let has_later_start = self.endpoint(&name).is_some();
            if !has_later_start && !self.is_known_down(&name) {
                continue;
            }
            let streams = self.inflight.borrow().request_reroute_through(&name);
            log::info!(
                event = "endpoint_replaced", endpoint = &*name, streams;
                "a later start has taken over the endpoint's name or address"
            );
            if has_later_start {
                self.health.borrow_mut().forget(&name);
            } else {
                self.health.borrow_mut().record_replaced(&name, Instant::now());
            }
            for flags in [&self.suspected, &self.recently_probed, &self.overloaded] {
                flags.borrow_mut().clear(&name);
            }
        }
    }

    /// Whether an endpoint did not reply when it was last called.
    fn is_known_down(&self, name: &str) -> bool {
        let health = self.health.borrow();
        health.is_down(name) || health.ended_at(name).is_some()
    }

    /// Removes flags and exclusions of endpoints that are no longer listed.
    pub fn prune_unlisted(&self) {
        let endpoints = self.endpoints.borrow();
        for flags in [&self.suspected, &self.recently_probed, &self.overloaded] {
            flags.borrow_mut().retain(|name| endpoints.get(name).is_some());
        }
        self.exclusions.borrow_mut().retain(|name| endpoints.get(name).is_some());
        self.down_table.borrow_mut().retain(|name| endpoints.get(name).is_some());
        let now = Instant::now();
        let served: BTreeSet<&str> = endpoints.entries().map(|entry| &*entry.service).collect();
        let peers = self.peers.borrow();
        self.reach.borrow_mut().retain(
            |service| served.contains(service),
            |host| peers.contains_key(host),
            now,
        );
        self.reach_changed.notify_waiters();
        self.notices.borrow_mut().prune(|name| endpoints.get(name).is_some(), now);
        let mut rates = self.rates.borrow_mut();
        rates.prune(|name| endpoints.get(name).is_some(), now);
        self.permits.borrow_mut().retain(|start| rates.limit_per_s(start).is_some());
    }

    /// Whether an endpoint leaves, as the registry lists it or as it says itself.
    pub fn is_leaving_endpoint(&self, entry: &EndpointEntry) -> bool {
        is_leaving(entry, &self.notices.borrow())
    }

    /// When the first of a service's endpoints takes a request again, as far as known, if none of
    /// those that could take one does at present: they have asked for a pause, or this host has no
    /// permit of their rate limit, for which `ahead` requests wait already. `can_start` tells which
    /// could.
    pub fn first_opening(
        &self,
        service: &str,
        ahead: u32,
        can_start: impl Fn(&EndpointEntry) -> bool,
    ) -> Option<Instant> {
        let now = Instant::now();
        let (endpoints, health) = (self.endpoints.borrow(), self.health.borrow());
        let (notices, rates) = (self.notices.borrow(), self.rates.borrow());
        let hosts = self.host_count();
        let candidates = endpoints.entries().filter(|entry| {
            &*entry.service == service
                && !self.is_leaving_endpoint(entry)
                && !health.is_down(&entry.name)
                && can_start(entry)
        });
        let mut first = None;
        for entry in candidates {
            let delay = rates.permit_delay(entry.start(), hosts, ahead, now);
            let until = notices
                .paused_until(entry.start(), now)
                .max(delay.and_then(|delay| now.checked_add(delay)))?;
            first = Some(first.map_or(until, |first: Instant| first.min(until)));
        }
        first
    }

    /// Logs a change of an endpoint's rate limit, and lets streams that wait look again.
    pub fn note_rate(&self, name: &str, source: &str, change: Option<RateChange>) {
        let Some(RateChange { before, after, sent, held_back, is_logged }) = change else { return };
        if is_logged {
            log::info!(
                event = "rate_limit", endpoint = name, source, per_s:? = after, before:? = before,
                sent, held_back;
                "endpoint has changed the requests that it takes from all hosts together"
            );
        }
        if before.is_none() {
            self.metrics.count(MetricName::Ejections, &["rate_limited"]);
        }
        if after.is_none() {
            self.path_changed.notify_waiters();
        }
    }

    /// Records the endpoints at which a stream would have started but for their rate limits. `first`
    /// is where it starts instead, if anywhere; hosts start streams in their own failure domain if
    /// they can.
    pub fn record_held_back(&self, service: &str, first: Option<&PathStage>) {
        let now = Instant::now();
        let mut rates = self.rates.borrow_mut();
        let is_home = first.is_some_and(|stage| stage.domain == self.options.domain);
        let starts: Vec<EndpointName> = {
            let endpoints = self.endpoints.borrow();
            let entries = rates.exhausted(now).filter_map(|start| endpoints.get(start.name));
            let wanted = entries.filter(|entry| {
                &*entry.service == service
                    && entry.layers.is_none_or(|span| span.from == 0 && span.count() > 0)
                    && (!is_home || entry.domain == self.options.domain)
                    && first.is_none_or(|stage| stage.name != entry.name)
                    && self.accepts_work(entry, now)
            });
            wanted.map(|entry| entry.name.clone()).collect()
        };
        for name in starts {
            if let Some(entry) = self.endpoint(&name) {
                rates.record_held_back(entry.start(), now);
                self.metrics.count(MetricName::RatePermits, &["held_back"]);
            }
        }
    }

    /// Whether an endpoint, at which a send was over at the given time, is known to have ended: its
    /// entry is of another start, or its address has shown so since.
    pub fn has_ended_since(&self, endpoint: EndpointStart<'_>, at: Instant) -> bool {
        let is_other_start = self
            .endpoint(endpoint.name)
            .is_some_and(|entry| entry.start_unix_ms != endpoint.start_unix_ms);
        let health = self.health.borrow();
        let has_shown = health.ended_at(endpoint.name).is_some_and(|ended| ended >= at);
        is_other_start || has_shown || health.is_replaced(endpoint.name)
    }

    /// Whether a later stage of a path is known to have ended, or has left the registry.
    pub fn has_ended(&self, stage: &PathStage) -> bool {
        let entry = self.endpoint(&stage.name);
        let entry = entry.filter(|entry| entry.start_unix_ms == stage.start_unix_ms);
        let is_replaced = entry.is_none_or(|entry| self.is_replaced(&entry));
        is_replaced || self.health.borrow().ended_at(&stage.name).is_some()
    }

    /// Records that an endpoint has ended without having left: the streams that it cut are evidence
    /// against the parts of their prompts.
    pub fn record_crash(&self, entry: &EndpointEntry) {
        if !self.is_leaving_endpoint(entry) {
            self.change_poison(|table, now| table.confirm_end(entry.start(), now));
        }
    }

    /// Changes the evidence on suspects, and logs those that are blamed from then on.
    pub fn change_poison(&self, change: impl FnOnce(&mut PoisonTable, Instant)) {
        let now = Instant::now();
        let mut table = self.poison.borrow_mut();
        change(&mut table, now);
        log_blames(&mut table, now);
    }

    /// Whether a later start is listed under an endpoint's name, or replies at its address.
    pub fn is_replaced(&self, entry: &EndpointEntry) -> bool {
        let listed = self.endpoint(&entry.name);
        listed.is_some_and(|listed| listed.start_unix_ms > entry.start_unix_ms)
            || self.health.borrow().is_replaced(&entry.name)
    }

    /// Registry entry of an endpoint.
    pub fn endpoint(&self, name: &str) -> Option<EndpointEntry> {
        self.endpoints.borrow().get(name).cloned()
    }
}

/// A retry that was taken from the budget.
#[derive(Debug)]
pub(crate) struct RetryPermit {
    service: ServiceName,
    taken: Instant,
}

/// Logs the suspects that are blamed since the last call.
pub(crate) fn log_blames(table: &mut PoisonTable, now: Instant) {
    for blamed in table.take_new_blames(now) {
        let event = if blamed.is_request() { "request_blamed" } else { "part_blamed" };
        log::warn!(
            event, part = &*blamed.suspect, crashes = blamed.crashes,
            since_ms = blamed.since.as_millis() as u64;
            "what crashes endpoints is refused from now on"
        );
    }
}

/// Limits of a host with the given share of the budget. Only the slack is divided between hosts:
/// each host already counts its own first attempts for the ratio.
fn budget_options(options: &EntryOptions, share: f64) -> BudgetOptions {
    let slack = f64::from(options.retry_slack) * BUDGET_SHARE * share;
    BudgetOptions {
        ratio: options.retry_ratio * BUDGET_SHARE,
        slack: slack.round() as u32,
        window_buckets: options.retry_window.as_secs().max(1) as u32,
        enforced: true,
    }
}
