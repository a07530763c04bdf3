//! One stage: runs its layers of a token, then passes the token on.

use jacinthrock::{EngineOrder, EngineStatus, PriorityClass, StageReport};
use std::cell::RefCell;
use std::time::Duration;
use tokio::time::Instant;

use super::batch::{LoadHistory, slowdown};
use super::cache::PrefixCache;
use super::chain::{ForwardCall, ForwardReply, ReleaseCall, StageClient, StageFailure};
use super::control::FaultState;
use super::assignment::{EngineAssignment, StaleFence};
use super::records::{EngineRecords, RunRecord};
use super::requests::RequestTable;
use crate::token::fold_layers;

/// Longest time by which a step may be shortened because an earlier one overslept.
const MAX_CREDIT: Duration = Duration::from_millis(5);

/// What an engine is and how long its work takes.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name of the endpoint.
    pub name: Box<str>,
    /// Model part that it holds at the start.
    pub assignment: EngineAssignment,
    /// Requests that it works on at once without slowing down.
    pub slots: u32,
    /// Time of one layer of one token.
    pub layer: Duration,
    /// Time to prefill one token of KV cache.
    pub prefill: Duration,
    /// Time to import one token of KV cache.
    pub kv_import: Duration,
    /// Whether an order with an old fence is refused.
    pub checks_fence: bool,
    /// Lag of the reported load.
    pub status_lag: Duration,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: usize,
}

/// State of an engine.
pub struct EngineStage {
    pub(super) options: EngineOptions,
    pub(super) assignment: RefCell<EngineAssignment>,
    pub(super) requests: RefCell<RequestTable>,
    pub(super) records: RefCell<EngineRecords>,
    pub(super) faults: RefCell<FaultState>,
    pub(super) cache: RefCell<PrefixCache>,
    pub(super) client: StageClient,
    load: RefCell<LoadHistory>,
}

impl EngineStage {
    /// An engine that has run nothing yet.
    pub fn new(options: EngineOptions) -> Self {
        Self {
            assignment: RefCell::new(options.assignment.clone()),
            requests: RefCell::default(),
            records: RefCell::default(),
            faults: RefCell::new(FaultState::new(Instant::now())),
            cache: RefCell::new(PrefixCache::new(options.cache_tokens)),
            client: StageClient::new(),
            load: RefCell::new(LoadHistory::new(options.status_lag)),
            options,
        }
    }

    /// State and lagging load.
    pub fn status(&self) -> EngineStatus {
        let assignment = self.assignment.borrow();
        let residents = self.load.borrow().reported(Instant::now());
        let running = residents.min(self.options.slots);
        EngineStatus {
            endpoint: self.options.name.clone(),
            model: assignment.model.clone(),
            version: assignment.version.clone(),
            first_layer: assignment.first_layer,
            last_layer: assignment.last_layer,
            fence: assignment.fence,
            running,
            waiting: residents - running,
            leaving: assignment.leaving,
        }
    }

    /// Obeys an order, or refuses it for its fence where the engine checks that.
    pub fn obey(&self, order: &EngineOrder) -> Result<EngineStatus, StaleFence> {
        let changed = self.assignment.borrow_mut().obey(order, self.options.checks_fence)?;
        if changed {
            self.requests.borrow_mut().clear_kv();
            self.cache.borrow_mut().clear();
        }
        Ok(self.status())
    }

    /// Runs the stage's layers of a token, then the later stages.
    pub async fn run(&self, call: ForwardCall) -> Result<ForwardReply, StageFailure> {
        self.check(&call)?;
        self.enter(&call.request, call.priority);
        self.work(&call).await?;
        // An order may have come while the layers ran.
        self.check(&call)?;
        let (first, last) = (call.route[call.index].first_layer, call.route[call.index].last_layer);
        let report = self.record(&call);
        let token = fold_layers(call.state, first, last);
        if call.index + 1 == call.route.len() {
            return Ok(ForwardReply { token, stages: vec![report] });
        }
        let next = ForwardCall { index: call.index + 1, state: token, ..call };
        let mut reply = self.client.forward(next).await?;
        reply.stages.insert(0, report);
        Ok(reply)
    }

    /// Takes an ended attempt out of the batch.
    pub fn release(&self, call: &ReleaseCall) {
        self.requests.borrow_mut().leave(&call.request, call.attempt);
        self.learn_load();
    }

    pub(super) fn enter(&self, request: &str, class: PriorityClass) {
        self.requests.borrow_mut().enter(request, class, Instant::now());
        self.learn_load();
    }

