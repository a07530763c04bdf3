//! A router's view of every endpoint: status reports, its own requests in flight, health, and
//! whether the endpoint is leaving.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::attempt::SmoothedTime;
use crate::avoid::AvoidSet;
use crate::chain::{ChainPlanner, PlannedChain, PlannerOptions, StageCandidate};
use crate::declaration::{EndpointDeclaration, ModelDeclaration};
use crate::effective::{EffectiveConfig, ServiceTarget};
use crate::ejection::{EjectionOptions, EjectionTable, EndpointHealth};
use crate::endpoint::{CallFailure, EngineStatus, PriorityClass};
use crate::ids::{ConfigRevision, DomainName, EndpointName, LayerIndex, ServiceName};
use crate::link::LinkTable;
use crate::metrics::{MetricName, MetricRegistry};
use crate::operator::EndpointStatus;
use crate::prefix::PrefixIndex;

/// Assumed seconds for one token in a stage before the first observation.
const INITIAL_STAGE_SECONDS: f64 = 0.02;

/// Lower bound of the estimated seconds for one token in a stage.
const MIN_STAGE_SECONDS: f64 = 0.000_1;

/// Fraction of the prediction error that one observed token corrects.
const LEARNING_RATE: f64 = 0.05;

/// Assumed fraction of a stage's time that a cached prefix saves.
const PREFIX_HIT_SAVING: f64 = 0.15;

/// Penalty in seconds for each failure since the last success.
const FAILURE_PENALTY_SECONDS: f64 = 0.05;

/// Time for which reports don't clear an endpoint's refusal, as they may date from before it.
const REFUSAL_HOLD: Duration = Duration::from_secs(1);

/// Time after its refusal at which an endpoint that sends no reports is tried again.
const REFUSAL_RETRY: Duration = Duration::from_secs(30);

/// Weight of the newest token in the smoothed slowdown of a priority class.
const SLOWDOWN_WEIGHT: f64 = 0.005;

/// Number of observed tokens at which the time estimate of a stage counts as known.
const MIN_TOKEN_OBSERVATIONS: u32 = 200;

/// Assumed seconds for a call to a plain service before the first observation.
const INITIAL_CALL_SECONDS: f64 = 0.005;

/// Assumed reply time of a status call before the first observation.
const INITIAL_REPLY_TIME: Duration = Duration::from_millis(40);

/// Weight of the newest call in the smoothed latency of a plain endpoint.
const CALL_SMOOTHING_WEIGHT: f64 = 0.1;

/// Options of an [`EndpointFleet`].
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Options of the chain planner.
    pub planner: PlannerOptions,
    /// Options of endpoint ejection.
    pub ejection: EjectionOptions,
    /// Interval between polls of an engine that is not known to accept work, and shortest interval
    /// between polls of any engine.
    pub poll_interval: Duration,
    /// Polls per second over all engines that are known to accept work.
    pub polls_per_second: u32,
    /// Whether routes use only endpoints that report the declared version.
    pub match_version: bool,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            planner: PlannerOptions::default(),
            ejection: EjectionOptions::default(),
            poll_interval: Duration::from_millis(500),
            polls_per_second: 20,
            match_version: true,
        }
    }
}

/// Capacity and load of a model's engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelLoad {
    /// Slots of all engines in use. As a request is at one stage at a time, this many requests
    /// fill them.
    pub slots: u32,
    /// Requests in flight at these engines, from every host.
    pub running: u32,
}

/// Source that reported an endpoint as leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeavingSource {
    /// The platform's endpoint list.
    PlatformList,
    /// A drain mark, set by the controller or an operator.
    DrainMark,
}

/// Requirements that a chain is planned for.
#[derive(Clone, Debug)]
pub struct ChainRequest<'a> {
    /// Model to run.
    pub model: &'a ModelDeclaration,
    /// Text that the answer continues.
    pub prompt: &'a str,
    /// Endpoints and failure domains that failed during this request.
    pub avoid: &'a AvoidSet,
}

