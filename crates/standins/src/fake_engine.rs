//! In-memory model engines for tests with a paused clock, with faults at planned steps.
//!
//! Each engine folds its layers into the token and records what it ran, so that checks do not
//! depend on the router's reports. The engines must run inside a `LocalSet`.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use jacinthrock::{
    AttemptNumber, CallFailure, DomainName, EndpointClient, EndpointName, EngineOrder,
    EngineStatus, EventReceiver, GenerateCall, GenerateEvent, LayerIndex, PlainCall, PlainReply,
    PriorityClass, RequestId, RouteStage, StageReport, TokenPosition,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;

use crate::token;

/// Number of events buffered in a connection; the engine blocks when the buffer is full.
const EVENT_BUFFER_SIZE: usize = 64;

/// Fault of an engine, or of an answer that passes through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineFault {
    /// The process is killed; connections to it break.
    Kill,
    /// The process hangs and does not respond.
    Freeze,
    /// The process hangs and resumes later.
    FreezeAndWake,
    /// The connection between router and first stage breaks.
    CutConnection,
    /// Every hop out of the engine is much slower.
    SlowLink,
    /// The engine silently runs another version.
    OtherVersion,
    /// The engine silently runs one layer fewer.
    OtherRange,
    /// A token of the previous attempt arrives in this one.
    LateToken,
    /// The previous token is sent twice.
    DuplicateToken,
    /// The answer ends early, with a digest that matches the tokens sent.
    EarlyEnd,
    /// The end event carries a wrong digest.
    WrongDigest,
    /// The engine refuses the attempt before starting it.
    Refuse,
    /// The engine drains: it finishes its requests and refuses new ones.
    Leave,
}

impl EngineFault {
    /// Every fault.
    pub const ALL: &'static [Self] = &[
        Self::Kill,
        Self::Freeze,
        Self::FreezeAndWake,
        Self::CutConnection,
        Self::SlowLink,
        Self::OtherVersion,
        Self::OtherRange,
        Self::LateToken,
        Self::DuplicateToken,
        Self::EarlyEnd,
        Self::WrongDigest,
        Self::Refuse,
        Self::Leave,
    ];
}

/// Step of an answer at which a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultStep {
    /// Before the attempt starts.
    Start,
    /// Before the engine runs its layers for a position.
    BeforeLayers(TokenPosition),
    /// After the engine ran its layers for a position, before it forwards the token.
    AfterLayers(TokenPosition),
    /// After the last token, before the end event.
    End,
}

/// Fault that is injected once, into the first attempt that reaches its step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Fault to inject.
    pub fault: EngineFault,
    /// Step at which it is injected.
    pub step: FaultStep,
    /// Index in the route of the stage at which it is injected.
    pub stage: usize,
}

/// Initial state of an engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Address at which it is called.
    pub address: Box<str>,
    /// Failure domain of the engine.
    pub domain: DomainName,
    /// Name of the model that it holds.
    pub model: Box<str>,
    /// Version of the model that it holds.
    pub version: Box<str>,
    /// First layer that it holds.
    pub first_layer: LayerIndex,
    /// Last layer that it holds.
    pub last_layer: LayerIndex,
    /// Time to run one step for a whole batch.
    pub step_time: Duration,
    /// Maximum number of tokens in one batch.
    pub batch: usize,
}

/// Network link from one failure domain to another.
#[derive(Clone, Copy, Debug)]
pub struct LinkSpec {
    /// Latency of one hop.
    pub latency: Duration,
    /// Time for which the activations of one token occupy the link.
    pub token_time: Duration,
}

/// Planned fault that was injected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InjectedFault {
    /// Injected fault.
    pub fault: EngineFault,
    /// Engine into which it was injected.
    pub endpoint: EndpointName,
    /// Time of the injection.
    pub at: Instant,
}

