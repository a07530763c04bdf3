//! One stage of a route: runs its layers for a token, then forwards the token.

use jacinthrock::{EngineOrder, EngineStatus, PriorityClass, StageReport};
use std::cell::RefCell;
use std::time::Duration;
use tokio::time::Instant;

use super::assignment::{EngineAssignment, StaleFence};
use super::batch::{LoadHistory, slowdown};
use super::cache::PrefixCache;
use super::chain::{ForwardCall, ForwardReply, ReleaseCall, StageClient, StageFailure};
use super::control::FaultState;
use super::records::{EngineRecords, RunRecord};
use super::requests::RequestTable;
use crate::token::fold_layers;

/// Upper bound on the timer overshoot of one step that is deducted from the next.
const MAX_OVERSHOOT: Duration = Duration::from_millis(5);

/// Settings of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name of the endpoint.
    pub name: Box<str>,
    /// Model part that it holds at start.
    pub assignment: EngineAssignment,
    /// Number of requests that run at once without slowdown.
    pub slots: u32,
    /// Time to run one layer for one token.
    pub layer_time: Duration,
    /// Time to prefill one token of KV cache.
    pub prefill_time: Duration,
    /// Time to import one token of KV cache.
    pub kv_import_time: Duration,
    /// Whether an order with a stale fence is refused.
    pub checks_fence: bool,
    /// Lag of the reported load.
    pub status_lag: Duration,
    /// Capacity of the prefix cache in tokens; 0 disables it.
    pub cache_tokens: usize,
}

/// Engine that serves one stage of a route.
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
    /// Creates an engine without requests or records.
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

    /// Current assignment and lagging load.
    pub fn status(&self) -> EngineStatus {
        let assignment = self.assignment.borrow();
        let batched = self.load.borrow().reported(Instant::now());
        let running = batched.min(self.options.slots);
        EngineStatus {
            endpoint: self.options.name.clone(),
            model: assignment.model.clone(),
            version: assignment.version.clone(),
            first_layer: assignment.first_layer,
            last_layer: assignment.last_layer,
            fence: assignment.fence,
            running,
            waiting: batched - running,
            leaving: assignment.leaving,
        }
    }

    /// Applies an order, or refuses a stale one if the engine checks fences.
    pub fn apply_order(&self, order: &EngineOrder) -> Result<EngineStatus, StaleFence> {
        let changed = self.assignment.borrow_mut().apply(order, self.options.checks_fence)?;
        if changed {
            self.requests.borrow_mut().clear_kv();
            self.cache.borrow_mut().clear();
        }
        Ok(self.status())
    }

    /// Runs the stage's layers for a token, then forwards it to the later stages.
    pub async fn forward(&self, call: ForwardCall) -> Result<ForwardReply, StageFailure> {
        self.check_call(&call)?;
        self.join_batch(&call.request, call.priority);
        self.run_layers(&call).await?;
        // An order may have changed the assignment while the layers ran.
        self.check_call(&call)?;
        let (first, last) = (call.route[call.index].first_layer, call.route[call.index].last_layer);
        let report = self.record_run(&call);
        let token = fold_layers(call.state, first, last);
        if call.index + 1 == call.route.len() {
            return Ok(ForwardReply { token, stages: vec![report] });
        }
        let next = ForwardCall { index: call.index + 1, state: token, ..call };
        let mut reply = self.client.forward(next).await?;
        reply.stages.insert(0, report);
        Ok(reply)
    }

    /// Removes an ended attempt from the batch.
    pub fn release(&self, call: &ReleaseCall) {
        self.requests.borrow_mut().leave_batch(&call.request, call.attempt);
        self.record_load();
    }

    pub(super) fn join_batch(&self, request: &str, class: PriorityClass) {
        self.requests.borrow_mut().join_batch(request, class, Instant::now());
        self.record_load();
    }

    pub(super) fn failure(&self, reason: impl Into<Box<str>>) -> StageFailure {
        StageFailure { endpoint: self.options.name.clone(), reason: reason.into() }
    }

    fn record_load(&self) {
        let now = Instant::now();
        let batched = self.requests.borrow_mut().batched_by_class(now).iter().sum();
        self.load.borrow_mut().record(batched, now);
    }

    fn check_call(&self, call: &ForwardCall) -> Result<(), StageFailure> {
        let stage = &call.route[call.index];
        if stage.endpoint != self.options.name {
            return Err(self.failure(format!("stage is for endpoint {:?}", stage.endpoint)));
        }
        let assignment = self.assignment.borrow();
        if !assignment.matches(&call.model, &call.version, stage.first_layer, stage.last_layer) {
            return Err(self.failure("model, version or layers are not held"));
        }
        let mut requests = self.requests.borrow_mut();
        if assignment.leaving && !requests.is_batched(&call.request) {
            return Err(self.failure("leaving"));
        }
        let checked = requests.check_attempt(&call.request, call.attempt);
        checked.map_err(|stale| self.failure(stale.to_string()))
    }

    async fn run_layers(&self, call: &ForwardCall) -> Result<(), StageFailure> {
        let kv_fill = self.kv_fill_time(call).await;
        if self.faults.borrow_mut().take_failure(call.position) {
            return Err(self.failure("injected failure"));
        }
        let batched = self.requests.borrow_mut().batched_by_class(Instant::now());
        let slowdown = slowdown(batched, self.options.slots, call.priority);
        let layers = self.options.layer_time * self.assignment.borrow().layers();
        let step = (layers + kv_fill).mul_f64(slowdown) + self.faults.borrow().extra_per_token();
        self.sleep_step(&call.request, step).await;
        let frozen_until = self.faults.borrow().frozen_until();
        tokio::time::sleep_until(frozen_until).await;
        self.requests.borrow_mut().set_kv_length(&call.request, call.position + 1);
        Ok(())
    }

    /// Sleeps for a step; the overshoot of the coarse timer is deducted from the next step.
    async fn sleep_step(&self, request: &str, step: Duration) {
        let earlier_overshoot = self.requests.borrow_mut().take_overshoot(request);
        let Some(remaining) = step.checked_sub(earlier_overshoot) else {
            self.requests.borrow_mut().set_overshoot(request, earlier_overshoot - step);
            return;
        };
        let end = Instant::now() + remaining;
        tokio::time::sleep_until(end).await;
        let overshoot = Instant::now().saturating_duration_since(end).min(MAX_OVERSHOOT);
        self.requests.borrow_mut().set_overshoot(request, overshoot);
    }

    /// Time to fill the KV cache for the prompt and the positions before the token.
    async fn kv_fill_time(&self, call: &ForwardCall) -> Duration {
        let held_length = self.requests.borrow().kv_length(&call.request);
        if held_length.is_some_and(|length| length >= call.position) {
            return Duration::ZERO;
        }
        let missing =
            held_length.map_or(call.prompt_words + call.position, |length| call.position - length);
        let imported = self.importable_tokens(call).await.unwrap_or(0).min(missing);
        let cached = self.cache.borrow_mut().lookup_and_insert(&call.prompt, Instant::now());
        let cached = if held_length.is_none() { cached.min(call.prompt_words) } else { 0 };
        let prefilled = missing.saturating_sub(imported.max(cached));
        self.options.kv_import_time * imported + self.options.prefill_time * prefilled
    }

    /// Number of tokens of KV cache that another engine can supply for the stage's layers.
    async fn importable_tokens(&self, call: &ForwardCall) -> Option<u32> {
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

    fn record_run(&self, call: &ForwardCall) -> StageReport {
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
