//! A router's view of every endpoint: reports, own requests in flight, health and leaving.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::attempt::SmoothedTime;
use crate::avoid::AvoidSet;
use crate::chain::{ChainPlanner, PlannedChain, PlannerOptions, StageCandidate};
use crate::counters::{CounterRegistry, MetricName};
use crate::declaration::{EndpointDeclaration, ModelDeclaration};
use crate::effective::{EffectiveConfig, ServiceTarget};
use crate::ejection::{EjectionOptions, EjectionTable, EndpointHealth};
use crate::endpoint::{CallFailure, EngineStatus, PriorityClass};
use crate::ids::{ConfigRevision, DomainName, EndpointName, LayerIndex, ServiceName};
use crate::link::LinkTable;
use crate::operator::EndpointLine;
use crate::prefix::PrefixMemory;

/// Seconds that a token takes in a stage of which nothing was observed yet.
const UNOBSERVED_STAGE_SECONDS: f64 = 0.02;

/// Least seconds that a stage is taken to need for a token.
const LEAST_STAGE_SECONDS: f64 = 0.000_1;

/// Share of each error that one observed token corrects.
const LEARNING_RATE: f64 = 0.05;

/// Share of the time of a stage that a cached prefix is taken to save.
const PREFIX_SAVING: f64 = 0.15;

/// Seconds of penalty for each strike since the last success.
const STRIKE_PENALTY_SECONDS: f64 = 0.05;

/// Time after an endpoint's own refusal in which no report of it clears the refusal.
const REFUSAL_HOLD: Duration = Duration::from_secs(1);

/// Time after which an endpoint that gives no reports is tried again after its refusal.
const REFUSAL_RETRY: Duration = Duration::from_secs(30);

/// Weight of the newest token in how much longer a priority's tokens take than the average one.
const STRETCH_WEIGHT: f64 = 0.005;

/// Tokens after which the time of a stage counts as known.
const KNOWN_OBSERVATIONS: u32 = 200;

/// Seconds that a call to a plain service takes of which nothing was observed yet.
const UNOBSERVED_CALL_SECONDS: f64 = 0.005;

/// Time of an engine's reply to a status call before one was observed.
const UNOBSERVED_REPLY: Duration = Duration::from_millis(40);

/// Weight of the newest call in the smoothed latency of a plain service.
const CALL_SMOOTHING: f64 = 0.1;

/// Options of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// How chains are chosen.
    pub planner: PlannerOptions,
    /// Thresholds of ejection.
    pub ejection: EjectionOptions,
    /// Time between two polls of an engine that has yet to show that it takes work, and shortest
    /// time between two polls of any.
    pub poll_interval: Duration,
    /// Rate of polls over all engines that take work, in polls a second.
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

/// Room at a model's engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelLoad {
    /// Requests that fill the slots of the engines in use: each is at one stage at a time.
    pub slots: u32,
    /// Requests in flight over them, of every host.
    pub running: u32,
}

/// Who said that an endpoint is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeavingSource {
    /// The platform's list of hosts.
    PlatformList,
    /// The controller's drain mark.
    DrainMark,
}

/// What a chain is needed for.
#[derive(Clone, Debug)]
pub struct ChainDemand<'a> {
    /// Model to run.
    pub model: &'a ModelDeclaration,
    /// Text that the answer continues.
    pub prompt: &'a str,
    /// Endpoints and domains that failed in this request.
    pub avoid: &'a AvoidSet,
}

struct EndpointState {
    declaration: EndpointDeclaration,
    service: ServiceName,
    /// Model and version that the endpoint should hold; empty for a plain service.
    declared: (Box<str>, Box<str>),
    is_engine: bool,
    slots: f64,
    report: Option<EngineStatus>,
    others: f64,
    in_flight: u32,
    seconds: f64,
    observations: u32,
    leaving: BTreeSet<LeavingSource>,
    refused_at: Option<Instant>,
    last_alive: Option<Instant>,
    last_strike: Option<Instant>,
    last_silence: Option<Instant>,
    next_poll: Option<Instant>,
}

impl EndpointState {
    fn load(&self) -> f64 {
        self.others + f64::from(self.in_flight)
    }

