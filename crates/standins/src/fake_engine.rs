//! In-memory model engines on the paused clock, with faults at planned steps.
//!
//! Each engine folds its layers into the token and writes down what it ran, so that a checker
//! needs no word of the router. Runs inside a `LocalSet`.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use jacinthrock::{
    AttemptNumber, CallFailure, DomainName, EndpointCaller, EndpointName, EngineOrder,
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

/// Events that wait in a connection before the engine has to wait.
const CONNECTION_EVENTS: usize = 64;

/// What a fault does to the engine, or to the answer that passes through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineFault {
    /// The process dies; connections to it break.
    Kill,
    /// The process stops and answers nothing.
    Freeze,
    /// The process stops and goes on later.
    FreezeAndWake,
    /// The connection between router and first stage breaks.
    CutConnection,
    /// Every hop out of the engine takes far longer.
    SlowLink,
    /// The engine silently runs another version.
    OtherVersion,
    /// The engine silently runs one layer less.
    OtherRange,
    /// A token of the attempt before comes in this one.
    LateToken,
    /// The token before comes once more.
    DuplicateToken,
    /// The answer ends early, with the digest of what was sent.
    EarlyEnd,
    /// The end carries a wrong digest.
    WrongDigest,
    /// The engine refuses the attempt before starting it.
    Refuse,
    /// The engine is leaving: it finishes what it has and refuses new work.
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

/// Step of an answer at which a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultStep {
    /// Before the attempt starts.
    Start,
    /// Before the engine runs its layers for a position.
    BeforeLayers(TokenPosition),
    /// After the engine ran its layers for a position, before the token goes on.
    AfterLayers(TokenPosition),
    /// After the last token, before the end.
    End,
}

/// A fault that strikes once, at the first attempt that comes to its step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// What happens.
    pub fault: EngineFault,
    /// When it happens.
    pub step: FaultStep,
    /// Stage at which it happens, by its place in the route.
    pub stage: usize,
}

/// An engine as it starts.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Address under which it is called.
    pub address: Box<str>,
    /// Failure domain that it is in.
    pub domain: DomainName,
    /// Name of the model that it holds.
    pub model: Box<str>,
    /// Version of the model that it holds.
    pub version: Box<str>,
    /// First layer that it holds.
    pub first_layer: LayerIndex,
    /// Last layer that it holds.
    pub last_layer: LayerIndex,
    /// Time of one step over a batch.
    pub step_time: Duration,
    /// Tokens in one batch at most.
    pub batch: usize,
}

/// A link from one failure domain to another.
#[derive(Clone, Copy, Debug)]
pub struct LinkSpec {
    /// Time of a hop.
    pub latency: Duration,
    /// Time for which one token's activations occupy the link.
    pub token_time: Duration,
}

/// A planned fault that struck.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InjectedFault {
    /// What happened.
    pub fault: EngineFault,
    /// Engine that it struck.
    pub endpoint: EndpointName,
    /// When it struck.
    pub at: Instant,
}

/// Times that all engines share.
#[derive(Clone, Debug)]
pub struct EngineTimes {
    /// Time of a hop between router and engine.
    pub caller_hop: Duration,
    /// Time of a hop between engines in one failure domain.
    pub local_hop: Duration,
    /// Time of a hop between engines in different failure domains, unless listed.
    pub remote_hop: Duration,
    /// Links between pairs of failure domains, from the first to the second.
    pub links: BTreeMap<(DomainName, DomainName), LinkSpec>,
    /// Extra time of each hop out of an engine with [`EngineFault::SlowLink`].
    pub slow_hop: Duration,
    /// Time from a freeze to the wake, with [`EngineFault::FreezeAndWake`].
    pub wake_after: Duration,
    /// Time to compute the KV cache of one earlier token in one stage.
    pub prefill_token: Duration,
    /// Whether engines import KV caches; else they compute them.
    pub imports: bool,
    /// Time to import the KV cache of one earlier token into one stage.
    pub import_token: Duration,
    /// Time after which an import from an engine that does not answer is given up.
    pub import_timeout: Duration,
    /// Age of the load in a report.
    pub load_lag: Duration,
}