struct EndpointState {
    declaration: EndpointDeclaration,
    service: ServiceName,
    /// Name and version of the model that the endpoint should hold; empty for a plain service.
    declared_model: (Box<str>, Box<str>),
    is_engine: bool,
    slots: f64,
    report: Option<EngineStatus>,
    /// Requests of other routers, by the last report.
    other_load: f64,
    in_flight: u32,
    /// Estimated seconds for one token or call while the endpoint is otherwise idle.
    unloaded_seconds: f64,
    observations: u32,
    leaving: BTreeSet<LeavingSource>,
    refused_at: Option<Instant>,
    last_alive: Option<Instant>,
    last_failure: Option<Instant>,
    last_unresponsive: Option<Instant>,
    next_poll: Option<Instant>,
}

impl EndpointState {
    fn load(&self) -> f64 {
        self.other_load + f64::from(self.in_flight)
    }

    /// Factor by which the current load lengthens the time of a token or call.
    fn load_factor(&self) -> f64 {
        1.0 + self.load() / self.slots
    }

    /// Whether the engine reports the declared model and version and has no refusal in effect.
    fn is_available(&self) -> bool {
        let is_match = |report: &EngineStatus| {
            report.model == self.declared_model.0 && report.version == self.declared_model.1
        };
        self.refused_at.is_none() && self.report.as_ref().is_some_and(is_match)
    }

    /// Whether the endpoint has been alive since its last failure. Always true for plain endpoints,
    /// which send no status reports.
    fn has_replied_since_failure(&self) -> bool {
        !self.is_engine || self.last_alive > self.last_failure
    }

    fn is_leaving(&self, now: Instant) -> bool {
        let is_refusing =
            self.refused_at.is_some_and(|at| self.is_engine || now < at + REFUSAL_RETRY);
        is_refusing || !self.leaving.is_empty()
    }
}

/// State and decisions of [`EndpointFleet`], free of I/O.
pub(crate) struct FleetState {
    options: FleetOptions,
    revision: ConfigRevision,
    endpoints: BTreeMap<EndpointName, EndpointState>,
    links: LinkTable,
    ejections: EjectionTable,
    planner: ChainPlanner,
    reply_time: SmoothedTime,
    slowdowns: BTreeMap<PriorityClass, f64>,
    prefixes: PrefixIndex,
    metrics: Rc<MetricRegistry>,
}

/// A router's view of the endpoints in the configuration in force.
///
/// Cheap to clone; the clones share one state and stay on one thread.
///
/// ```
/// use jacinthrock::{EffectiveConfig, EndpointFleet, FleetOptions, MetricRegistry};
/// use std::rc::Rc;
/// use tokio::time::Instant;
///
/// let fleet = EndpointFleet::new(FleetOptions::default(), Rc::new(MetricRegistry::new()));
/// fleet.apply_config(&EffectiveConfig::default());
/// assert!(fleet.engines_to_poll(Instant::now()).is_empty());
/// ```
#[derive(Clone)]
pub struct EndpointFleet {
    state: Rc<RefCell<FleetState>>,
    unresponsive: Rc<Notify>,
}

/// Counts a request of this router as in flight at its endpoints until dropped.
pub struct InFlightGuard {
    state: Rc<RefCell<FleetState>>,
    endpoints: Vec<EndpointName>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        for endpoint in &self.endpoints {
            state.remove_in_flight(endpoint);
        }
    }
}

impl EndpointFleet {
    /// Creates a fleet without endpoints.
    pub fn new(options: FleetOptions, metrics: Rc<MetricRegistry>) -> Self {
        let state = Rc::new(RefCell::new(FleetState::new(options, metrics)));
        Self { state, unresponsive: Rc::default() }
    }

    /// Applies the endpoints and links of a configuration; ignores one with an older revision than
    /// the last.
    pub fn apply_config(&self, config: &EffectiveConfig) {
        self.state.borrow_mut().apply_config(config);
    }