    fn crowding(&self) -> f64 {
        1.0 + self.load() / self.slots
    }

    /// Whether the engine reports what is declared and refuses nothing.
    fn is_settled(&self) -> bool {
        let fits = |report: &EngineStatus| {
            report.model == self.declared.0 && report.version == self.declared.1
        };
        self.refused_at.is_none() && self.report.as_ref().is_some_and(fits)
    }

    /// Whether the endpoint gave a sign of life after its last strike; plain ones give none.
    fn has_answered(&self) -> bool {
        !self.is_engine || self.last_alive > self.last_strike
    }

    fn is_leaving(&self, now: Instant) -> bool {
        let refuses = self.refused_at.is_some_and(|at| self.is_engine || now < at + REFUSAL_RETRY);
        refuses || !self.leaving.is_empty()
    }
}

/// Decision core of [`EndpointFleet`].
pub(crate) struct FleetState {
    options: FleetOptions,
    revision: ConfigRevision,
    endpoints: BTreeMap<EndpointName, EndpointState>,
    links: LinkTable,
    ejections: EjectionTable,
    planner: ChainPlanner,
    reply_time: SmoothedTime,
    stretches: BTreeMap<PriorityClass, f64>,
    prefixes: PrefixMemory,
    counters: Rc<CounterRegistry>,
}

/// A router's view of the endpoints of the configuration in force.
///
/// Cheap to clone; the clones share one state and stay on one thread.
///
/// ```
/// use jacinthrock::{CounterRegistry, EffectiveConfig, EndpointFleet, FleetOptions};
/// use std::rc::Rc;
/// use tokio::time::Instant;
///
/// let fleet = EndpointFleet::new(FleetOptions::default(), Rc::new(CounterRegistry::new()));
/// fleet.apply_config(&EffectiveConfig::default());
/// assert!(fleet.status_targets(Instant::now()).is_empty());
/// ```
#[derive(Clone)]
pub struct EndpointFleet {
    state: Rc<RefCell<FleetState>>,
    silence: Rc<Notify>,
}

/// Requests of this router in flight at some endpoints; dropping it ends them.
pub struct InFlightGuard {
    state: Rc<RefCell<FleetState>>,
    endpoints: Vec<EndpointName>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        for endpoint in &self.endpoints {
            state.end_flight(endpoint);
        }
    }
}

impl EndpointFleet {
    /// A fleet without endpoints.
    pub fn new(options: FleetOptions, counters: Rc<CounterRegistry>) -> Self {
        let state = Rc::new(RefCell::new(FleetState::new(options, counters)));
        Self { state, silence: Rc::default() }
    }

    /// Takes the endpoints and links of a configuration; an older revision has no effect.
    pub fn apply_config(&self, config: &EffectiveConfig) {
        self.state.borrow_mut().apply_config(config);
    }

    /// Takes an engine's report; its load lags behind.
    pub fn observe_status(&self, now: Instant, status: EngineStatus) {
        self.state.borrow_mut().observe_status(now, status);
    }

    /// Takes a failed call to an endpoint.
    pub fn observe_failure(&self, now: Instant, endpoint: &str, failure: &CallFailure) {
        self.state.borrow_mut().observe_failure(now, endpoint, failure);
    }

    /// Takes or withdraws one source's word that an endpoint is leaving.
    pub fn set_leaving(&self, endpoint: &str, source: LeavingSource, leaving: bool) {
        self.state.borrow_mut().set_leaving(endpoint, source, leaving);
    }

    /// Engines to poll now, by name and address; each is due again after its interval.
    pub fn engines_to_poll(&self, now: Instant) -> Vec<(EndpointName, Box<str>)> {
        self.state.borrow_mut().engines_to_poll(now)
    }

    /// Chooses a chain for a request, or none where no chain is left.
    pub fn plan(&self, now: Instant, demand: &ChainDemand<'_>) -> Option<PlannedChain> {
        self.state.borrow_mut().plan(now, demand)
    }

    /// Counts a request in flight at some endpoints until the guard is dropped.
    pub fn track_in_flight(&self, endpoints: impl IntoIterator<Item = EndpointName>) -> InFlightGuard {
        let endpoints: Vec<_> = endpoints.into_iter().collect();
        let mut state = self.state.borrow_mut();
        for endpoint in &endpoints {
            state.track_in_flight(endpoint);
        }
        InFlightGuard { state: self.state.clone(), endpoints }
    }

