//! Policy sweep: the decision code against engines in memory, on the paused clock.

use hdrhistogram::Histogram;
use jacinthrock::{
    AnswerDriver, AnswerRequest, AnswerResult, ChainPolicy, DomainName, DriverOptions,
    EffectiveConfig, EffectiveService, EndpointDeclaration, EndpointFleet, FleetOptions,
    LinkDeclaration, MetricName, MetricRegistry, ModelDeclaration, PlannerOptions, PriorityClass,
    ServiceTarget, poll_engines,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::bound::token_bound;
use crate::fake_engine::{EngineSpec, EngineTimes, FakeEngines, LinkSpec};
use crate::token;

/// Layers of the model in every world.
pub const LAYERS: u16 = 8;

/// Steps of the three kinds of accelerators, in milliseconds.
const STEP_MILLIS: [u64; 3] = [10, 20, 40];

/// Tokens in one batch.
const BATCH: usize = 8;

/// Time for which one token's activations occupy a slow link, in microseconds.
const SLOW_LINK_TOKEN_MICROS: u64 = 2_000;

/// Time for which one token's activations occupy a fast link, in microseconds.
const FAST_LINK_TOKEN_MICROS: u64 = 20;

/// Time in which a request has to be whole.
const DEADLINE: Duration = Duration::from_secs(20);

/// Load of one sweep.
#[derive(Clone, Debug)]
pub struct SweepOptions {
    /// Seed of arrivals, engines and choices.
    pub seed: u64,
    /// Endpoints of each stage.
    pub replicas: usize,
    /// Stages of each chain.
    pub stages: u16,
    /// Routers between callers and engines.
    pub routers: usize,
    /// Requests in flight, as a multiple of the engines' batches together.
    pub concurrency: f64,
    /// Time before counting starts.
    pub warm_up: Duration,
    /// Time that is counted.
    pub window: Duration,
    /// Age of the load in an engine's report.
    pub load_lag: Duration,
    /// Largest random part of a stage's cost.
    pub spread: f64,
    /// Polls of each router over all engines, a second.
    pub polls_per_second: u32,
}

impl Default for SweepOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            replicas: 20,
            stages: 2,
            routers: 6,
            concurrency: 3.5,
            warm_up: Duration::from_secs(8),
            window: Duration::from_secs(20),
            load_lag: Duration::from_millis(250),
            spread: PlannerOptions::default().cost_jitter,
            polls_per_second: FleetOptions::default().polls_per_second,
        }
    }
}

/// What one policy reached at one load.
#[derive(Clone, Debug, Serialize)]
pub struct SweepPoint {
    /// Policy.
    pub policy: Box<str>,
    /// Offered tokens as a fraction of the bound.
    pub offered: f64,
    /// Bound in tokens a second.
    pub bound: f64,
    /// Tokens of whole answers in the window, as a fraction of the bound.
    pub reached: f64,
    /// Answers that ended whole.
    pub whole: u64,
    /// Answers that were refused, late ones included.
    pub refused: u64,
    /// Whole answers that differ from the recomputed ones.
    pub wrong: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Guidance: wait for the first token, in milliseconds, 50th and 99th in a hundred.
    pub guidance_wait_ms: [u64; 2],
    /// Guidance: time between tokens, in milliseconds, 50th and 99th in a hundred.
    pub guidance_gap_ms: [u64; 2],
}

/// A world of engines with its links.
#[derive(Clone, Debug)]
pub struct SweepTopology {
    /// Engines.
    pub specs: Vec<EngineSpec>,
    /// Links between failure domains, by direction.
    pub links: BTreeMap<(DomainName, DomainName), LinkSpec>,
}

fn domain(index: usize) -> DomainName {
    format!("domain-{index}").into()
}

fn link(latency_ms: u64, token_micros: u64) -> LinkSpec {
    let latency = Duration::from_millis(latency_ms);
    LinkSpec { latency, token_time: Duration::from_micros(token_micros) }
}

