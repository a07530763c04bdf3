//! Sweep over chain policies and loads: the routers' planning code runs against in-memory engines
//! on a paused clock.

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

/// Layers of the simulated model.
pub const LAYERS: u16 = 8;

/// Step time of each of the three kinds of accelerator, in milliseconds.
const STEP_MILLIS: [u64; 3] = [10, 20, 40];

/// Largest number of tokens in one batch of an engine.
const BATCH_SIZE: usize = 8;

/// Time for which one token's activations occupy a slow link, in microseconds.
const SLOW_LINK_TOKEN_MICROS: u64 = 2_000;

/// Time for which one token's activations occupy a fast link, in microseconds.
const FAST_LINK_TOKEN_MICROS: u64 = 20;

/// Deadline of a request, from its arrival.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Options of a sweep.
#[derive(Clone, Debug)]
pub struct SweepOptions {
    /// Seed of arrivals, engines and planning.
    pub seed: u64,
    /// Endpoints of each stage.
    pub replicas: usize,
    /// Stages of each chain.
    pub stages: u16,
    /// Number of routers; requests are spread over them at random.
    pub routers: usize,
    /// Limit of requests in flight, as a multiple of the sum of the engines' batch sizes.
    pub concurrency: f64,
    /// Time before the measurement window.
    pub warm_up: Duration,
    /// Length of the measurement window.
    pub window: Duration,
    /// Lag of the load that an engine reports.
    pub load_lag: Duration,
    /// Largest random addition to the cost of a stage, as a fraction of its token time.
    pub cost_jitter: f64,
    /// Polls per second of each router, over all engines.
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
            cost_jitter: PlannerOptions::default().cost_jitter,
            polls_per_second: FleetOptions::default().polls_per_second,
        }
    }
}

/// Results of one policy at one load.
#[derive(Clone, Debug, Serialize)]
pub struct SweepPoint {
    /// Policy.
    pub policy: Box<str>,
    /// Offered tokens as a fraction of the bound.
    pub offered: f64,
    /// Upper bound of the throughput, in tokens per second.
    pub bound: f64,
    /// Tokens of completed answers received in the window, as a fraction of the bound.
    pub reached: f64,
    /// Answers that completed.
    pub whole: u64,
    /// Requests that did not complete: refused, late or failed.
    pub refused: u64,
    /// Completed answers whose tokens differ from the expected ones.
    pub wrong: u64,
    /// Attempts after the first of each request.
    pub retries: u64,
    /// Time to the first token of guidance requests, in milliseconds: 50th and 99th percentile.
    pub guidance_wait_ms: [u64; 2],
    /// Time between tokens of guidance requests, in milliseconds: 50th and 99th percentile.
    pub guidance_gap_ms: [u64; 2],
}

/// Simulated engines and the links between their failure domains.
#[derive(Clone, Debug)]
pub struct SweepTopology {
    /// Engines.
    pub specs: Vec<EngineSpec>,
    /// Links between failure domains, as (from, to).
    pub links: BTreeMap<(DomainName, DomainName), LinkSpec>,
}

fn domain_name(index: usize) -> DomainName {
    format!("domain-{index}").into()
}

fn link_spec(latency_ms: u64, token_micros: u64) -> LinkSpec {
    let latency = Duration::from_millis(latency_ms);
    LinkSpec { latency, token_time: Duration::from_micros(token_micros) }
}

/// Builds engines of three kinds in three failure domains; one pair of domains has a slow link.
pub fn sweep_topology(options: &SweepOptions) -> SweepTopology {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let layers_per_stage = LAYERS / options.stages;
    let mut specs = Vec::new();
    for stage in 0..options.stages {
        for replica in 0..options.replicas {
            let kind = rng.random_range(0..STEP_MILLIS.len());
            specs.push(EngineSpec {
                endpoint: format!("engine-{stage}-{replica}").into(),
                address: format!("10.0.{stage}.{replica}:80").into(),
                domain: domain_name(replica % 3),
                model: "guide".into(),
                version: "1".into(),
                first_layer: stage * layers_per_stage,
                last_layer: (stage + 1) * layers_per_stage - 1,
                step_time: Duration::from_millis(STEP_MILLIS[kind]),
                batch: BATCH_SIZE,
            });
        }
    }
    SweepTopology { specs, links: sweep_links() }
}

fn sweep_links() -> BTreeMap<(DomainName, DomainName), LinkSpec> {
    let mut links = BTreeMap::new();
    for (left, right) in [(0, 1), (0, 2), (1, 2)] {
        let spec = match (left, right) {
            (1, 2) => link_spec(100, SLOW_LINK_TOKEN_MICROS),
            _ => link_spec(1, FAST_LINK_TOKEN_MICROS),
        };
        links.insert((domain_name(left), domain_name(right)), spec);
        links.insert((domain_name(right), domain_name(left)), spec);
    }
    links
}