    pub(super) fn failure(&self, reason: impl Into<Box<str>>) -> StageFailure {
        StageFailure { endpoint: self.options.name.clone(), reason: reason.into() }
    }

    fn learn_load(&self) {
        let now = Instant::now();
        let residents = self.requests.borrow_mut().residents(now).iter().sum();
        self.load.borrow_mut().learn(residents, now);
    }

    fn check(&self, call: &ForwardCall) -> Result<(), StageFailure> {
        let stage = &call.route[call.index];
        if stage.endpoint != self.options.name {
            return Err(self.failure(format!("stage is for endpoint {:?}", stage.endpoint)));
        }
        let assignment = self.assignment.borrow();
        if !assignment.holds(&call.model, &call.version, stage.first_layer, stage.last_layer) {
            return Err(self.failure("model, version or layers are not held"));
        }
        let mut requests = self.requests.borrow_mut();
        if assignment.leaving && !requests.is_resident(&call.request) {
            return Err(self.failure("leaving"));
        }
        let checked = requests.check_attempt(&call.request, call.attempt);
        checked.map_err(|lower| self.failure(lower.to_string()))
    }

    async fn work(&self, call: &ForwardCall) -> Result<(), StageFailure> {
        let fill = self.fill_time(call).await;
        if self.faults.borrow_mut().takes_failure(call.position) {
            return Err(self.failure("injected failure"));
        }
        let residents = self.requests.borrow_mut().residents(Instant::now());
        let slowdown = slowdown(residents, self.options.slots, call.priority);
        let layers = self.options.layer * self.assignment.borrow().layers();
        let step = (layers + fill).mul_f64(slowdown) + self.faults.borrow().extra();
        self.spend(&call.request, step).await;
        let frozen_until = self.faults.borrow().frozen_until();
        tokio::time::sleep_until(frozen_until).await;
        self.requests.borrow_mut().set_kv_length(&call.request, call.position + 1);
        Ok(())
    }

    /// Sleeps for a step; the timer's coarseness is taken off the request's next step.
    async fn spend(&self, request: &str, step: Duration) {
        let credit = self.requests.borrow_mut().take_credit(request);
        let Some(rest) = step.checked_sub(credit) else {
            self.requests.borrow_mut().give_credit(request, credit - step);
            return;
        };
        let end = Instant::now() + rest;
        tokio::time::sleep_until(end).await;
        let overslept = Instant::now().saturating_duration_since(end).min(MAX_CREDIT);
        self.requests.borrow_mut().give_credit(request, overslept);
    }

    /// Time to make the KV cache cover everything before the token.
    async fn fill_time(&self, call: &ForwardCall) -> Duration {
        let held = self.requests.borrow().kv_length(&call.request);
        if held.is_some_and(|length| length >= call.position) {
            return Duration::ZERO;
        }
        let missing = held.map_or(call.prompt_words + call.position, |len| call.position - len);
        let imported = self.importable(call).await.unwrap_or(0).min(missing);
        let cached = self.cache.borrow_mut().use_prompt(&call.prompt, Instant::now());
        let cached = if held.is_none() { cached.min(call.prompt_words) } else { 0 };
        let prefilled = missing.saturating_sub(imported.max(cached));
        self.options.kv_import * imported + self.options.prefill * prefilled
    }

    /// Tokens of KV cache that another engine holds for the stage's layers.
    async fn importable(&self, call: &ForwardCall) -> Option<u32> {
        if !call.first {
            return None;
        }
        let stage = &call.route[call.index];
        for address in call.kv_sources.iter().filter(|source| **source != stage.address) {
            let Some(report) = self.client.kv_report(address, &call.request).await else {
                continue;
            };
            if report.first_layer <= stage.first_layer && report.last_layer >= stage.last_layer {
                return Some(call.prompt_words + report.length.min(call.position));
            }
        }
        None
    }

    fn record(&self, call: &ForwardCall) -> StageReport {
        let stage = &call.route[call.index];
        self.records.borrow_mut().add_run(RunRecord {
            request: call.request.clone(),
            attempt: call.attempt,
            position: call.position,
            first_layer: stage.first_layer,
            last_layer: stage.last_layer,
        });
        let assignment = self.assignment.borrow();
        StageReport {
            endpoint: self.options.name.clone(),
            version: self.faults.borrow().reported_version(&assignment.version).into(),
            first_layer: assignment.first_layer,
            last_layer: assignment.last_layer,
        }
    }
}