/// Engines of three kinds in three failure domains; one pair of domains has a slow link.
pub fn sweep_topology(options: &SweepOptions) -> SweepTopology {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let per_stage = LAYERS / options.stages;
    let mut specs = Vec::new();
    for stage in 0..options.stages {
        for replica in 0..options.replicas {
            let kind = rng.random_range(0..STEP_MILLIS.len());
            specs.push(EngineSpec {
                endpoint: format!("engine-{stage}-{replica}").into(),
                address: format!("10.0.{stage}.{replica}:80").into(),
                domain: domain(replica % 3),
                model: "guide".into(),
                version: "1".into(),
                first_layer: stage * per_stage,
                last_layer: (stage + 1) * per_stage - 1,
                step_time: Duration::from_millis(STEP_MILLIS[kind]),
                batch: BATCH,
            });
        }
    }
    SweepTopology { specs, links: sweep_links() }
}

fn sweep_links() -> BTreeMap<(DomainName, DomainName), LinkSpec> {
    let mut links = BTreeMap::new();
    for (left, right) in [(0, 1), (0, 2), (1, 2)] {
        let spec = match (left, right) {
            (1, 2) => link(100, SLOW_LINK_TOKEN_MICROS),
            _ => link(1, FAST_LINK_TOKEN_MICROS),
        };
        links.insert((domain(left), domain(right)), spec);
        links.insert((domain(right), domain(left)), spec);
    }
    links
}

impl SweepTopology {
    /// The best steady flow, in tokens a second.
    pub fn bound(&self) -> f64 {
        token_bound(&self.specs, &self.links, LAYERS)
    }

    /// The model as an operator declares it.
    pub fn model(&self, stages: u16) -> ModelDeclaration {
        let endpoints = self.specs.iter().map(|spec| EndpointDeclaration {
            name: spec.endpoint.clone(),
            address: spec.address.clone(),
            domain: spec.domain.clone(),
            accelerator: format!("step-{}", spec.step_time.as_millis()).into(),
            checks_fence: true,
        });
        ModelDeclaration {
            name: "guide".into(),
            version: "1".into(),
            layers: LAYERS,
            stages,
            endpoint_slots: BATCH as u32,
            endpoints: endpoints.collect(),
        }
    }

    /// The configuration with this model and its links.
    pub fn config(&self, stages: u16) -> EffectiveConfig {
        let service = EffectiveService {
            name: "guide".into(),
            priority: PriorityClass::Guidance,
            deadline: DEADLINE,
            token_gap: Duration::from_secs(5),
            max_tokens: 256,
            queue_length: 1000,
            target: ServiceTarget::Model(self.model(stages)),
        };
        let links = self.links.iter().filter(|((from, to), _)| from < to);
        let links = links.map(|((from, to), spec)| LinkDeclaration {
            between: [from.clone(), to.clone()],
            latency_us: spec.latency.as_micros() as u64,
            megabits: 131_072 / spec.token_time.as_micros().max(1) as u64,
        });
        EffectiveConfig {
            revision: 1,
            services: BTreeMap::from([(service.name.clone(), service)]),
            customers: BTreeMap::new(),
            links: links.collect(),
        }
    }
}

/// Part of the limit that only guidance may use.
const GUIDANCE_RESERVE: f64 = 0.1;

/// Admits requests up to a limit, guidance first and with a reserve; a stand-in for admission.
struct RequestGate {
    free: Cell<usize>,
    reserve: usize,
    waiting: RefCell<BTreeMap<(PriorityClass, u64), oneshot::Sender<()>>>,
    sequence: Cell<u64>,
}

impl RequestGate {
    fn new(limit: usize) -> Self {
        let reserve = (limit as f64 * GUIDANCE_RESERVE) as usize;
        let (free, sequence) = (Cell::new(limit), Cell::new(0));
        Self { free, reserve, waiting: RefCell::default(), sequence }
    }

    fn has_room(&self, priority: PriorityClass) -> bool {
        let kept = if priority == PriorityClass::Guidance { 0 } else { self.reserve };
        self.free.get() > kept
    }

    async fn enter(&self, priority: PriorityClass, deadline: Instant) -> bool {
        if self.has_room(priority) {
            self.free.set(self.free.get() - 1);
            return true;
        }
        let (sender, admitted) = oneshot::channel();
        let sequence = self.sequence.get();
        self.sequence.set(sequence + 1);
        self.waiting.borrow_mut().insert((priority, sequence), sender);
        tokio::time::timeout_at(deadline, admitted).await.is_ok_and(|sent| sent.is_ok())
    }