    /// Records an engine's status report, whose load lags behind the actual one.
    pub fn observe_status(&self, now: Instant, status: EngineStatus) {
        self.state.borrow_mut().observe_status(now, status);
    }

    /// Records a failed call to an endpoint.
    pub fn observe_failure(&self, now: Instant, endpoint: &str, failure: &CallFailure) {
        self.state.borrow_mut().observe_failure(now, endpoint, failure);
    }

    /// Sets whether one source reports an endpoint as leaving.
    pub fn set_leaving(&self, endpoint: &str, source: LeavingSource, leaving: bool) {
        self.state.borrow_mut().set_leaving(endpoint, source, leaving);
    }

    /// Names and addresses of the engines whose poll is due; schedules the next poll of each.
    pub fn engines_to_poll(&self, now: Instant) -> Vec<(EndpointName, Box<str>)> {
        self.state.borrow_mut().engines_to_poll(now)
    }

    /// Chooses a chain for a request; `None` if no chain is available.
    pub fn plan(&self, now: Instant, request: &ChainRequest<'_>) -> Option<PlannedChain> {
        self.state.borrow_mut().plan(now, request)
    }

    /// Counts a request as in flight at these endpoints until the guard is dropped.
    pub fn track_in_flight(
        &self,
        endpoints: impl IntoIterator<Item = EndpointName>,
    ) -> InFlightGuard {
        let endpoints: Vec<_> = endpoints.into_iter().collect();
        let mut state = self.state.borrow_mut();
        for endpoint in &endpoints {
            state.add_in_flight(endpoint);
        }
        InFlightGuard { state: self.state.clone(), endpoints }
    }

    /// Requests from this router in flight at an endpoint.
    pub fn in_flight(&self, endpoint: &str) -> u32 {
        self.with(|fleet| fleet.endpoints.get(endpoint).map_or(0, |state| state.in_flight))
    }

    /// Health of an endpoint.
    pub fn health(&self, now: Instant, endpoint: &str) -> EndpointHealth {
        self.with(|state| state.ejections.health(now, endpoint))
    }

    /// Whether any source, or a refusal of its own, says that the endpoint is leaving.
    pub fn is_leaving(&self, now: Instant, endpoint: &str) -> bool {
        self.with(|fleet| fleet.endpoints.get(endpoint).is_some_and(|state| state.is_leaving(now)))
    }

    /// Estimated seconds for one token in a stage without other requests.
    pub fn stage_seconds(&self, endpoint: &str) -> Option<f64> {
        self.with(|fleet| fleet.endpoints.get(endpoint).map(|state| state.unloaded_seconds))
    }

    /// Capacity and load of the engines that serve a model.
    pub fn model_load(&self, now: Instant, model: &ModelDeclaration) -> ModelLoad {
        self.state.borrow().model_load(now, model)
    }

    /// State of every endpoint, for the status page.
    pub(crate) fn summary(&self, now: Instant) -> Vec<EndpointStatus> {
        self.state.borrow().summary(now)
    }

    /// Records the failure of an engine that did not answer a probe, and wakes every answer that
    /// waits for the engine.
    pub(crate) fn mark_unresponsive(&self, now: Instant, endpoint: &str, weight: u32) {
        self.with(|state| {
            state.record_failure(now, endpoint, weight, "frozen");
            state.record_unresponsive(now, endpoint);
        });
        self.unresponsive.notify_waiters();
    }

    /// Waits until one of the endpoints was found unresponsive after `since`; returns its name.
    pub(crate) async fn unresponsive_since(
        &self,
        since: Instant,
        endpoints: &[EndpointName],
    ) -> EndpointName {
        loop {
            let notified = self.unresponsive.notified();
            let is_unresponsive =
                |name: &&EndpointName| self.with(|state| state.was_unresponsive_since(since, name));
            if let Some(endpoint) = endpoints.iter().find(is_unresponsive) {
                return endpoint.clone();
            }
            notified.await;
        }
    }

    /// Runs `action` with exclusive access to the state.
    pub(crate) fn with<T>(&self, action: impl FnOnce(&mut FleetState) -> T) -> T {
        action(&mut self.state.borrow_mut())
    }
}