/// Latencies and timeouts shared by all engines.
#[derive(Clone, Debug)]
pub struct EngineTimes {
    /// Latency of a hop between router and engine.
    pub router_hop: Duration,
    /// Latency of a hop between engines in one failure domain.
    pub local_hop: Duration,
    /// Latency of a hop between engines in different failure domains without an entry in `links`.
    pub remote_hop: Duration,
    /// Links by source and destination failure domain.
    pub links: BTreeMap<(DomainName, DomainName), LinkSpec>,
    /// Extra latency of each hop out of an engine with [`EngineFault::SlowLink`].
    pub slow_hop: Duration,
    /// Duration of a freeze with [`EngineFault::FreezeAndWake`].
    pub wake_after: Duration,
    /// Time to compute the KV cache of one earlier token in one stage.
    pub prefill_token: Duration,
    /// Whether engines import KV caches; otherwise they compute them.
    pub imports: bool,
    /// Time to import the KV cache of one earlier token into one stage.
    pub import_token: Duration,
    /// Timeout of an import from an engine that does not respond.
    pub import_timeout: Duration,
    /// Lag of the reported load; zero reports the current load.
    pub load_lag: Duration,
}

impl Default for EngineTimes {
    fn default() -> Self {
        Self {
            router_hop: Duration::from_millis(1),
            local_hop: Duration::ZERO,
            remote_hop: Duration::from_millis(1),
            links: BTreeMap::new(),
            slow_hop: Duration::from_secs(2),
            wake_after: Duration::from_secs(2),
            prefill_token: Duration::from_micros(200),
            imports: true,
            import_token: Duration::from_micros(20),
            import_timeout: Duration::from_millis(100),
            load_lag: Duration::ZERO,
        }
    }
}

/// Run of one layer for one position, as recorded by the engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunRecord {
    /// Request of the token.
    pub request: RequestId,
    /// Attempt for which the engine ran the layer.
    pub attempt: AttemptNumber,
    /// Position of the token.
    pub position: TokenPosition,
    /// Layer that ran.
    pub layer: LayerIndex,
    /// Engine that ran it.
    pub endpoint: EndpointName,
}

/// Attempt that reached an engine after it began to drain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LateArrival {
    /// Engine that was draining.
    pub endpoint: EndpointName,
    /// Time from the start of the drain to the moment the router sent the attempt.
    pub after: Duration,
}

struct QueuedToken {
    done: oneshot::Sender<()>,
}

struct EngineCore {
    spec: EngineSpec,
    actual_part: RefCell<(Box<str>, LayerIndex, LayerIndex)>,
    fence: Cell<u64>,
    is_alive: Cell<bool>,
    is_frozen: Cell<bool>,
    is_slow: Cell<bool>,
    leaving_since: Cell<Option<Instant>>,
    state_changed: Notify,
    connection_cut: Notify,
    queue: RefCell<BTreeMap<(PriorityClass, u64), QueuedToken>>,
    queued: Notify,
    next_sequence: Cell<u64>,
    open_attempts: Cell<u32>,
    reported_load: Cell<(u32, u32)>,
    newest_attempts: RefCell<BTreeMap<RequestId, AttemptNumber>>,
    kv_lengths: RefCell<BTreeMap<RequestId, TokenPosition>>,
}

struct SimulationState {
    engines: BTreeMap<Box<str>, Rc<EngineCore>>,
    times: EngineTimes,
    keep_records: bool,
    records: RefCell<Vec<RunRecord>>,
    planned_faults: RefCell<Vec<PlannedFault>>,
    injected_faults: RefCell<Vec<InjectedFault>>,
    link_free_at: RefCell<BTreeMap<(DomainName, DomainName), Instant>>,
    late_arrivals: RefCell<Vec<LateArrival>>,
    tokens_sent: Cell<u64>,
}

/// In-memory engines and their [`EndpointClient`], through which a router calls them.
#[derive(Clone)]
pub struct FakeEngines {
    simulation: Rc<SimulationState>,
}