impl SweepTopology {
    /// Returns the upper bound of the steady throughput, in tokens per second.
    pub fn bound(&self) -> f64 {
        token_bound(&self.specs, &self.links, LAYERS)
    }

    /// Returns the model as an operator would declare it.
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
            endpoint_slots: BATCH_SIZE as u32,
            endpoints: endpoints.collect(),
        }
    }

    /// Returns a configuration with this model and the links.
    pub fn config(&self, stages: u16) -> EffectiveConfig {
        let service = EffectiveService {
            name: "guide".into(),
            priority: PriorityClass::Guidance,
            deadline: REQUEST_TIMEOUT,
            token_gap: Duration::from_secs(5),
            max_tokens: 256,
            queue_length: 1000,
            target: ServiceTarget::Model(self.model(stages)),
        };
        let links = self.links.iter().filter(|((from, to), _)| from < to);
        let links = links.map(|((from, to), spec)| LinkDeclaration {
            between: [from.clone(), to.clone()],
            latency_us: spec.latency.as_micros() as u64,
            // A token's activations take 16 KiB, or 131,072 bits; bits per microsecond are megabits
            // per second.
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

/// Fraction of the limit that only guidance requests may use.
const GUIDANCE_RESERVE_FRACTION: f64 = 0.1;

/// Limits the requests in flight of one router, in place of its admission queue. Guidance requests
/// are admitted first and have reserved slots.
struct RequestLimiter {
    free_slots: Cell<usize>,
    reserved_slots: usize,
    waiting: RefCell<BTreeMap<(PriorityClass, u64), oneshot::Sender<()>>>,
    next_sequence: Cell<u64>,
}

impl RequestLimiter {
    fn new(limit: usize) -> Self {
        let reserved_slots = (limit as f64 * GUIDANCE_RESERVE_FRACTION) as usize;
        let (free_slots, next_sequence) = (Cell::new(limit), Cell::new(0));
        Self { free_slots, reserved_slots, waiting: RefCell::default(), next_sequence }
    }

    fn has_slot(&self, priority: PriorityClass) -> bool {
        let reserved = if priority == PriorityClass::Guidance { 0 } else { self.reserved_slots };
        self.free_slots.get() > reserved
    }

    async fn acquire(&self, priority: PriorityClass, deadline: Instant) -> bool {
        if self.has_slot(priority) {
            self.free_slots.set(self.free_slots.get() - 1);
            return true;
        }
        let (sender, admitted) = oneshot::channel();
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        self.waiting.borrow_mut().insert((priority, sequence), sender);
        tokio::time::timeout_at(deadline, admitted).await.is_ok_and(|sent| sent.is_ok())
    }

    fn release(&self) {
        self.free_slots.set(self.free_slots.get() + 1);
        let mut waiting = self.waiting.borrow_mut();
        while let Some(entry) = waiting.first_entry() {
            if !self.has_slot(entry.key().0) {
                return;
            }
            if entry.remove().send(()).is_ok() {
                self.free_slots.set(self.free_slots.get() - 1);
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
    first_token_waits: RefCell<Histogram<u64>>,
    token_gaps: RefCell<Histogram<u64>>,
}

struct SweepRouter {
    driver: AnswerDriver,
    limiter: RequestLimiter,
    metrics: Rc<MetricRegistry>,
}

struct SweepRequest {
    number: u64,
    priority: PriorityClass,
    length: u32,
}

/// Runs one policy at one load on its own paused clock.
pub fn run_point(options: &SweepOptions, policy: ChainPolicy, offered: f64) -> SweepPoint {
    let result =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = result.expect("a runtime without I/O can be built");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, simulate_point(options, policy, offered))
}

async fn simulate_point(options: &SweepOptions, policy: ChainPolicy, offered: f64) -> SweepPoint {
    let topology = sweep_topology(options);
    let bound = topology.bound();
    let times = EngineTimes {
        links: topology.links.clone(),
        load_lag: options.load_lag,
        prefill_token: Duration::from_micros(50),
        ..EngineTimes::default()
    };
    let engines = FakeEngines::start(topology.specs.clone(), times, false);
    let routers: Vec<_> = (0..options.routers)
        .map(|index| Rc::new(start_router(options, policy, &topology, &engines, index as u64)))
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let tally = Rc::new(SweepTally::new(options));
    let model = Rc::new(topology.model(options.stages));
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed ^ 0xa11);
    let mut number = 0;
    let mut tasks = Vec::new();
    let mut arrival = Instant::now();
    while arrival < tally.window.1 {
        let request = draw_request(&mut rng, number);
        let mean_interval = mean_answer_length() / (bound * offered);
        arrival += Duration::from_secs_f64(-mean_interval * (1.0 - rng.random::<f64>()).ln());
        tokio::time::sleep_until(arrival).await;
        let router = routers[rng.random_range(0..routers.len())].clone();
        let task = run_request(router, tally.clone(), model.clone(), request);
        tasks.push(tokio::task::spawn_local(task));
        number += 1;
    }
    futures::future::join_all(tasks).await;
    tally.build_point(options, policy, offered, bound, &routers)
}

fn start_router(
    options: &SweepOptions,
    policy: ChainPolicy,
    topology: &SweepTopology,
    engines: &FakeEngines,
    index: u64,
) -> SweepRouter {
    let metrics = Rc::new(MetricRegistry::new());
    let seed = options.seed * 1000 + index;
    let planner = PlannerOptions { policy, seed, cost_jitter: options.cost_jitter };
    let polls_per_second = options.polls_per_second;
    let fleet_options = FleetOptions { planner, polls_per_second, ..FleetOptions::default() };
    let fleet = EndpointFleet::new(fleet_options, metrics.clone());
    fleet.apply_config(&topology.config(options.stages));
    let client = Rc::new(engines.clone());
    let polls = poll_engines(fleet.clone(), client.clone(), Duration::from_secs(1));
    tokio::task::spawn_local(polls);
    let driver = AnswerDriver::new(fleet, client, metrics.clone(), DriverOptions::default());
    let total_batch_size = (topology.specs.len() * BATCH_SIZE) as f64;
    let limit = total_batch_size * options.concurrency / options.routers as f64;
    SweepRouter { driver, limiter: RequestLimiter::new(limit as usize), metrics }
}

/// Draws a request: one in three is guidance with a short answer, the others are batch requests
/// with long answers.
fn draw_request(rng: &mut ChaCha8Rng, number: u64) -> SweepRequest {
    if rng.random_range(0..3) == 0 {
        let length = rng.random_range(16..=48);
        return SweepRequest { number, priority: PriorityClass::Guidance, length };
    }
    SweepRequest { number, priority: PriorityClass::Batch, length: rng.random_range(32..=96) }
}

/// Mean answer length of [`draw_request`], in tokens.
fn mean_answer_length() -> f64 {
    32.0 / 3.0 + 64.0 * 2.0 / 3.0
}

async fn run_request(
    router: Rc<SweepRouter>,
    tally: Rc<SweepTally>,
    model: Rc<ModelDeclaration>,
    request: SweepRequest,
) {
    let arrived = Instant::now();
    let deadline = arrived + REQUEST_TIMEOUT;
    if !router.limiter.acquire(request.priority, deadline).await {
        tally.refused.set(tally.refused.get() + 1);
        return;
    }
    let answer_request = AnswerRequest {
        request: format!("request-{}", request.number).into(),
        model,
        prompt: format!("prompt {}", request.number).into(),
        max_tokens: request.length,
        priority: request.priority,
        deadline,
        token_gap: Duration::from_secs(5),
        first_token_timeout: Duration::from_secs(10),
    };
    let (token_sender, mut token_receiver) = mpsc::channel(16);
    let mut tokens = Vec::new();
    let collect = async {
        while let Some(token) = token_receiver.recv().await {
            tokens.push((Instant::now(), token));
        }
    };
    let (result, ()) =
        tokio::join!(router.driver.run(answer_request, token_sender, &|_| true), collect);
    router.limiter.release();
    tally.record_answer(&request, arrived, &result, &tokens);
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
            first_token_waits: RefCell::new(histogram()),
            token_gaps: RefCell::new(histogram()),
        }
    }

    fn record_answer(
        &self,
        request: &SweepRequest,
        arrived: Instant,
        result: &AnswerResult,
        tokens: &[(Instant, u64)],
    ) {
        let is_in_window = |at: Instant| at >= self.window.0 && at < self.window.1;
        if request.priority == PriorityClass::Guidance && is_in_window(arrived) {
            self.record_guidance_times(arrived, tokens);
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
        let counted = tokens.iter().filter(|(at, _)| is_in_window(*at)).count();
        self.tokens.set(self.tokens.get() + counted as u64);
    }

    fn record_guidance_times(&self, arrived: Instant, tokens: &[(Instant, u64)]) {
        let first = tokens.first().map_or(REQUEST_TIMEOUT, |(at, _)| at.duration_since(arrived));
        self.first_token_waits.borrow_mut().saturating_record(first.as_millis() as u64);
        for pair in tokens.windows(2) {
            let gap = pair[1].0.duration_since(pair[0].0);
            self.token_gaps.borrow_mut().saturating_record(gap.as_millis() as u64);
        }
    }

    fn build_point(
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
            guidance_wait_ms: quantiles(&self.first_token_waits),
            guidance_gap_ms: quantiles(&self.token_gaps),
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
