//! Recovery of answers after a stage is lost: time from the fault to the next accepted token.

use hdrhistogram::Histogram;
use jacinthrock::{
    AnswerDriver, AnswerRequest, AnswerResult, DriverOptions, EndpointFleet, FleetOptions,
    MetricRegistry, ModelDeclaration, PlannerOptions, PriorityClass, RequestId, poll_engines,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::fake_engine::{EngineFault, EngineSpec, EngineTimes, FakeEngines};
use crate::sweep::{LAYERS, SweepOptions, SweepTopology, sweep_topology};
use crate::token;

/// Time in which an answer has to be whole.
const DEADLINE: Duration = Duration::from_secs(1200);

/// Time between the starts of two answers.
const START_GAP: Duration = Duration::from_millis(7);

/// One row of the recovery table.
#[derive(Clone, Debug)]
pub struct RecoveryOptions {
    /// What strikes.
    pub fault: EngineFault,
    /// Whether it strikes every engine of one failure domain at once.
    pub whole_domain: bool,
    /// Stages of each chain.
    pub stages: u16,
    /// Tokens that the first answer has when the fault strikes.
    pub accepted: u32,
    /// Whether engines import KV caches.
    pub imports: bool,
    /// Answers that are open when the fault strikes.
    pub answers: usize,
    /// Runs, each with a seed of its own.
    pub trials: u64,
}

/// What was seen in the trials of one row.
#[derive(Clone, Debug, Serialize)]
pub struct RecoveryRow {
    /// What struck.
    pub fault: Box<str>,
    /// Whether it struck every engine of one failure domain at once.
    pub whole_domain: bool,
    /// Stages of each chain.
    pub stages: u16,
    /// Tokens that the first answer had when the fault struck.
    pub accepted: u32,
    /// Whether engines import KV caches.
    pub imports: bool,
    /// Answers that passed through the struck engine.
    pub affected: u64,
    /// Answers that did not end whole and right.
    pub lost: u64,
    /// Milliseconds from fault to next token: 50th, 95th, 99th in a hundred, worst.
    pub recovery_ms: [u64; 4],
}

struct TrialAnswer {
    request: RequestId,
    is_right: bool,
    times: Vec<Instant>,
}

/// Runs the trials of one row, each on a clock of its own.
pub fn run_row(options: &RecoveryOptions) -> RecoveryRow {
    let mut recoveries = Histogram::<u64>::new(3).expect("three digits are valid");
    let (mut affected, mut lost) = (0, 0);
    for seed in 0..options.trials {
        let builder =
            tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        let runtime = builder.expect("a runtime without I/O can be built");
        let local = tokio::task::LocalSet::new();
        let (at, struck, answers) = local.block_on(&runtime, run_trial(options, seed));
        lost += answers.iter().filter(|answer| !answer.is_right).count() as u64;
        for answer in answers.iter().filter(|answer| struck.contains(&answer.request)) {
            let Some(next) = answer.times.iter().find(|time| **time > at) else {
                continue;
            };
            affected += 1;
            recoveries.saturating_record(next.duration_since(at).as_millis() as u64);
        }
    }
    let quantile = |part| recoveries.value_at_quantile(part);
    RecoveryRow {
        fault: format!("{:?}", options.fault).into(),
        whole_domain: options.whole_domain,
        stages: options.stages,
        accepted: options.accepted,
        imports: options.imports,
        affected,
        lost,
        recovery_ms: [quantile(0.5), quantile(0.95), quantile(0.99), recoveries.max()],
    }
}

async fn run_trial(
    options: &RecoveryOptions,
    seed: u64,
) -> (Instant, BTreeSet<RequestId>, Vec<TrialAnswer>) {
    let sweep = SweepOptions { seed, replicas: 12, stages: options.stages, ..Default::default() };
    let mut world = sweep_topology(&sweep);
    world.links.retain(|(from, to), _| from == to);
    let times = EngineTimes {
        imports: options.imports,
        load_lag: sweep.load_lag,
        ..EngineTimes::default()
    };
    let engines = FakeEngines::start(world.specs.clone(), times, false);
    let driver = start_driver(&world, &engines, options.stages, seed);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let model = Rc::new(world.model(options.stages));
    let (progress, mut reached) = mpsc::unbounded_channel();
    let answers = (0..options.answers).map(|index| {
        let order = order(options, model.clone(), index);
        let progress = (index == 0).then(|| progress.clone());
        tokio::task::spawn_local(run_answer(
            driver.clone(),
            order,
            START_GAP * index as u32,
            progress,
        ))
    });
    let answers: Vec<_> = answers.collect();
    while reached.recv().await.is_some_and(|tokens| tokens < options.accepted) {}
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..40))).await;
    let address = pick_busy(&engines, &world, &mut rng);
    let addresses = struck_addresses(options, &world, &address);
    let struck = addresses.iter().flat_map(|address| engines.cached_requests(address)).collect();
    let at = Instant::now();
    addresses.iter().for_each(|address| engines.inject_fault(address, options.fault));
    let answers = futures::future::join_all(answers).await;
    let answers = answers.into_iter().map(|answer| answer.expect("an answer does not panic"));
    (at, struck, answers.collect())
}