impl FleetState {
    fn new(options: FleetOptions, metrics: Rc<MetricRegistry>) -> Self {
        Self {
            revision: 0,
            endpoints: BTreeMap::new(),
            links: LinkTable::default(),
            ejections: EjectionTable::new(options.ejection.clone()),
            planner: ChainPlanner::new(options.planner.clone()),
            reply_time: SmoothedTime::new(INITIAL_REPLY_TIME),
            slowdowns: BTreeMap::new(),
            prefixes: PrefixIndex::default(),
            options,
            metrics,
        }
    }

    fn apply_config(&mut self, config: &EffectiveConfig) {
        if config.revision < self.revision {
            return;
        }
        self.revision = config.revision;
        self.links.declare(&config.links);
        let mut earlier = std::mem::take(&mut self.endpoints);
        for service in config.services.values() {
            let (endpoints, slots, is_engine) = match &service.target {
                ServiceTarget::Model(model) => (&model.endpoints, model.endpoint_slots, true),
                ServiceTarget::Plain(plain) => (&plain.endpoints, plain.endpoint_slots, false),
            };
            let declared_model = match &service.target {
                ServiceTarget::Model(model) => (model.name.clone(), model.version.clone()),
                ServiceTarget::Plain(_) => Default::default(),
            };
            for declaration in endpoints {
                let kept = earlier.remove(&declaration.name);
                let mut state = kept.unwrap_or_else(|| initial_state(declaration, is_engine));
                state.declaration = declaration.clone();
                state.service = service.name.clone();
                state.declared_model = declared_model.clone();
                state.slots = f64::from(slots.max(1));
                if !is_engine {
                    self.ejections.assign_pool(&declaration.name, &service.name);
                }
                self.endpoints.insert(declaration.name.clone(), state);
            }
        }
        for endpoint in earlier.keys() {
            self.ejections.remove(endpoint);
        }
    }

    fn observe_status(&mut self, now: Instant, status: EngineStatus) {
        let Some(state) = self.endpoints.get_mut(&status.endpoint) else {
            return;
        };
        // The report already includes the requests that this router sent before it.
        let reported = f64::from(status.running) + f64::from(status.waiting);
        state.other_load = (reported - f64::from(state.in_flight)).max(0.0);
        state.last_alive = Some(now);
        if status.leaving {
            state.refused_at = Some(now);
        } else if state.refused_at.is_some_and(|at| now >= at + REFUSAL_HOLD) {
            state.refused_at = None;
        }
        let pool = format!("{}/{}-{}", state.service, status.first_layer, status.last_layer);
        self.ejections.assign_pool(&status.endpoint, &pool);
        state.report = Some(status);
    }

    fn observe_failure(&mut self, now: Instant, endpoint: &str, failure: &CallFailure) {
        match failure {
            CallFailure::NotSent(_) => self.record_failure(now, endpoint, 2, "not_sent"),
            CallFailure::Broken(_) => self.record_failure(now, endpoint, 1, "broken"),
            CallFailure::Refused { leaving: true, .. } => self.record_refusal(now, endpoint),
            CallFailure::Refused { leaving: false, .. } => {}
        }
    }