/// Effect of an injected fault on the answer.
enum FaultEffect {
    None,
    Close,
    Refuse,
}

struct AttemptRun {
    simulation: Rc<SimulationState>,
    call: GenerateCall,
    stages: Vec<(RouteStage, Rc<EngineCore>)>,
    sender: mpsc::Sender<Result<GenerateEvent, CallFailure>>,
    tokens: Vec<u64>,
    sends_wrong_digest: bool,
    sent_at: Instant,
}

/// The attempt has stopped; dropping its sender closes the connection.
struct AttemptStopped;

impl FakeEngines {
    /// Starts the engines; `keep_records` uses memory for each layer that runs.
    pub fn start(specs: Vec<EngineSpec>, times: EngineTimes, keep_records: bool) -> Self {
        let engines = specs.into_iter().map(|spec| {
            let engine = Rc::new(EngineCore::new(spec));
            tokio::task::spawn_local(run_batch_loop(engine.clone()));
            if !times.load_lag.is_zero() {
                tokio::task::spawn_local(report_lagging_load(engine.clone(), times.load_lag));
            }
            (engine.spec.address.clone(), engine)
        });
        let simulation = SimulationState {
            engines: engines.collect(),
            times,
            keep_records,
            records: RefCell::default(),
            planned_faults: RefCell::default(),
            injected_faults: RefCell::default(),
            link_free_at: RefCell::default(),
            late_arrivals: RefCell::default(),
            tokens_sent: Cell::new(0),
        };
        Self { simulation: Rc::new(simulation) }
    }

    /// Plans faults, each of which is injected once.
    pub fn plan_faults(&self, faults: impl IntoIterator<Item = PlannedFault>) {
        self.simulation.planned_faults.borrow_mut().extend(faults);
    }

    /// Injects a fault into an engine now; [`EngineFault::CutConnection`] breaks every connection
    /// from routers to it.
    pub fn inject_fault(&self, address: &str, fault: EngineFault) {
        let engine = self.simulation.engines[address].clone();
        if let FaultEffect::Close = self.simulation.inject_fault(&engine, fault) {
            engine.connection_cut.notify_waiters();
        }
    }

    /// Requests whose KV cache an engine holds.
    pub fn cached_requests(&self, address: &str) -> Vec<RequestId> {
        self.simulation.engines[address].kv_lengths.borrow().keys().cloned().collect()
    }

    /// Resumes a frozen engine.
    pub fn wake(&self, address: &str) {
        self.simulation.engines[address].wake();
    }

    /// Layers that the engines ran, in order; empty without `keep_records`.
    pub fn records(&self) -> Vec<RunRecord> {
        self.simulation.records.borrow().clone()
    }

    /// Planned faults that have been injected.
    pub fn injected_faults(&self) -> Vec<InjectedFault> {
        self.simulation.injected_faults.borrow().clone()
    }

    /// Attempts that reached a draining engine.
    pub fn late_arrivals(&self) -> Vec<LateArrival> {
        self.simulation.late_arrivals.borrow().clone()
    }

    /// Total number of tokens sent to routers by all engines.
    pub fn tokens_sent(&self) -> u64 {
        self.simulation.tokens_sent.get()
    }

    /// Number of open attempts that pass through an engine.
    pub fn open_attempts(&self, address: &str) -> u32 {
        self.simulation.engines[address].open_attempts.get()
    }
}

impl EngineCore {
    fn new(spec: EngineSpec) -> Self {
        let actual_part = (spec.version.clone(), spec.first_layer, spec.last_layer);
        Self {
            spec,
            actual_part: RefCell::new(actual_part),
            fence: Cell::new(0),
            is_alive: Cell::new(true),
            is_frozen: Cell::new(false),
            is_slow: Cell::new(false),
            leaving_since: Cell::new(None),
            state_changed: Notify::new(),
            connection_cut: Notify::new(),
            queue: RefCell::default(),
            queued: Notify::new(),
            next_sequence: Cell::new(0),
            open_attempts: Cell::new(0),
            reported_load: Cell::new((0, 0)),
            newest_attempts: RefCell::default(),
            kv_lengths: RefCell::default(),
        }
    }