fn start_driver(world: &SweepTopology, engines: &FakeEngines, stages: u16, seed: u64) -> AnswerDriver {
    let metrics = Rc::new(MetricRegistry::new());
    let planner = PlannerOptions { seed, ..PlannerOptions::default() };
    let options = FleetOptions { planner, ..FleetOptions::default() };
    let fleet = EndpointFleet::new(options, metrics.clone());
    fleet.apply_config(&world.config(stages));
    let caller = Rc::new(engines.clone());
    let polls = poll_engines(fleet.clone(), caller.clone(), Duration::from_millis(500));
    tokio::task::spawn_local(polls);
    AnswerDriver::new(fleet, caller, metrics, DriverOptions::default())
}

fn order(options: &RecoveryOptions, model: Rc<ModelDeclaration>, index: usize) -> AnswerRequest {
    AnswerRequest {
        request: format!("request-{index}").into(),
        model,
        prompt: format!("prompt {index}").into(),
        max_tokens: options.accepted + 60,
        priority: PriorityClass::Guidance,
        deadline: Instant::now() + DEADLINE,
        token_gap: Duration::from_secs(2),
        first_token_timeout: Duration::from_secs(5),
    }
}

/// The engine at an address, or every engine of its failure domain.
fn struck_addresses(options: &RecoveryOptions, world: &SweepTopology, address: &str) -> Vec<Box<str>> {
    let struck = world.specs.iter().find(|spec| *spec.address == *address);
    let domain = struck.map(|spec| spec.domain.clone());
    let is_struck = |spec: &&EngineSpec| match options.whole_domain {
        true => Some(&spec.domain) == domain.as_ref(),
        false => *spec.address == *address,
    };
    world.specs.iter().filter(is_struck).map(|spec| spec.address.clone()).collect()
}

/// An address of an engine that holds a request.
fn pick_busy(engines: &FakeEngines, world: &SweepTopology, rng: &mut ChaCha8Rng) -> Box<str> {
    let busy = world.specs.iter().filter(|spec| !engines.cached_requests(&spec.address).is_empty());
    let busy: Vec<_> = busy.map(|spec| spec.address.clone()).collect();
    busy[rng.random_range(0..busy.len())].clone()
}

async fn run_answer(
    driver: AnswerDriver,
    order: AnswerRequest,
    delay: Duration,
    progress: Option<mpsc::UnboundedSender<u32>>,
) -> TrialAnswer {
    tokio::time::sleep(delay).await;
    let (request, prompt, length) = (order.request.clone(), order.prompt.clone(), order.max_tokens);
    let (sink, mut source) = mpsc::channel(16);
    let (mut tokens, mut times) = (Vec::new(), Vec::new());
    let collect = async {
        while let Some(token) = source.recv().await {
            tokens.push(token);
            times.push(Instant::now());
            if let Some(progress) = &progress {
                let _ = progress.send(tokens.len() as u32);
            }
        }
    };
    let (result, ()) = tokio::join!(driver.run(order, sink, &|_| true), collect);
    let expected = token::expected_answer("guide", "1", &prompt, LAYERS, length);
    let is_right = matches!(result, AnswerResult::Done { .. }) && tokens == expected;
    TrialAnswer { request, is_right, times }
}
