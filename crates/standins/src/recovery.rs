//! Measures how answers recover after a stage is lost: the time from the fault to the next accepted
//! token.

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

/// Deadline of an answer, from its start.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1200);

/// Interval between the starts of two answers.
const START_INTERVAL: Duration = Duration::from_millis(7);

/// Setup of one row of the recovery table.
#[derive(Clone, Debug)]
pub struct RecoveryOptions {
    /// Fault to inject.
    pub fault: EngineFault,
    /// Whether the fault hits every engine of one failure domain at once.
    pub whole_domain: bool,
    /// Stages of each chain.
    pub stages: u16,
    /// Tokens that the first answer must have accepted before the fault is injected.
    pub accepted: u32,
    /// Whether engines import KV caches.
    pub imports: bool,
    /// Number of answers in flight when the fault is injected.
    pub answers: usize,
    /// Number of runs, each with a different seed.
    pub trials: u64,
}

/// Results of the trials of one row.
#[derive(Clone, Debug, Serialize)]
pub struct RecoveryRow {
    /// Injected fault.
    pub fault: Box<str>,
    /// Whether the fault hit every engine of one failure domain at once.
    pub whole_domain: bool,
    /// Stages of each chain.
    pub stages: u16,
    /// Tokens that the first answer had to accept before the fault was injected.
    pub accepted: u32,
    /// Whether engines import KV caches.
    pub imports: bool,
    /// Answers that were running on an affected engine and received a token after the fault.
    pub affected: u64,
    /// Answers that did not complete with the expected tokens.
    pub lost: u64,
    /// Milliseconds from the fault to the next token: 50th, 95th and 99th percentile, maximum.
    pub recovery_ms: [u64; 4],
}

struct TrialAnswer {
    request: RequestId,
    is_correct: bool,
    token_times: Vec<Instant>,
}

/// Runs the trials of one row, each on its own paused clock.
pub fn run_row(options: &RecoveryOptions) -> RecoveryRow {
    let mut recoveries = Histogram::<u64>::new(3).expect("three digits are valid");
    let (mut affected, mut lost) = (0, 0);
    for seed in 0..options.trials {
        let result =
            tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        let runtime = result.expect("a runtime without I/O can be built");
        let local = tokio::task::LocalSet::new();
        let (fault_at, affected_requests, answers) =
            local.block_on(&runtime, run_trial(options, seed));
        lost += answers.iter().filter(|answer| !answer.is_correct).count() as u64;
        for answer in answers.iter().filter(|answer| affected_requests.contains(&answer.request)) {
            let Some(next) = answer.token_times.iter().find(|time| **time > fault_at) else {
                continue;
            };
            affected += 1;
            recoveries.saturating_record(next.duration_since(fault_at).as_millis() as u64);
        }
    }
    let quantile = |fraction| recoveries.value_at_quantile(fraction);
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
    let mut topology = sweep_topology(&sweep);
    topology.links.retain(|(from, to), _| from == to);
    let times = EngineTimes {
        imports: options.imports,
        load_lag: sweep.load_lag,
        ..EngineTimes::default()
    };
    let engines = FakeEngines::start(topology.specs.clone(), times, false);
    let driver = start_driver(&topology, &engines, options.stages, seed);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let model = Rc::new(topology.model(options.stages));
    let (progress, mut accepted_counts) = mpsc::unbounded_channel();
    let answers = (0..options.answers).map(|index| {
        let request = build_request(options, model.clone(), index);
        let progress = (index == 0).then(|| progress.clone());
        tokio::task::spawn_local(run_answer(
            driver.clone(),
            request,
            START_INTERVAL * index as u32,
            progress,
        ))
    });
    let answers: Vec<_> = answers.collect();
    while accepted_counts.recv().await.is_some_and(|tokens| tokens < options.accepted) {}
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..40))).await;
    let address = pick_busy_engine(&engines, &topology, &mut rng);
    let addresses = affected_addresses(options, &topology, &address);
    let affected_requests =
        addresses.iter().flat_map(|address| engines.cached_requests(address)).collect();
    let fault_at = Instant::now();
    addresses.iter().for_each(|address| engines.inject_fault(address, options.fault));
    let answers = futures::future::join_all(answers).await;
    let answers = answers.into_iter().map(|answer| answer.expect("answer task does not panic"));
    (fault_at, affected_requests, answers.collect())
}