    fn kill(&self) {
        self.is_alive.set(false);
        self.queue.borrow_mut().clear();
        self.kv_lengths.borrow_mut().clear();
        self.state_changed.notify_waiters();
        self.connection_cut.notify_waiters();
    }

    fn wake(&self) {
        self.is_frozen.set(false);
        self.state_changed.notify_waiters();
    }

    async fn wait_until_awake(&self) {
        while self.is_frozen.get() && self.is_alive.get() {
            self.state_changed.notified().await;
        }
    }

    /// Queues a token and waits until a batch has run it; false if the engine was killed.
    async fn run_token(&self, priority: PriorityClass) -> bool {
        if !self.is_alive.get() {
            return false;
        }
        let (done, finished) = oneshot::channel();
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        self.queue.borrow_mut().insert((priority, sequence), QueuedToken { done });
        self.queued.notify_one();
        finished.await.is_ok()
    }

    fn load(&self) -> (u32, u32) {
        let waiting = (self.queue.borrow().len() as u32).min(self.open_attempts.get());
        (self.open_attempts.get() - waiting, waiting)
    }

    fn report(&self) -> StageReport {
        let (version, first_layer, last_layer) = self.actual_part.borrow().clone();
        StageReport { endpoint: self.spec.endpoint.clone(), version, first_layer, last_layer }
    }

    /// Reported status of the engine, which does not show silent changes of version or range.
    fn status(&self, is_lagging: bool) -> EngineStatus {
        let (running, waiting) = if is_lagging { self.reported_load.get() } else { self.load() };
        EngineStatus {
            endpoint: self.spec.endpoint.clone(),
            model: self.spec.model.clone(),
            version: self.spec.version.clone(),
            first_layer: self.spec.first_layer,
            last_layer: self.spec.last_layer,
            fence: self.fence.get(),
            running,
            waiting,
            leaving: self.leaving_since.get().is_some(),
        }
    }

    /// Folds the layers that the engine runs, salted if it runs another version.
    fn fold_layers(&self, state: u64, version: &str) -> u64 {
        let (actual_version, first, last) = self.actual_part.borrow().clone();
        let salt =
            if *actual_version == *version { 0 } else { token::seed("", &actual_version, "") };
        token::fold_layers(state ^ salt, first, last)
    }
}

async fn run_batch_loop(engine: Rc<EngineCore>) {
    while engine.is_alive.get() {
        let mut batch = Vec::new();
        while batch.len() < engine.spec.batch {
            let Some((_, token)) = engine.queue.borrow_mut().pop_first() else {
                break;
            };
            if !token.done.is_closed() {
                batch.push(token);
            }
        }
        if batch.is_empty() {
            engine.queued.notified().await;
            continue;
        }
        tokio::time::sleep(engine.spec.step_time).await;
        engine.wait_until_awake().await;
        if !engine.is_alive.get() {
            return;
        }
        for token in batch {
            let _ = token.done.send(());
        }
    }
}

async fn report_lagging_load(engine: Rc<EngineCore>, lag: Duration) {
    let mut previous = (0, 0);
    while engine.is_alive.get() {
        engine.reported_load.set(previous);
        previous = engine.load();
        tokio::time::sleep(lag).await;
    }
}