    /// Requests of this router in flight at an endpoint.
    pub fn in_flight(&self, endpoint: &str) -> u32 {
        self.with(|state| state.endpoints.get(endpoint).map_or(0, |known| known.in_flight))
    }

    /// How an endpoint stands in the choice.
    pub fn health(&self, now: Instant, endpoint: &str) -> EndpointHealth {
        self.with(|state| state.ejections.health(now, endpoint))
    }

    /// Tells whether any source says that the endpoint is leaving.
    pub fn is_leaving(&self, now: Instant, endpoint: &str) -> bool {
        self.with(|state| state.endpoints.get(endpoint).is_some_and(|known| known.is_leaving(now)))
    }

    /// Seconds that a token is taken to need in a stage without other requests.
    pub fn stage_seconds(&self, endpoint: &str) -> Option<f64> {
        self.with(|state| state.endpoints.get(endpoint).map(|known| known.seconds))
    }

    /// Room at the engines of a model that are in use.
    pub fn model_load(&self, now: Instant, model: &ModelDeclaration) -> ModelLoad {
        self.state.borrow().model_load(now, model)
    }

    /// Every endpoint with what operators are told about it.
    pub(crate) fn summary(&self, now: Instant) -> Vec<EndpointLine> {
        self.state.borrow().summary(now)
    }

    /// Strikes an engine that did not answer, and tells every answer that waits for it.
    pub(crate) fn mark_unresponsive(&self, now: Instant, endpoint: &str, weight: u32) {
        self.with(|state| {
            state.record_failure(now, endpoint, weight, "frozen");
            state.note_silence(now, endpoint);
        });
        self.silence.notify_waiters();
    }

    /// Waits until one of the endpoints was found silent after `since`, and names it.
    pub(crate) async fn silent_since(
        &self,
        since: Instant,
        endpoints: &[EndpointName],
    ) -> EndpointName {
        loop {
            let found = self.silence.notified();
            let is_silent =
                |name: &&EndpointName| self.with(|state| state.was_silent_since(since, name));
            if let Some(endpoint) = endpoints.iter().find(is_silent) {
                return endpoint.clone();
            }
            found.await;
        }
    }

    pub(crate) fn with<T>(&self, action: impl FnOnce(&mut FleetState) -> T) -> T {
        action(&mut self.state.borrow_mut())
    }
}

impl FleetState {
    fn new(options: FleetOptions, counters: Rc<CounterRegistry>) -> Self {
        Self {
            revision: 0,
            endpoints: BTreeMap::new(),
            links: LinkTable::default(),
            ejections: EjectionTable::new(options.ejection.clone()),
            planner: ChainPlanner::new(options.planner.clone()),
            reply_time: SmoothedTime::new(UNOBSERVED_REPLY),
            stretches: BTreeMap::new(),
            prefixes: PrefixMemory::default(),
            options,
            counters,
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
            let declared = match &service.target {
                ServiceTarget::Model(model) => (model.name.clone(), model.version.clone()),
                ServiceTarget::Plain(_) => Default::default(),
            };
            for declaration in endpoints {
                let known = earlier.remove(&declaration.name);
                let mut state = known.unwrap_or_else(|| fresh_state(declaration, is_engine));
                state.declaration = declaration.clone();
                state.service = service.name.clone();
                state.declared = declared.clone();
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
        let Some(known) = self.endpoints.get_mut(&status.endpoint) else {
            return;
        };
        // The report already counts what this router sent before it.
        let reported = f64::from(status.running) + f64::from(status.waiting);
        known.others = (reported - f64::from(known.in_flight)).max(0.0);
        known.last_alive = Some(now);
        if status.leaving {
            known.refused_at = Some(now);
        } else if known.refused_at.is_some_and(|at| now >= at + REFUSAL_HOLD) {
            known.refused_at = None;
        }
        let pool = format!("{}/{}-{}", known.service, status.first_layer, status.last_layer);
        self.ejections.assign_pool(&status.endpoint, &pool);
        known.report = Some(status);
    }

    fn observe_failure(&mut self, now: Instant, endpoint: &str, failure: &CallFailure) {
        match failure {
            CallFailure::NotSent(_) => self.record_failure(now, endpoint, 2, "not_sent"),
            CallFailure::Broken(_) => self.record_failure(now, endpoint, 1, "broken"),
            CallFailure::Refused { leaving: true, .. } => self.refuse(now, endpoint),
            CallFailure::Refused { leaving: false, .. } => {}
        }
    }

    fn refuse(&mut self, now: Instant, endpoint: &str) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.refused_at = Some(now);
        }
    }