impl Default for EngineTimes {
    fn default() -> Self {
        Self {
            caller_hop: Duration::from_millis(1),
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

/// One layer run for one position, as the engine wrote it down.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunRecord {
    /// Request.
    pub request: RequestId,
    /// Attempt that the engine ran it for.
    pub attempt: AttemptNumber,
    /// Position of the token.
    pub position: TokenPosition,
    /// Layer.
    pub layer: LayerIndex,
    /// Engine that ran it.
    pub endpoint: EndpointName,
}

/// An attempt that reached an engine while it was leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LateArrival {
    /// Engine that was leaving.
    pub endpoint: EndpointName,
    /// Time from when it began to leave to when the router sent the attempt.
    pub after: Duration,
}

struct EngineJob {
    done: oneshot::Sender<()>,
}

struct EngineCore {
    spec: EngineSpec,
    held: RefCell<(Box<str>, LayerIndex, LayerIndex)>,
    fence: Cell<u64>,
    alive: Cell<bool>,
    frozen: Cell<bool>,
    slow: Cell<bool>,
    leaving: Cell<Option<Instant>>,
    changed: Notify,
    cut: Notify,
    queue: RefCell<BTreeMap<(PriorityClass, u64), EngineJob>>,
    queued: Notify,
    sequence: Cell<u64>,
    open: Cell<u32>,
    reported: Cell<(u32, u32)>,
    attempts: RefCell<BTreeMap<RequestId, AttemptNumber>>,
    cache: RefCell<BTreeMap<RequestId, TokenPosition>>,
}

struct WorldCore {
    engines: BTreeMap<Box<str>, Rc<EngineCore>>,
    times: EngineTimes,
    keep_records: bool,
    records: RefCell<Vec<RunRecord>>,
    faults: RefCell<Vec<PlannedFault>>,
    struck: RefCell<Vec<InjectedFault>>,
    link_free: RefCell<BTreeMap<(DomainName, DomainName), Instant>>,
    arrivals: RefCell<Vec<LateArrival>>,
    tokens: Cell<u64>,
}

/// Engines in memory, with the calls that a router makes to them.
#[derive(Clone)]
pub struct FakeEngines {
    world: Rc<WorldCore>,
}

/// What happens to the answer after a planned fault struck.
enum FaultEffect {
    None,
    Close,
    Refuse,
}

struct AttemptRun {
    world: Rc<WorldCore>,
    call: GenerateCall,
    stages: Vec<(RouteStage, Rc<EngineCore>)>,
    sender: mpsc::Sender<Result<GenerateEvent, CallFailure>>,
    tokens: Vec<u64>,
    wrong_digest: bool,
    sent_at: Instant,
}

/// The answer stopped; its connection is closed by dropping it.
struct AttemptStopped;

impl FakeEngines {
    /// Starts engines; `keep_records` costs memory for each layer that runs.
    pub fn start(specs: Vec<EngineSpec>, times: EngineTimes, keep_records: bool) -> Self {
        let engines = specs.into_iter().map(|spec| {
            let engine = Rc::new(EngineCore::new(spec));
            tokio::task::spawn_local(run_batches(engine.clone()));
            if !times.load_lag.is_zero() {
                tokio::task::spawn_local(report_load(engine.clone(), times.load_lag));
            }
            (engine.spec.address.clone(), engine)
        });
        let world = WorldCore {
            engines: engines.collect(),
            times,
            keep_records,
            records: RefCell::default(),
            faults: RefCell::default(),
            struck: RefCell::default(),
            link_free: RefCell::default(),
            arrivals: RefCell::default(),
            tokens: Cell::new(0),
        };
        Self { world: Rc::new(world) }
    }

    /// Plans faults, each of which strikes once.
    pub fn plan_faults(&self, faults: impl IntoIterator<Item = PlannedFault>) {
        self.world.faults.borrow_mut().extend(faults);
    }

    /// Strikes an engine now; a cut breaks every connection of routers to it.
    pub fn inject_fault(&self, address: &str, fault: EngineFault) {
        let engine = self.world.engines[address].clone();
        if let FaultEffect::Close = self.world.inject_fault(&engine, fault) {
            engine.cut.notify_waiters();
        }
    }