fn start_driver(
    topology: &SweepTopology,
    engines: &FakeEngines,
    stages: u16,
    seed: u64,
) -> AnswerDriver {
    let metrics = Rc::new(MetricRegistry::new());
    let planner = PlannerOptions { seed, ..PlannerOptions::default() };
    let options = FleetOptions { planner, ..FleetOptions::default() };
    let fleet = EndpointFleet::new(options, metrics.clone());
    fleet.apply_config(&topology.config(stages));
    let client = Rc::new(engines.clone());
    let polls = poll_engines(fleet.clone(), client.clone(), Duration::from_millis(500));
    tokio::task::spawn_local(polls);
    AnswerDriver::new(fleet, client, metrics, DriverOptions::default())
}

fn build_request(
    options: &RecoveryOptions,
    model: Rc<ModelDeclaration>,
    index: usize,
) -> AnswerRequest {
    AnswerRequest {
        request: format!("request-{index}").into(),
        model,
        prompt: format!("prompt {index}").into(),
        max_tokens: options.accepted + 60,
        priority: PriorityClass::Guidance,
        deadline: Instant::now() + ANSWER_TIMEOUT,
        token_gap: Duration::from_secs(2),
        first_token_timeout: Duration::from_secs(5),
    }
}

/// Returns the addresses that the fault hits: the given engine, or all engines of its failure
/// domain.
fn affected_addresses(
    options: &RecoveryOptions,
    topology: &SweepTopology,
    address: &str,
) -> Vec<Box<str>> {
    let affected_spec = topology.specs.iter().find(|spec| *spec.address == *address);
    let domain = affected_spec.map(|spec| spec.domain.clone());
    let is_affected = |spec: &&EngineSpec| match options.whole_domain {
        true => Some(&spec.domain) == domain.as_ref(),
        false => *spec.address == *address,
    };
    topology.specs.iter().filter(is_affected).map(|spec| spec.address.clone()).collect()
}

/// Returns the address of a random engine that is running a request.
fn pick_busy_engine(
    engines: &FakeEngines,
    topology: &SweepTopology,
    rng: &mut ChaCha8Rng,
) -> Box<str> {
    let busy =
        topology.specs.iter().filter(|spec| !engines.cached_requests(&spec.address).is_empty());
    let busy: Vec<_> = busy.map(|spec| spec.address.clone()).collect();
    busy[rng.random_range(0..busy.len())].clone()
}

async fn run_answer(
    driver: AnswerDriver,
    answer_request: AnswerRequest,
    delay: Duration,
    progress: Option<mpsc::UnboundedSender<u32>>,
) -> TrialAnswer {
    tokio::time::sleep(delay).await;
    let (request, prompt, length) =
        (answer_request.request.clone(), answer_request.prompt.clone(), answer_request.max_tokens);
    let (token_sender, mut token_receiver) = mpsc::channel(16);
    let (mut tokens, mut token_times) = (Vec::new(), Vec::new());
    let collect = async {
        while let Some(token) = token_receiver.recv().await {
            tokens.push(token);
            token_times.push(Instant::now());
            if let Some(progress) = &progress {
                let _ = progress.send(tokens.len() as u32);
            }
        }
    };
    let (result, ()) = tokio::join!(driver.run(answer_request, token_sender, &|_| true), collect);
    let expected = token::expected_answer("guide", "1", &prompt, LAYERS, length);
    let is_correct = matches!(result, AnswerResult::Done { .. }) && tokens == expected;
    TrialAnswer { request, is_correct, token_times }
}