impl SimulationState {
    fn inject_fault(self: &Rc<Self>, engine: &Rc<EngineCore>, fault: EngineFault) -> FaultEffect {
        match fault {
            EngineFault::Kill => engine.kill(),
            EngineFault::Freeze => engine.is_frozen.set(true),
            EngineFault::FreezeAndWake => {
                engine.is_frozen.set(true);
                let (engine, after) = (engine.clone(), self.times.wake_after);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(after).await;
                    engine.wake();
                });
            }
            EngineFault::SlowLink => engine.is_slow.set(true),
            EngineFault::OtherVersion => engine.actual_part.borrow_mut().0 = "other".into(),
            EngineFault::OtherRange => {
                let mut actual_part = engine.actual_part.borrow_mut();
                actual_part.2 = actual_part.2.saturating_sub(1);
            }
            EngineFault::Leave => engine.leaving_since.set(Some(Instant::now())),
            EngineFault::CutConnection => return FaultEffect::Close,
            EngineFault::Refuse => return FaultEffect::Refuse,
            EngineFault::LateToken
            | EngineFault::DuplicateToken
            | EngineFault::EarlyEnd
            | EngineFault::WrongDigest => {}
        }
        FaultEffect::None
    }

    fn take_fault(&self, stage: usize, step: FaultStep) -> Option<EngineFault> {
        let mut faults = self.planned_faults.borrow_mut();
        let index = faults.iter().position(|fault| fault.stage == stage && fault.step == step)?;
        Some(faults.swap_remove(index).fault)
    }

    /// Latency of a hop without activations.
    fn hop(&self, from: &EngineCore, to: &EngineCore) -> Duration {
        let extra = if from.is_slow.get() { self.times.slow_hop } else { Duration::ZERO };
        let (from, to) = (&from.spec.domain, &to.spec.domain);
        let default_latency = if from == to { self.times.local_hop } else { self.times.remote_hop };
        let link = self.times.links.get(&(from.clone(), to.clone()));
        link.map_or(default_latency, |link| link.latency) + extra
    }

    /// Time of a hop with the activations of one token, including the queueing delay on the link.
    fn transfer(&self, from: &EngineCore, to: &EngineCore) -> Duration {
        let latency = self.hop(from, to);
        let key = (from.spec.domain.clone(), to.spec.domain.clone());
        let Some(link) = self.times.links.get(&key) else {
            return latency;
        };
        let now = Instant::now();
        let mut free_times = self.link_free_at.borrow_mut();
        let free_at = free_times.entry(key).or_insert(now);
        *free_at = (*free_at).max(now) + link.token_time;
        free_at.duration_since(now) + latency
    }
}

impl AttemptRun {
    async fn run(mut self) {
        for (_, engine) in &self.stages {
            engine.open_attempts.set(engine.open_attempts.get() + 1);
        }
        let first = self.stages[0].1.clone();
        tokio::select! {
            _ = self.generate() => {}
            () = first.connection_cut.notified() => {}
        }
        for (_, engine) in &self.stages {
            engine.open_attempts.set(engine.open_attempts.get() - 1);
        }
    }

    async fn generate(&mut self) -> Result<(), AttemptStopped> {
        tokio::time::sleep(self.simulation.times.router_hop).await;
        self.start_stages().await?;
        self.fill_kv_caches().await?;
        let start = self.call.accepted.len() as TokenPosition;
        for position in start..self.call.max_tokens {
            let reports = self.run_position(position).await?;
            let token = *self.tokens.last().expect("running the position added its token");
            self.stages[0].1.wait_until_awake().await;
            self.check_alive(0).await?;
            self.send_token(self.call.attempt, position, token, reports).await?;
            self.simulation.tokens_sent.set(self.simulation.tokens_sent.get() + 1);
            let first = self.stages[0].1.clone();
            let last = self.stages[self.stages.len() - 1].1.clone();
            sleep(self.simulation.hop(&last, &first)).await;
        }
        for stage in 0..self.stages.len() {
            self.inject_planned_fault(stage, FaultStep::End).await?;
        }
        let digest = if self.sends_wrong_digest {
            token::answer_digest(&[])
        } else {
            token::answer_digest(&self.tokens)
        };
        self.release_state();
        self.send_end(self.call.max_tokens, digest).await
    }