    /// Requests of which an engine holds the KV cache.
    pub fn cached_requests(&self, address: &str) -> Vec<RequestId> {
        self.world.engines[address].cache.borrow().keys().cloned().collect()
    }

    /// Wakes a frozen engine.
    pub fn wake(&self, address: &str) {
        self.world.engines[address].wake();
    }

    /// What the engines ran, in the order in which they ran it.
    pub fn records(&self) -> Vec<RunRecord> {
        self.world.records.borrow().clone()
    }

    /// Planned faults that struck.
    pub fn struck(&self) -> Vec<InjectedFault> {
        self.world.struck.borrow().clone()
    }

    /// Attempts that reached an engine while it was leaving.
    pub fn late_arrivals(&self) -> Vec<LateArrival> {
        self.world.arrivals.borrow().clone()
    }

    /// Tokens that all engines together sent to routers.
    pub fn tokens_sent(&self) -> u64 {
        self.world.tokens.get()
    }

    /// Attempts open at an engine.
    pub fn open_attempts(&self, address: &str) -> u32 {
        self.world.engines[address].open.get()
    }
}

impl EngineCore {
    fn new(spec: EngineSpec) -> Self {
        let held = (spec.version.clone(), spec.first_layer, spec.last_layer);
        Self {
            spec,
            held: RefCell::new(held),
            fence: Cell::new(0),
            alive: Cell::new(true),
            frozen: Cell::new(false),
            slow: Cell::new(false),
            leaving: Cell::new(None),
            changed: Notify::new(),
            cut: Notify::new(),
            queue: RefCell::default(),
            queued: Notify::new(),
            sequence: Cell::new(0),
            open: Cell::new(0),
            reported: Cell::new((0, 0)),
            attempts: RefCell::default(),
            cache: RefCell::default(),
        }
    }

    fn kill(&self) {
        self.alive.set(false);
        self.queue.borrow_mut().clear();
        self.cache.borrow_mut().clear();
        self.changed.notify_waiters();
        self.cut.notify_waiters();
    }

    fn wake(&self) {
        self.frozen.set(false);
        self.changed.notify_waiters();
    }

    async fn wait_awake(&self) {
        while self.frozen.get() && self.alive.get() {
            self.changed.notified().await;
        }
    }

    /// Runs one token's layers in the next batch that has room.
    async fn run_token(&self, priority: PriorityClass) -> bool {
        if !self.alive.get() {
            return false;
        }
        let (done, finished) = oneshot::channel();
        let sequence = self.sequence.get();
        self.sequence.set(sequence + 1);
        self.queue.borrow_mut().insert((priority, sequence), EngineJob { done });
        self.queued.notify_one();
        finished.await.is_ok()
    }

    fn load(&self) -> (u32, u32) {
        let waiting = (self.queue.borrow().len() as u32).min(self.open.get());
        (self.open.get() - waiting, waiting)
    }

    fn report(&self) -> StageReport {
        let (version, first_layer, last_layer) = self.held.borrow().clone();
        StageReport { endpoint: self.spec.endpoint.clone(), version, first_layer, last_layer }
    }

    /// Status as the engine last announced it; a silent change of version or range is not in it.
    fn status(&self, lags: bool) -> EngineStatus {
        let (running, waiting) = if lags { self.reported.get() } else { self.load() };
        EngineStatus {
            endpoint: self.spec.endpoint.clone(),
            model: self.spec.model.clone(),
            version: self.spec.version.clone(),
            first_layer: self.spec.first_layer,
            last_layer: self.spec.last_layer,
            fence: self.fence.get(),
            running,
            waiting,
            leaving: self.leaving.get().is_some(),
        }
    }