    fn leave(&self) {
        self.free.set(self.free.get() + 1);
        let mut waiting = self.waiting.borrow_mut();
        while let Some(entry) = waiting.first_entry() {
            if !self.has_room(entry.key().0) {
                return;
            }
            if entry.remove().send(()).is_ok() {
                self.free.set(self.free.get() - 1);
            }
        }
    }
}

struct SweepTally {
    window: (Instant, Instant),
    tokens: Cell<u64>,
    whole: Cell<u64>,
    refused: Cell<u64>,
    wrong: Cell<u64>,
    waits: RefCell<Histogram<u64>>,
    gaps: RefCell<Histogram<u64>>,
}

struct SweepRouter {
    driver: AnswerDriver,
    gate: RequestGate,
    metrics: Rc<MetricRegistry>,
}

struct SweepRequest {
    number: u64,
    priority: PriorityClass,
    length: u32,
}

/// Runs one policy at one load on a clock of its own.
pub fn run_point(options: &SweepOptions, policy: ChainPolicy, offered: f64) -> SweepPoint {
    let builder =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = builder.expect("a runtime without I/O can be built");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, point_on_clock(options, policy, offered))
}

async fn point_on_clock(options: &SweepOptions, policy: ChainPolicy, offered: f64) -> SweepPoint {
    let world = sweep_topology(options);
    let bound = world.bound();
    let times = EngineTimes {
        links: world.links.clone(),
        load_lag: options.load_lag,
        prefill_token: Duration::from_micros(50),
        ..EngineTimes::default()
    };
    let engines = FakeEngines::start(world.specs.clone(), times, false);
    let routers: Vec<_> = (0..options.routers)
        .map(|index| Rc::new(start_router(options, policy, &world, &engines, index as u64)))
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let tally = Rc::new(SweepTally::new(options));
    let model = Rc::new(world.model(options.stages));
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed ^ 0xa11);
    let mut number = 0;
    let mut tasks = Vec::new();
    let mut arrival = Instant::now();
    while arrival < tally.window.1 {
        let request = draw_request(&mut rng, number);
        let mean = mean_length() / (bound * offered);
        arrival += Duration::from_secs_f64(-mean * (1.0 - rng.random::<f64>()).ln());
        tokio::time::sleep_until(arrival).await;
        let router = routers[rng.random_range(0..routers.len())].clone();
        let serve = serve(router, tally.clone(), model.clone(), request);
        tasks.push(tokio::task::spawn_local(serve));
        number += 1;
    }
    futures::future::join_all(tasks).await;
    tally.point(options, policy, offered, bound, &routers)
}

fn start_router(
    options: &SweepOptions,
    policy: ChainPolicy,
    world: &SweepTopology,
    engines: &FakeEngines,
    index: u64,
) -> SweepRouter {
    let metrics = Rc::new(MetricRegistry::new());
    let seed = options.seed * 1000 + index;
    let planner = PlannerOptions { policy, seed, cost_jitter: options.spread };
    let polls_per_second = options.polls_per_second;
    let fleet_options = FleetOptions { planner, polls_per_second, ..FleetOptions::default() };
    let fleet = EndpointFleet::new(fleet_options, metrics.clone());
    fleet.apply_config(&world.config(options.stages));
    let caller = Rc::new(engines.clone());
    let polls = poll_engines(fleet.clone(), caller.clone(), Duration::from_secs(1));
    tokio::task::spawn_local(polls);
    let driver = AnswerDriver::new(fleet, caller, metrics.clone(), DriverOptions::default());
    let batches = (world.specs.len() * BATCH) as f64;
    let limit = batches * options.concurrency / options.routers as f64;
    SweepRouter { driver, gate: RequestGate::new(limit as usize), metrics }
}

/// One in three requests is guidance with a short answer; the rest are long drafts.
fn draw_request(rng: &mut ChaCha8Rng, number: u64) -> SweepRequest {
    if rng.random_range(0..3) == 0 {
        let length = rng.random_range(16..=48);
        return SweepRequest { number, priority: PriorityClass::Guidance, length };
    }
    SweepRequest { number, priority: PriorityClass::Batch, length: rng.random_range(32..=96) }
}

fn mean_length() -> f64 {
    32.0 / 3.0 + 64.0 * 2.0 / 3.0
}