    /// Frees the engines' state of the request; with `keep_records`, the attempt numbers stay so
    /// that stale attempts are still refused.
    fn release_state(&self) {
        for (_, engine) in &self.stages {
            engine.kv_lengths.borrow_mut().remove(&self.call.request);
            if !self.simulation.keep_records {
                engine.newest_attempts.borrow_mut().remove(&self.call.request);
            }
        }
    }

    /// Lets each stage accept or refuse the attempt.
    async fn start_stages(&mut self) -> Result<(), AttemptStopped> {
        let first = self.stages[0].1.clone();
        if !first.is_alive.get() {
            let _ = self.sender.send(Err(CallFailure::NotSent("refused".into()))).await;
            return Err(AttemptStopped);
        }
        first.wait_until_awake().await;
        for stage in 0..self.stages.len() {
            self.inject_planned_fault(stage, FaultStep::Start).await?;
            let engine = self.stages[stage].1.clone();
            if stage > 0 {
                sleep(self.simulation.hop(&self.stages[stage - 1].1, &engine)).await;
                engine.wait_until_awake().await;
            }
            self.check_alive(stage).await?;
            if let Some(since) = engine.leaving_since.get() {
                let after = self.sent_at.saturating_duration_since(since);
                let endpoint = engine.spec.endpoint.clone();
                self.simulation.late_arrivals.borrow_mut().push(LateArrival { endpoint, after });
                return self.refuse(stage, true).await;
            }
            if !self.is_newest(&engine) {
                return self.refuse(stage, false).await;
            }
        }
        Ok(())
    }

    /// Records the attempt at the engine and returns whether it has seen no later one.
    fn is_newest(&self, engine: &EngineCore) -> bool {
        let mut attempts = engine.newest_attempts.borrow_mut();
        let highest = attempts.entry(self.call.request.clone()).or_default();
        *highest = self.call.attempt.max(*highest);
        *highest == self.call.attempt
    }

    async fn refuse(&self, stage: usize, leaving: bool) -> Result<(), AttemptStopped> {
        if stage > 0 {
            return self.fail(stage, "refused").await;
        }
        let failure = CallFailure::Refused { reason: "refused".into(), leaving };
        let _ = self.sender.send(Err(failure)).await;
        Err(AttemptStopped)
    }

    async fn fail<T>(&self, stage: usize, reason: &str) -> Result<T, AttemptStopped> {
        let event = GenerateEvent::Failed {
            attempt: self.call.attempt,
            endpoint: self.stages[stage].0.endpoint.clone(),
            reason: reason.into(),
        };
        if self.stages[0].1.is_alive.get() {
            let _ = self.sender.send(Ok(event)).await;
        }
        Err(AttemptStopped)
    }

    async fn check_alive(&self, stage: usize) -> Result<(), AttemptStopped> {
        if !self.stages[0].1.is_alive.get() {
            return Err(AttemptStopped);
        }
        if !self.stages[stage].1.is_alive.get() {
            return self.fail(stage, "connection broke").await;
        }
        Ok(())
    }

    /// Fills the KV cache of each stage up to the accepted tokens, by import or computation, unless
    /// the engine already holds that much.
    async fn fill_kv_caches(&mut self) -> Result<(), AttemptStopped> {
        let length = self.call.accepted.len() as TokenPosition;
        for stage in 0..self.stages.len() {
            let engine = self.stages[stage].1.clone();
            let held_length = engine.kv_lengths.borrow().get(&self.call.request).copied();
            if held_length.is_none_or(|held| held < length) && !self.import(&engine, length).await {
                let tokens = self.call.prompt.len() as u32 / 4 + length;
                sleep(self.simulation.times.prefill_token * tokens).await;
            }
            self.check_alive(stage).await?;
            engine.kv_lengths.borrow_mut().insert(self.call.request.clone(), length);
        }
        Ok(())
    }