    /// Folds the layers that the engine holds, salted where it holds another version.
    fn fold(&self, state: u64, version: &str) -> u64 {
        let (held, first, last) = self.held.borrow().clone();
        let salt = if *held == *version { 0 } else { token::seed("", &held, "") };
        token::fold_layers(state ^ salt, first, last)
    }
}

async fn run_batches(engine: Rc<EngineCore>) {
    while engine.alive.get() {
        let mut batch = Vec::new();
        while batch.len() < engine.spec.batch {
            let Some((_, job)) = engine.queue.borrow_mut().pop_first() else {
                break;
            };
            if !job.done.is_closed() {
                batch.push(job);
            }
        }
        if batch.is_empty() {
            engine.queued.notified().await;
            continue;
        }
        tokio::time::sleep(engine.spec.step_time).await;
        engine.wait_awake().await;
        if !engine.alive.get() {
            return;
        }
        for job in batch {
            let _ = job.done.send(());
        }
    }
}

async fn report_load(engine: Rc<EngineCore>, lag: Duration) {
    let mut earlier = (0, 0);
    while engine.alive.get() {
        engine.reported.set(earlier);
        earlier = engine.load();
        tokio::time::sleep(lag).await;
    }
}

impl WorldCore {
    fn inject_fault(self: &Rc<Self>, engine: &Rc<EngineCore>, fault: EngineFault) -> FaultEffect {
        match fault {
            EngineFault::Kill => engine.kill(),
            EngineFault::Freeze => engine.frozen.set(true),
            EngineFault::FreezeAndWake => {
                engine.frozen.set(true);
                let (engine, after) = (engine.clone(), self.times.wake_after);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(after).await;
                    engine.wake();
                });
            }
            EngineFault::SlowLink => engine.slow.set(true),
            EngineFault::OtherVersion => engine.held.borrow_mut().0 = "other".into(),
            EngineFault::OtherRange => {
                let mut held = engine.held.borrow_mut();
                held.2 = held.2.saturating_sub(1);
            }
            EngineFault::Leave => engine.leaving.set(Some(Instant::now())),
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
        let mut faults = self.faults.borrow_mut();
        let index = faults.iter().position(|plan| plan.stage == stage && plan.step == step)?;
        Some(faults.swap_remove(index).fault)
    }

    /// Time of a hop without activations.
    fn hop(&self, from: &EngineCore, to: &EngineCore) -> Duration {
        let extra = if from.slow.get() { self.times.slow_hop } else { Duration::ZERO };
        let (from, to) = (&from.spec.domain, &to.spec.domain);
        let usual = if from == to { self.times.local_hop } else { self.times.remote_hop };
        let link = self.times.links.get(&(from.clone(), to.clone()));
        link.map_or(usual, |link| link.latency) + extra
    }

    /// Time of a hop with one token's activations, after those that occupy the link.
    fn transfer(&self, from: &EngineCore, to: &EngineCore) -> Duration {
        let latency = self.hop(from, to);
        let key = (from.spec.domain.clone(), to.spec.domain.clone());
        let Some(link) = self.times.links.get(&key) else {
            return latency;
        };
        let now = Instant::now();
        let mut free = self.link_free.borrow_mut();
        let free_at = free.entry(key).or_insert(now);
        *free_at = (*free_at).max(now) + link.token_time;
        free_at.duration_since(now) + latency
    }
}

impl AttemptRun {
    async fn run(mut self) {
        for (_, engine) in &self.stages {
            engine.open.set(engine.open.get() + 1);
        }
        let first = self.stages[0].1.clone();
        tokio::select! {
            _ = self.generate() => {}
            () = first.cut.notified() => {}
        }
        for (_, engine) in &self.stages {
            engine.open.set(engine.open.get() - 1);
        }
    }

    async fn generate(&mut self) -> Result<(), AttemptStopped> {
        tokio::time::sleep(self.world.times.caller_hop).await;
        self.begin().await?;
        self.fill_caches().await?;
        let start = self.call.accepted.len() as TokenPosition;
        for position in start..self.call.max_tokens {
            let reports = self.run_position(position).await?;
            let token = *self.tokens.last().expect("the position has run");
            self.stages[0].1.wait_awake().await;
            self.check_alive(0).await?;
            self.send_token(self.call.attempt, position, token, reports).await?;
            self.world.tokens.set(self.world.tokens.get() + 1);
            let first = self.stages[0].1.clone();
            let last = self.stages[self.stages.len() - 1].1.clone();
            sleep(self.world.hop(&last, &first)).await;
        }
        for stage in 0..self.stages.len() {
            self.meet_fault(stage, FaultStep::End).await?;
        }
        let digest = if self.wrong_digest {
            token::answer_digest(&[])
        } else {
            token::answer_digest(&self.tokens)
        };
        self.forget();
        self.send_end(self.call.max_tokens, digest).await
    }