    pub(crate) fn record_failure(&mut self, now: Instant, endpoint: &str, weight: u32, reason: &str) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.last_strike = Some(now);
        }
        if self.ejections.record_failure(now, endpoint, weight) {
            self.counters.count(MetricName::Ejections, &[reason]);
        }
    }

    /// Forgets an engine's report, which its own stage report has contradicted.
    pub(crate) fn discard_report(&mut self, endpoint: &str) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.report = None;
        }
    }

    /// Takes an endpoint's answer of any kind as a sign of life and health.
    pub(crate) fn record_success(&mut self, now: Instant, endpoint: &str) {
        self.ejections.record_success(endpoint);
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.last_alive = Some(now);
        }
    }

    fn note_silence(&mut self, now: Instant, endpoint: &str) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.last_silence = Some(now);
        }
    }

    fn was_silent_since(&self, since: Instant, endpoint: &str) -> bool {
        let known = self.endpoints.get(endpoint);
        known.and_then(|known| known.last_silence).is_some_and(|at| at > since)
    }

    pub(crate) fn observe_reply(&mut self, elapsed: Duration) {
        self.reply_time.observe(elapsed);
    }

    /// Time that an engine's reply rarely takes.
    pub(crate) fn reply_overdue(&self) -> Duration {
        self.reply_time.overdue()
    }

    pub(crate) fn was_alive_since(&self, since: Instant, endpoint: &str) -> bool {
        let known = self.endpoints.get(endpoint);
        known.and_then(|known| known.last_alive).is_some_and(|at| at >= since)
    }

    pub(crate) fn jitter(&mut self) -> f64 {
        self.planner.jitter()
    }

    fn set_leaving(&mut self, endpoint: &str, source: LeavingSource, leaving: bool) {
        let Some(known) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if leaving {
            known.leaving.insert(source);
        } else {
            known.leaving.remove(&source);
        }
    }

    fn engines_to_poll(&mut self, now: Instant) -> Vec<(EndpointName, Box<str>)> {
        let engines = self.endpoints.values().filter(|known| known.is_engine).count() as u32;
        let paced = Duration::from_secs(1) * engines / self.options.polls_per_second.max(1);
        let interval = self.options.poll_interval.max(paced);
        let mut targets = Vec::new();
        for (name, known) in &mut self.endpoints {
            if !known.is_engine || known.next_poll.is_some_and(|at| now < at) {
                continue;
            }
            let is_settled = known.is_settled() && self.ejections.strikes(name) == 0;
            let pause = if is_settled { interval } else { self.options.poll_interval };
            known.next_poll = Some(now + pause.mul_f64(self.planner.jitter()));
            targets.push((name.clone(), known.declaration.address.clone()));
        }
        targets
    }

    fn model_load(&self, now: Instant, model: &ModelDeclaration) -> ModelLoad {
        let mut slots = 0.0;
        let mut running = 0.0;
        for declaration in &model.endpoints {
            let Some(known) = self.endpoints.get(&declaration.name) else {
                continue;
            };
            let Some((first, last)) = self.usable_range(model, known) else {
                continue;
            };
            let ejected = self.ejections.health(now, &declaration.name) == EndpointHealth::Ejected;
            if ejected || known.is_leaving(now) {
                continue;
            }
            let part = f64::from(last - first + 1) / f64::from(model.layers);
            slots += known.slots;
            running += known.load() * part;
        }
        ModelLoad { slots: slots.round() as u32, running: running.round() as u32 }
    }

    fn summary(&self, now: Instant) -> Vec<EndpointLine> {
        let line = |(name, known): (&EndpointName, &EndpointState)| {
            let health = self.ejections.health(now, name);
            let state = match health {
                _ if known.is_leaving(now) => "leaving",
                _ if known.is_engine && known.report.is_none() => "unreported",
                EndpointHealth::Healthy => "healthy",
                EndpointHealth::Probing => "probing",
                EndpointHealth::Ejected => "ejected",
            };
            EndpointLine { endpoint: name.clone(), state: state.into() }
        };
        self.endpoints.iter().map(line).collect()
    }

    fn track_in_flight(&mut self, endpoint: &str) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.in_flight += 1;
        }
    }

    fn end_flight(&mut self, endpoint: &str) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    fn plan(&mut self, now: Instant, demand: &ChainDemand<'_>) -> Option<PlannedChain> {
        let layers = demand.model.layers;
        let healthy = self.candidates(now, demand, false);
        let chain = self.planner.plan(layers, &healthy, &self.links);
        let chain = chain.or_else(|| {
            let every = self.candidates(now, demand, true);
            self.planner.plan(layers, &every, &self.links)
        })?;
        let endpoints = chain.stages.iter().map(|stage| stage.endpoint.clone());
        self.prefixes.remember(now, &demand.model.name, demand.prompt, endpoints);
        Some(chain)
    }

    fn candidates(
        &self,
        now: Instant,
        demand: &ChainDemand<'_>,
        with_ejected: bool,
    ) -> Vec<StageCandidate> {
        let held = self.prefixes.holders(now, &demand.model.name, demand.prompt);
        let mut candidates = Vec::new();
        for declaration in &demand.model.endpoints {
            let Some(known) = self.endpoints.get(&declaration.name) else {
                continue;
            };
            let Some((first, last)) = self.usable_range(demand.model, known) else {
                continue;
            };
            if known.is_leaving(now) || demand.avoid.excludes(&declaration.name) {
                continue;
            }
            if !with_ejected && !self.takes_work(now, known) {
                continue;
            }
            let saving = if held.contains(&*declaration.name) { PREFIX_SAVING } else { 0.0 };
            let strikes = f64::from(self.ejections.strikes(&declaration.name).min(20));
            let avoided = demand.avoid.penalty(&declaration.name, &declaration.domain);
            candidates.push(StageCandidate {
                endpoint: declaration.name.clone(),
                address: declaration.address.clone(),
                domain: declaration.domain.clone(),
                first_layer: first,
                last_layer: last,
                seconds: known.seconds * known.crowding(),
                penalty: avoided + strikes * STRIKE_PENALTY_SECONDS - saving * known.seconds,
                in_flight: known.in_flight,
                load: known.load(),
            });
        }
        candidates
    }

    /// Layers that an engine reports, where it reports the declared model and version.
    fn usable_range(
        &self,
        model: &ModelDeclaration,
        known: &EndpointState,
    ) -> Option<(LayerIndex, LayerIndex)> {
        let report = known.report.as_ref()?;
        if report.model != model.name {
            return None;
        }
        if self.options.match_version && report.version != model.version {
            return None;
        }
        let fits = report.first_layer <= report.last_layer && report.last_layer < model.layers;
        fits.then_some((report.first_layer, report.last_layer))
    }

    fn takes_work(&self, now: Instant, known: &EndpointState) -> bool {
        match self.ejections.health(now, &known.declaration.name) {
            EndpointHealth::Healthy => true,
            EndpointHealth::Probing => known.in_flight == 0 && known.has_answered(),
            EndpointHealth::Ejected => false,
        }
    }

    /// Learns from the time between two tokens of a chain.
    pub(crate) fn observe_token(
        &mut self,
        now: Instant,
        chain: &PlannedChain,
        priority: PriorityClass,
        elapsed: Duration,
    ) {
        let predicted = self.predicted_seconds(chain);
        let error = elapsed.as_secs_f64() - predicted;
        let slowdown = self.stretches.entry(priority).or_insert(1.0);
        *slowdown += STRETCH_WEIGHT * (elapsed.as_secs_f64() / predicted - *slowdown);
        let parts = (chain.stages.len() + chain.hops().count()) as f64;
        for (from, to) in chain.hops() {
            self.links.correct(from, to, error / parts);
        }
        for stage in &chain.stages {
            self.record_success(now, &stage.endpoint);
            let Some(known) = self.endpoints.get_mut(&stage.endpoint) else {
                continue;
            };
            known.observations = known.observations.saturating_add(1);
            let crowding = known.crowding();
            let change = LEARNING_RATE * error / parts / crowding;
            known.seconds = (known.seconds + change).max(LEAST_STAGE_SECONDS);
        }
    }

    /// How much longer a token of this priority takes than the average one.
    pub(crate) fn slowdown(&self, priority: PriorityClass) -> f64 {
        self.stretches.get(&priority).copied().unwrap_or(1.0)
    }

    /// Whether the chain's time for a token is known: every stage is at work for this router and
    /// was observed for long enough. A chain at rest is tried, so that no wrong time stays.
    pub(crate) fn is_time_known(&self, chain: &PlannedChain) -> bool {
        chain.stages.iter().all(|stage| {
            let known = self.endpoints.get(&stage.endpoint);
            known.is_some_and(|known| {
                known.in_flight > 0 && known.observations >= KNOWN_OBSERVATIONS
            })
        })
    }

    fn predicted_seconds(&self, chain: &PlannedChain) -> f64 {
        let stages = chain.stages.iter().filter_map(|stage| self.endpoints.get(&stage.endpoint));
        let hops = chain.hops().map(|(from, to)| self.links.seconds(from, to));
        stages.map(|known| known.seconds * known.crowding()).sum::<f64>() + hops.sum::<f64>()
    }

    /// Endpoints of a plain service that take calls, ejected ones left out unless none else is left.
    pub(crate) fn plain_candidates(
        &self,
        now: Instant,
        service: &str,
        tried: &BTreeSet<EndpointName>,
    ) -> Vec<(EndpointDeclaration, f64)> {
        let fits = |known: &&EndpointState| {
            *known.service == *service
                && !known.is_engine
                && !known.is_leaving(now)
                && !tried.contains(&known.declaration.name)
        };
        let open: Vec<_> = self.endpoints.values().filter(fits).collect();
        let healthy = open.iter().filter(|known| self.takes_work(now, known));
        let mut chosen: Vec<_> = healthy.copied().collect();
        if chosen.is_empty() {
            chosen = open;
        }
        let cost = |known: &EndpointState| known.seconds * known.crowding();
        chosen.into_iter().map(|known| (known.declaration.clone(), cost(known))).collect()
    }

    pub(crate) fn domain(&self, endpoint: &str) -> Option<DomainName> {
        self.endpoints.get(endpoint).map(|known| known.declaration.domain.clone())
    }

    pub(crate) fn address(&self, endpoint: &str) -> Option<Box<str>> {
        self.endpoints.get(endpoint).map(|known| known.declaration.address.clone())
    }

    pub(crate) fn random_index(&mut self, options: usize) -> usize {
        self.planner.random_index(options)
    }

    pub(crate) fn begin_call(&mut self, endpoint: &str) {
        self.track_in_flight(endpoint);
    }

    pub(crate) fn finish_call(
        &mut self,
        now: Instant,
        endpoint: &str,
        elapsed: Duration,
        failure: Option<&CallFailure>,
    ) {
        self.end_flight(endpoint);
        if let Some(failure) = failure {
            self.observe_failure(now, endpoint, failure);
            return;
        }
        self.record_success(now, endpoint);
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.seconds += CALL_SMOOTHING * (elapsed.as_secs_f64() - known.seconds);
        }
    }
}

fn fresh_state(declaration: &EndpointDeclaration, is_engine: bool) -> EndpointState {
    EndpointState {
        declaration: declaration.clone(),
        service: "".into(),
        declared: Default::default(),
        is_engine,
        slots: 1.0,
        report: None,
        others: 0.0,
        in_flight: 0,
        observations: 0,
        seconds: if is_engine { UNOBSERVED_STAGE_SECONDS } else { UNOBSERVED_CALL_SECONDS },
        leaving: BTreeSet::new(),
        refused_at: None,
        last_alive: None,
        last_strike: None,
        last_silence: None,
        next_poll: None,
    }
}