async fn serve(
    router: Rc<SweepRouter>,
    tally: Rc<SweepTally>,
    model: Rc<ModelDeclaration>,
    request: SweepRequest,
) {
    let arrived = Instant::now();
    let deadline = arrived + DEADLINE;
    if !router.gate.enter(request.priority, deadline).await {
        tally.refused.set(tally.refused.get() + 1);
        return;
    }
    let order = AnswerRequest {
        request: format!("request-{}", request.number).into(),
        model,
        prompt: format!("prompt {}", request.number).into(),
        max_tokens: request.length,
        priority: request.priority,
        deadline,
        token_gap: Duration::from_secs(5),
        first_token_timeout: Duration::from_secs(10),
    };
    let (sink, mut source) = mpsc::channel(16);
    let mut tokens = Vec::new();
    let collect = async {
        while let Some(token) = source.recv().await {
            tokens.push((Instant::now(), token));
        }
    };
    let (result, ()) = tokio::join!(router.driver.run(order, sink, &|_| true), collect);
    router.gate.leave();
    tally.count(&request, arrived, &result, &tokens);
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are valid")
}

impl SweepTally {
    fn new(options: &SweepOptions) -> Self {
        let start = Instant::now() + options.warm_up;
        Self {
            window: (start, start + options.window),
            tokens: Cell::new(0),
            whole: Cell::new(0),
            refused: Cell::new(0),
            wrong: Cell::new(0),
            waits: RefCell::new(histogram()),
            gaps: RefCell::new(histogram()),
        }
    }

    fn count(
        &self,
        request: &SweepRequest,
        arrived: Instant,
        result: &AnswerResult,
        tokens: &[(Instant, u64)],
    ) {
        let is_counted = |at: Instant| at >= self.window.0 && at < self.window.1;
        if request.priority == PriorityClass::Guidance && is_counted(arrived) {
            self.count_times(arrived, tokens);
        }
        let AnswerResult::Done { .. } = result else {
            self.refused.set(self.refused.get() + 1);
            return;
        };
        self.whole.set(self.whole.get() + 1);
        let prompt = format!("prompt {}", request.number);
        let expected = token::expected_answer("guide", "1", &prompt, LAYERS, request.length);
        if !tokens.iter().map(|(_, token)| token).eq(expected.iter()) {
            self.wrong.set(self.wrong.get() + 1);
        }
        let counted = tokens.iter().filter(|(at, _)| is_counted(*at)).count();
        self.tokens.set(self.tokens.get() + counted as u64);
    }

    fn count_times(&self, arrived: Instant, tokens: &[(Instant, u64)]) {
        let first = tokens.first().map_or(DEADLINE, |(at, _)| at.duration_since(arrived));
        self.waits.borrow_mut().saturating_record(first.as_millis() as u64);
        for pair in tokens.windows(2) {
            let gap = pair[1].0.duration_since(pair[0].0);
            self.gaps.borrow_mut().saturating_record(gap.as_millis() as u64);
        }
    }

    fn point(
        &self,
        options: &SweepOptions,
        policy: ChainPolicy,
        offered: f64,
        bound: f64,
        routers: &[Rc<SweepRouter>],
    ) -> SweepPoint {
        let quantiles = |histogram: &RefCell<Histogram<u64>>| {
            let histogram = histogram.borrow();
            [histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99)]
        };
        let retries = routers.iter().map(|router| retry_count(&router.metrics));
        SweepPoint {
            policy: format!("{policy:?}").into(),
            offered,
            bound,
            reached: self.tokens.get() as f64 / options.window.as_secs_f64() / bound,
            whole: self.whole.get(),
            refused: self.refused.get(),
            wrong: self.wrong.get(),
            retries: retries.sum(),
            guidance_wait_ms: quantiles(&self.waits),
            guidance_gap_ms: quantiles(&self.gaps),
        }
    }
}

fn retry_count(metrics: &MetricRegistry) -> u64 {
    let reasons = [
        "not_sent",
        "refused",
        "broken",
        "truncated",
        "stage_failed",
        "wrong_stage",
        "frozen",
        "slow",
    ];
    reasons.iter().map(|reason| metrics.value(MetricName::Retries, &[reason]) as u64).sum()
}