    /// Frees what the engines hold for the request; a run that is checked keeps its attempts.
    fn forget(&self) {
        for (_, engine) in &self.stages {
            engine.cache.borrow_mut().remove(&self.call.request);
            if !self.world.keep_records {
                engine.attempts.borrow_mut().remove(&self.call.request);
            }
        }
    }

    /// Each stage takes or refuses the attempt.
    async fn begin(&mut self) -> Result<(), AttemptStopped> {
        let first = self.stages[0].1.clone();
        if !first.alive.get() {
            let _ = self.sender.send(Err(CallFailure::NotSent("refused".into()))).await;
            return Err(AttemptStopped);
        }
        first.wait_awake().await;
        for stage in 0..self.stages.len() {
            self.meet_fault(stage, FaultStep::Start).await?;
            let engine = self.stages[stage].1.clone();
            if stage > 0 {
                sleep(self.world.hop(&self.stages[stage - 1].1, &engine)).await;
                engine.wait_awake().await;
            }
            self.check_alive(stage).await?;
            if let Some(since) = engine.leaving.get() {
                let after = self.sent_at.saturating_duration_since(since);
                let endpoint = engine.spec.endpoint.clone();
                self.world.arrivals.borrow_mut().push(LateArrival { endpoint, after });
                return self.refuse(stage, true).await;
            }
            if !self.is_newest(&engine) {
                return self.refuse(stage, false).await;
            }
        }
        Ok(())
    }

    /// Whether no later attempt of the request was seen by the engine.
    fn is_newest(&self, engine: &EngineCore) -> bool {
        let mut attempts = engine.attempts.borrow_mut();
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
        if self.stages[0].1.alive.get() {
            let _ = self.sender.send(Ok(event)).await;
        }
        Err(AttemptStopped)
    }

    async fn check_alive(&self, stage: usize) -> Result<(), AttemptStopped> {
        if !self.stages[0].1.alive.get() {
            return Err(AttemptStopped);
        }
        if !self.stages[stage].1.alive.get() {
            return self.fail(stage, "connection broke").await;
        }
        Ok(())
    }

    /// Brings each stage's KV cache up to the accepted tokens: held, imported or computed.
    async fn fill_caches(&mut self) -> Result<(), AttemptStopped> {
        let wanted = self.call.accepted.len() as TokenPosition;
        for stage in 0..self.stages.len() {
            let engine = self.stages[stage].1.clone();
            let held = engine.cache.borrow().get(&self.call.request).copied();
            if held.is_none_or(|held| held < wanted) && !self.import(&engine, wanted).await {
                let tokens = self.call.prompt.len() as u32 / 4 + wanted;
                sleep(self.world.times.prefill_token * tokens).await;
            }
            self.check_alive(stage).await?;
            engine.cache.borrow_mut().insert(self.call.request.clone(), wanted);
        }
        Ok(())
    }

    async fn import(&self, engine: &EngineCore, wanted: TokenPosition) -> bool {
        if !self.world.times.imports {
            return false;
        }
        for address in &self.call.kv_sources {
            let Some(source) = self.world.engines.get(address) else {
                continue;
            };
            let covers = source.spec.first_layer <= engine.spec.first_layer
                && source.spec.last_layer >= engine.spec.last_layer;
            let held = source.cache.borrow().get(&self.call.request).copied().unwrap_or(0);
            if !covers || !source.alive.get() || held < wanted || wanted == 0 {
                continue;
            }
            if source.frozen.get() {
                sleep(self.world.times.import_timeout).await;
                continue;
            }
            sleep(self.world.times.import_token * wanted).await;
            return true;
        }
        false
    }