    fn record_refusal(&mut self, now: Instant, endpoint: &str) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.refused_at = Some(now);
        }
    }

    pub(crate) fn record_failure(
        &mut self,
        now: Instant,
        endpoint: &str,
        weight: u32,
        reason: &str,
    ) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.last_failure = Some(now);
        }
        if self.ejections.record_failure(now, endpoint, weight) {
            self.metrics.count(MetricName::Ejections, &[reason]);
        }
    }

    /// Discards an engine's status report because a later answer contradicted it.
    pub(crate) fn discard_report(&mut self, endpoint: &str) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.report = None;
        }
    }

    /// Records that an endpoint answered, whatever the answer: it is alive and healthy.
    pub(crate) fn record_success(&mut self, now: Instant, endpoint: &str) {
        self.ejections.record_success(endpoint);
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.last_alive = Some(now);
        }
    }

    fn record_unresponsive(&mut self, now: Instant, endpoint: &str) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.last_unresponsive = Some(now);
        }
    }

    fn was_unresponsive_since(&self, since: Instant, endpoint: &str) -> bool {
        let state = self.endpoints.get(endpoint);
        state.and_then(|state| state.last_unresponsive).is_some_and(|at| at > since)
    }

    pub(crate) fn observe_reply(&mut self, elapsed: Duration) {
        self.reply_time.observe(elapsed);
    }

    /// Time after which an engine's reply is overdue, from the observed reply times.
    pub(crate) fn reply_overdue(&self) -> Duration {
        self.reply_time.overdue()
    }

    pub(crate) fn was_alive_since(&self, since: Instant, endpoint: &str) -> bool {
        let state = self.endpoints.get(endpoint);
        state.and_then(|state| state.last_alive).is_some_and(|at| at >= since)
    }

    pub(crate) fn jitter(&mut self) -> f64 {
        self.planner.jitter()
    }

    fn set_leaving(&mut self, endpoint: &str, source: LeavingSource, leaving: bool) {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if leaving {
            state.leaving.insert(source);
        } else {
            state.leaving.remove(&source);
        }
    }

    fn engines_to_poll(&mut self, now: Instant) -> Vec<(EndpointName, Box<str>)> {
        let engines = self.endpoints.values().filter(|state| state.is_engine).count() as u32;
        let rate_interval = Duration::from_secs(1) * engines / self.options.polls_per_second.max(1);
        let interval = self.options.poll_interval.max(rate_interval);
        let mut targets = Vec::new();
        for (name, state) in &mut self.endpoints {
            if !state.is_engine || state.next_poll.is_some_and(|at| now < at) {
                continue;
            }
            let is_available = state.is_available() && self.ejections.failures(name) == 0;
            let delay = if is_available { interval } else { self.options.poll_interval };
            state.next_poll = Some(now + delay.mul_f64(self.planner.jitter()));
            targets.push((name.clone(), state.declaration.address.clone()));
        }
        targets
    }

    fn model_load(&self, now: Instant, model: &ModelDeclaration) -> ModelLoad {
        let mut slots = 0.0;
        let mut running = 0.0;
        for declaration in &model.endpoints {
            let Some(state) = self.endpoints.get(&declaration.name) else {
                continue;
            };
            let Some((first, last)) = self.usable_range(model, state) else {
                continue;
            };
            let is_ejected =
                self.ejections.health(now, &declaration.name) == EndpointHealth::Ejected;
            if is_ejected || state.is_leaving(now) {
                continue;
            }
            let layer_share = f64::from(last - first + 1) / f64::from(model.layers);
            slots += state.slots;
            running += state.load() * layer_share;
        }
        ModelLoad { slots: slots.round() as u32, running: running.round() as u32 }
    }

    fn summary(&self, now: Instant) -> Vec<EndpointStatus> {
        let status = |(name, state): (&EndpointName, &EndpointState)| {
            let health = self.ejections.health(now, name);
            let label = match health {
                _ if state.is_leaving(now) => "leaving",
                _ if state.is_engine && state.report.is_none() => "unreported",
                EndpointHealth::Healthy => "healthy",
                EndpointHealth::Probing => "probing",
                EndpointHealth::Ejected => "ejected",
            };
            EndpointStatus { endpoint: name.clone(), state: label.into() }
        };
        self.endpoints.iter().map(status).collect()
    }

    fn add_in_flight(&mut self, endpoint: &str) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.in_flight += 1;
        }
    }

    fn remove_in_flight(&mut self, endpoint: &str) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    fn plan(&mut self, now: Instant, request: &ChainRequest<'_>) -> Option<PlannedChain> {
        let layers = request.model.layers;
        let healthy = self.candidates(now, request, false);
        let chain = self.planner.plan(layers, &healthy, &self.links);
        let chain = chain.or_else(|| {
            let all = self.candidates(now, request, true);
            self.planner.plan(layers, &all, &self.links)
        })?;
        let endpoints = chain.stages.iter().map(|stage| stage.endpoint.clone());
        self.prefixes.record(now, &request.model.name, request.prompt, endpoints);
        Some(chain)
    }

    fn candidates(
        &self,
        now: Instant,
        request: &ChainRequest<'_>,
        include_ejected: bool,
    ) -> Vec<StageCandidate> {
        let holders = self.prefixes.holders(now, &request.model.name, request.prompt);
        let mut candidates = Vec::new();
        for declaration in &request.model.endpoints {
            let Some(state) = self.endpoints.get(&declaration.name) else {
                continue;
            };
            let Some((first, last)) = self.usable_range(request.model, state) else {
                continue;
            };
            if state.is_leaving(now) || request.avoid.excludes(&declaration.name) {
                continue;
            }
            if !include_ejected && !self.is_eligible(now, state) {
                continue;
            }
            let saving = if holders.contains(&*declaration.name) { PREFIX_HIT_SAVING } else { 0.0 };
            let failures = f64::from(self.ejections.failures(&declaration.name).min(20));
            let avoid_penalty = request.avoid.penalty(&declaration.name, &declaration.domain);
            candidates.push(StageCandidate {
                endpoint: declaration.name.clone(),
                address: declaration.address.clone(),
                domain: declaration.domain.clone(),
                first_layer: first,
                last_layer: last,
                token_seconds: state.unloaded_seconds * state.load_factor(),
                penalty: avoid_penalty + failures * FAILURE_PENALTY_SECONDS
                    - saving * state.unloaded_seconds,
                in_flight: state.in_flight,
                load: state.load(),
            });
        }
        candidates
    }

    /// Layer range that an engine reports, if it is valid and reported for the declared model and
    /// version.
    fn usable_range(
        &self,
        model: &ModelDeclaration,
        state: &EndpointState,
    ) -> Option<(LayerIndex, LayerIndex)> {
        let report = state.report.as_ref()?;
        if report.model != model.name {
            return None;
        }
        if self.options.match_version && report.version != model.version {
            return None;
        }
        let is_valid = report.first_layer <= report.last_layer && report.last_layer < model.layers;
        is_valid.then_some((report.first_layer, report.last_layer))
    }

    /// Whether the endpoint's health allows new work. An endpoint that is probing must be idle and
    /// have been alive since its last failure.
    fn is_eligible(&self, now: Instant, state: &EndpointState) -> bool {
        match self.ejections.health(now, &state.declaration.name) {
            EndpointHealth::Healthy => true,
            EndpointHealth::Probing => state.in_flight == 0 && state.has_replied_since_failure(),
            EndpointHealth::Ejected => false,
        }
    }

    /// Updates the time estimates from the time between two tokens of a chain.
    pub(crate) fn observe_token(
        &mut self,
        now: Instant,
        chain: &PlannedChain,
        priority: PriorityClass,
        elapsed: Duration,
    ) {
        let predicted = self.predicted_token_seconds(chain);
        let error = elapsed.as_secs_f64() - predicted;
        let slowdown = self.slowdowns.entry(priority).or_insert(1.0);
        *slowdown += SLOWDOWN_WEIGHT * (elapsed.as_secs_f64() / predicted - *slowdown);
        let part_count = (chain.stages.len() + chain.hops().count()) as f64;
        for (from, to) in chain.hops() {
            self.links.correct(from, to, error / part_count);
        }
        for stage in &chain.stages {
            self.record_success(now, &stage.endpoint);
            let Some(state) = self.endpoints.get_mut(&stage.endpoint) else {
                continue;
            };
            state.observations = state.observations.saturating_add(1);
            let load_factor = state.load_factor();
            let change = LEARNING_RATE * error / part_count / load_factor;
            state.unloaded_seconds = (state.unloaded_seconds + change).max(MIN_STAGE_SECONDS);
        }
    }

    /// Ratio of the observed token time of a priority class to the predicted one, which is the
    /// average over all classes; 1 before the first observation.
    pub(crate) fn slowdown(&self, priority: PriorityClass) -> f64 {
        self.slowdowns.get(&priority).copied().unwrap_or(1.0)
    }

    /// Whether the token time of the chain is known: every stage has requests of this router in
    /// flight and enough observations. The time of an idle chain never counts as known, so that the
    /// chain is tried and a wrong estimate gets corrected.
    pub(crate) fn is_time_known(&self, chain: &PlannedChain) -> bool {
        chain.stages.iter().all(|stage| {
            let state = self.endpoints.get(&stage.endpoint);
            state.is_some_and(|state| {
                state.in_flight > 0 && state.observations >= MIN_TOKEN_OBSERVATIONS
            })
        })
    }

    fn predicted_token_seconds(&self, chain: &PlannedChain) -> f64 {
        let stages = chain.stages.iter().filter_map(|stage| self.endpoints.get(&stage.endpoint));
        let hops = chain.hops().map(|(from, to)| self.links.seconds(from, to));
        stages.map(|state| state.unloaded_seconds * state.load_factor()).sum::<f64>()
            + hops.sum::<f64>()
    }

    /// Endpoints of a plain service that accept calls, each with its cost. Includes ejected
    /// endpoints only if no other is available.
    pub(crate) fn plain_candidates(
        &self,
        now: Instant,
        service: &str,
        tried: &BTreeSet<EndpointName>,
    ) -> Vec<(EndpointDeclaration, f64)> {
        let is_match = |state: &&EndpointState| {
            *state.service == *service
                && !state.is_engine
                && !state.is_leaving(now)
                && !tried.contains(&state.declaration.name)
        };
        let available: Vec<_> = self.endpoints.values().filter(is_match).collect();
        let healthy = available.iter().filter(|state| self.is_eligible(now, state));
        let mut chosen: Vec<_> = healthy.copied().collect();
        if chosen.is_empty() {
            chosen = available;
        }
        let cost = |state: &EndpointState| state.unloaded_seconds * state.load_factor();
        chosen.into_iter().map(|state| (state.declaration.clone(), cost(state))).collect()
    }

    pub(crate) fn domain(&self, endpoint: &str) -> Option<DomainName> {
        self.endpoints.get(endpoint).map(|state| state.declaration.domain.clone())
    }

    pub(crate) fn address(&self, endpoint: &str) -> Option<Box<str>> {
        self.endpoints.get(endpoint).map(|state| state.declaration.address.clone())
    }

    pub(crate) fn random_index(&mut self, bound: usize) -> usize {
        self.planner.random_index(bound)
    }

    pub(crate) fn start_call(&mut self, endpoint: &str) {
        self.add_in_flight(endpoint);
    }

    pub(crate) fn finish_call(
        &mut self,
        now: Instant,
        endpoint: &str,
        elapsed: Duration,
        failure: Option<&CallFailure>,
    ) {
        self.remove_in_flight(endpoint);
        if let Some(failure) = failure {
            self.observe_failure(now, endpoint, failure);
            return;
        }
        self.record_success(now, endpoint);
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.unloaded_seconds +=
                CALL_SMOOTHING_WEIGHT * (elapsed.as_secs_f64() - state.unloaded_seconds);
        }
    }
}

fn initial_state(declaration: &EndpointDeclaration, is_engine: bool) -> EndpointState {
    EndpointState {
        declaration: declaration.clone(),
        service: "".into(),
        declared_model: Default::default(),
        is_engine,
        slots: 1.0,
        report: None,
        other_load: 0.0,
        in_flight: 0,
        observations: 0,
        unloaded_seconds: if is_engine { INITIAL_STAGE_SECONDS } else { INITIAL_CALL_SECONDS },
        leaving: BTreeSet::new(),
        refused_at: None,
        last_alive: None,
        last_failure: None,
        last_unresponsive: None,
        next_poll: None,
    }
}