    async fn import(&self, engine: &EngineCore, length: TokenPosition) -> bool {
        if !self.simulation.times.imports {
            return false;
        }
        for address in &self.call.kv_sources {
            let Some(source) = self.simulation.engines.get(address) else {
                continue;
            };
            let has_layers = source.spec.first_layer <= engine.spec.first_layer
                && source.spec.last_layer >= engine.spec.last_layer;
            let held_length =
                source.kv_lengths.borrow().get(&self.call.request).copied().unwrap_or(0);
            if !has_layers || !source.is_alive.get() || held_length < length || length == 0 {
                continue;
            }
            if source.is_frozen.get() {
                sleep(self.simulation.times.import_timeout).await;
                continue;
            }
            sleep(self.simulation.times.import_token * length).await;
            return true;
        }
        false
    }

    /// Runs every stage for one position and returns the stages' reports.
    async fn run_position(
        &mut self,
        position: TokenPosition,
    ) -> Result<Vec<StageReport>, AttemptStopped> {
        let mut state = *self.tokens.last().unwrap_or(&token::seed(
            &self.call.model,
            &self.call.version,
            &self.call.prompt,
        ));
        let mut reports = Vec::with_capacity(self.stages.len());
        for stage in 0..self.stages.len() {
            let engine = self.stages[stage].1.clone();
            if stage > 0 {
                sleep(self.simulation.transfer(&self.stages[stage - 1].1, &engine)).await;
            }
            self.inject_planned_fault(stage, FaultStep::BeforeLayers(position)).await?;
            self.check_alive(stage).await?;
            let was_frozen = engine.is_frozen.get();
            engine.wait_until_awake().await;
            // A resumed engine runs its current step before it notices the cancellation.
            if self.sender.is_closed() && !was_frozen {
                return Err(AttemptStopped);
            }
            if !self.is_newest(&engine) {
                return self.fail(stage, "later attempt seen").await;
            }
            if !engine.run_token(self.call.priority).await {
                self.check_alive(stage).await?;
            }
            state = engine.fold_layers(state, &self.call.version);
            self.record(&engine, position);
            reports.push(engine.report());
            engine.kv_lengths.borrow_mut().insert(self.call.request.clone(), position + 1);
            self.inject_planned_fault(stage, FaultStep::AfterLayers(position)).await?;
            engine.wait_until_awake().await;
            self.check_alive(stage).await?;
        }
        self.tokens.push(state);
        Ok(reports)
    }

    fn record(&self, engine: &EngineCore, position: TokenPosition) {
        if !self.simulation.keep_records {
            return;
        }
        let (_, first, last) = engine.actual_part.borrow().clone();
        let records = (first..=last).map(|layer| RunRecord {
            request: self.call.request.clone(),
            attempt: self.call.attempt,
            position,
            layer,
            endpoint: engine.spec.endpoint.clone(),
        });
        self.simulation.records.borrow_mut().extend(records);
    }

    async fn inject_planned_fault(
        &mut self,
        stage: usize,
        step: FaultStep,
    ) -> Result<(), AttemptStopped> {
        let Some(fault) = self.simulation.take_fault(stage, step) else {
            return Ok(());
        };
        let engine = self.stages[stage].1.clone();
        let endpoint = engine.spec.endpoint.clone();
        let injected = InjectedFault { fault, endpoint, at: Instant::now() };
        self.simulation.injected_faults.borrow_mut().push(injected);
        match fault {
            EngineFault::LateToken => self.send_late_token(engine.report()).await?,
            EngineFault::DuplicateToken => self.send_duplicate().await?,
            EngineFault::WrongDigest => self.sends_wrong_digest = true,
            EngineFault::EarlyEnd => {
                let length = self.tokens.len() as TokenPosition;
                self.send_end(length, token::answer_digest(&self.tokens)).await?;
                return Err(AttemptStopped);
            }
            _ => {}
        }
        match self.simulation.inject_fault(&engine, fault) {
            FaultEffect::None => Ok(()),
            FaultEffect::Close => Err(AttemptStopped),
            FaultEffect::Refuse => self.refuse(stage, false).await,
        }
    }