    /// Runs every stage for one position and returns what each said about itself.
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
                sleep(self.world.transfer(&self.stages[stage - 1].1, &engine)).await;
            }
            self.meet_fault(stage, FaultStep::BeforeLayers(position)).await?;
            self.check_alive(stage).await?;
            let was_frozen = engine.frozen.get();
            engine.wait_awake().await;
            // An engine that wakes runs what it had before it notices the cancel.
            if self.sender.is_closed() && !was_frozen {
                return Err(AttemptStopped);
            }
            if !self.is_newest(&engine) {
                return self.fail(stage, "later attempt seen").await;
            }
            if !engine.run_token(self.call.priority).await {
                self.check_alive(stage).await?;
            }
            state = engine.fold(state, &self.call.version);
            self.record(&engine, position);
            reports.push(engine.report());
            engine.cache.borrow_mut().insert(self.call.request.clone(), position + 1);
            self.meet_fault(stage, FaultStep::AfterLayers(position)).await?;
            engine.wait_awake().await;
            self.check_alive(stage).await?;
        }
        self.tokens.push(state);
        Ok(reports)
    }

    fn record(&self, engine: &EngineCore, position: TokenPosition) {
        if !self.world.keep_records {
            return;
        }
        let (_, first, last) = engine.held.borrow().clone();
        let records = (first..=last).map(|layer| RunRecord {
            request: self.call.request.clone(),
            attempt: self.call.attempt,
            position,
            layer,
            endpoint: engine.spec.endpoint.clone(),
        });
        self.world.records.borrow_mut().extend(records);
    }

    async fn meet_fault(&mut self, stage: usize, step: FaultStep) -> Result<(), AttemptStopped> {
        let Some(fault) = self.world.take_fault(stage, step) else {
            return Ok(());
        };
        let engine = self.stages[stage].1.clone();
        let endpoint = engine.spec.endpoint.clone();
        let struck = InjectedFault { fault, endpoint, at: Instant::now() };
        self.world.struck.borrow_mut().push(struck);
        match fault {
            EngineFault::LateToken => self.send_late_token(engine.report()).await?,
            EngineFault::DuplicateToken => self.send_duplicate().await?,
            EngineFault::WrongDigest => self.wrong_digest = true,
            EngineFault::EarlyEnd => {
                let length = self.tokens.len() as TokenPosition;
                self.send_end(length, token::answer_digest(&self.tokens)).await?;
                return Err(AttemptStopped);
            }
            _ => {}
        }
        match self.world.inject_fault(&engine, fault) {
            FaultEffect::None => Ok(()),
            FaultEffect::Close => Err(AttemptStopped),
            FaultEffect::Refuse => self.refuse(stage, false).await,
        }
    }

    /// Sends a token of the attempt before, with the value of another history.
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

impl EndpointCaller for FakeEngines {
    fn generate(&self, call: GenerateCall, _timeout: Duration) -> EventReceiver {
        let (sender, receiver) = mpsc::channel(CONNECTION_EVENTS);
        let stages = call.route.iter().filter_map(|stage| {
            self.world.engines.get(&stage.address).map(|engine| (stage.clone(), engine.clone()))
        });
        let run = AttemptRun {
            world: self.world.clone(),
            stages: stages.collect(),
            tokens: call.accepted.clone(),
            call,
            sender,
            wrong_digest: false,
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
        let reason = format!("{address} is no plain service");
        async move { Err(CallFailure::NotSent(reason.into())) }.boxed_local()
    }

    fn status(
        &self,
        address: &str,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        let engine = self.world.engines.get(address).cloned();
        async move {
            sleep(self.world.times.caller_hop).await;
            let engine = engine.filter(|engine| engine.alive.get());
            let engine = engine.ok_or_else(|| CallFailure::NotSent("refused".into()))?;
            if engine.frozen.get() {
                sleep(timeout).await;
                return Err(CallFailure::Broken("timed out".into()));
            }
            Ok(engine.status(!self.world.times.load_lag.is_zero()))
        }
        .boxed_local()
    }

    fn order(
        &self,
        address: &str,
        order: EngineOrder,
        _timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        let engine = self.world.engines.get(address).cloned();
        async move {
            let engine = engine.ok_or_else(|| CallFailure::NotSent("refused".into()))?;
            engine.fence.set(order.fence.max(engine.fence.get()));
            engine.leaving.set(order.leaving.then(Instant::now));
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