    /// Sends a token of the previous attempt whose value is not the next one of the answer.
    async fn send_late_token(&self, report: StageReport) -> Result<(), AttemptStopped> {
        let position = self.tokens.len() as TokenPosition;
        let value = token::fold_layer(self.call.attempt.into(), 0);
        let reports = self.stages.iter().map(|(_, engine)| engine.report());
        let reports = reports.chain([report]).take(self.stages.len()).collect();
        self.send_token(self.call.attempt.wrapping_sub(1), position, value, reports).await
    }

    async fn send_duplicate(&self) -> Result<(), AttemptStopped> {
        let Some(token) = self.tokens.last() else {
            return Ok(());
        };
        let position = self.tokens.len() as TokenPosition - 1;
        let reports = self.stages.iter().map(|(_, engine)| engine.report()).collect();
        self.send_token(self.call.attempt, position, *token, reports).await
    }

    async fn send_token(
        &self,
        attempt: AttemptNumber,
        position: TokenPosition,
        token: u64,
        stages: Vec<StageReport>,
    ) -> Result<(), AttemptStopped> {
        let event = GenerateEvent::Token { attempt, position, token, stages };
        self.sender.send(Ok(event)).await.map_err(|_| AttemptStopped)
    }

    async fn send_end(
        &self,
        length: TokenPosition,
        digest: Box<str>,
    ) -> Result<(), AttemptStopped> {
        let event = GenerateEvent::End { attempt: self.call.attempt, length, digest };
        self.sender.send(Ok(event)).await.map_err(|_| AttemptStopped)
    }
}

impl EndpointClient for FakeEngines {
    fn generate(&self, call: GenerateCall, _timeout: Duration) -> EventReceiver {
        let (sender, receiver) = mpsc::channel(EVENT_BUFFER_SIZE);
        let stages = call.route.iter().filter_map(|stage| {
            self.simulation
                .engines
                .get(&stage.address)
                .map(|engine| (stage.clone(), engine.clone()))
        });
        let run = AttemptRun {
            simulation: self.simulation.clone(),
            stages: stages.collect(),
            tokens: call.accepted.clone(),
            call,
            sender,
            sends_wrong_digest: false,
            sent_at: Instant::now(),
        };
        tokio::task::spawn_local(run.run());
        receiver
    }

    fn call(
        &self,
        address: &str,
        _call: PlainCall,
    ) -> LocalBoxFuture<'_, Result<PlainReply, CallFailure>> {
        let reason = format!("{address} is not a plain service");
        async move { Err(CallFailure::NotSent(reason.into())) }.boxed_local()
    }

    fn status(
        &self,
        address: &str,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        let engine = self.simulation.engines.get(address).cloned();
        async move {
            sleep(self.simulation.times.router_hop).await;
            let engine = engine.filter(|engine| engine.is_alive.get());
            let engine = engine.ok_or_else(|| CallFailure::NotSent("refused".into()))?;
            if engine.is_frozen.get() {
                sleep(timeout).await;
                return Err(CallFailure::Broken("timed out".into()));
            }
            Ok(engine.status(!self.simulation.times.load_lag.is_zero()))
        }
        .boxed_local()
    }

    fn order(
        &self,
        address: &str,
        order: EngineOrder,
        _timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        let engine = self.simulation.engines.get(address).cloned();
        async move {
            let engine = engine.ok_or_else(|| CallFailure::NotSent("refused".into()))?;
            engine.fence.set(order.fence.max(engine.fence.get()));
            engine.leaving_since.set(order.leaving.then(Instant::now));
            Ok(engine.status(false))
        }
        .boxed_local()
    }
}

async fn sleep(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}
