//! Answers stay complete and correct under seeded schedules of engine faults. The checks use the
//! engines' records of what they ran, not the router's view.

use jacinthrock::{
    AnswerChecks, AnswerDriver, AnswerRequest, AnswerResult, CallOutcome, DriverOptions,
    EffectiveConfig, EffectiveService, EndpointDeclaration, EndpointFleet, FleetOptions,
    MetricRegistry, ModelDeclaration, PlannerOptions, PriorityClass, ServiceTarget, poll_engines,
};
use jacinthrock_standins::fake_engine::{
    EngineFault, EngineSpec, EngineTimes, FakeEngines, FaultStep, LateArrival, PlannedFault,
    RunRecord,
};
use jacinthrock_standins::token;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const STAGES: u16 = 3;
const LAYERS_PER_STAGE: u16 = 2;
const LAYERS: u16 = STAGES * LAYERS_PER_STAGE;
const REPLICAS: u16 = 3;
const DEADLINE: Duration = Duration::from_secs(20);
/// Time within which a router learns from status reports that an engine is leaving.
const LEAVING_BOUND: Duration = Duration::from_secs(1);
const CI_SCHEDULES: u64 = 520;

/// Step of an attempt at which a fault occurs; the seed draws the token position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TableStep {
    Start,
    BeforeLayers,
    AfterLayers,
    End,
}

const STEPS: [TableStep; 4] =
    [TableStep::Start, TableStep::BeforeLayers, TableStep::AfterLayers, TableStep::End];

#[derive(Clone, Debug)]
struct Schedule {
    seed: u64,
    length: u32,
    replicas: u16,
    answers: u64,
    faults: Vec<PlannedFault>,
    checks: AnswerChecks,
}

struct ObservedAnswer {
    answer: u64,
    result: AnswerResult,
    tokens: Vec<u64>,
    elapsed: Duration,
    records: Vec<RunRecord>,
    late_arrivals: Vec<LateArrival>,
    injected: Vec<EngineFault>,
}

fn schedule_count() -> u64 {
    let count = std::env::var("JACINTHROCK_SCHEDULES").ok();
    count.and_then(|count| count.parse().ok()).unwrap_or(CI_SCHEDULES)
}

fn endpoint(stage: u16, replica: u16) -> EndpointDeclaration {
    EndpointDeclaration {
        name: format!("engine-{stage}-{replica}").into(),
        address: format!("10.0.{stage}.{replica}:80").into(),
        domain: format!("domain-{replica}").into(),
        accelerator: "small".into(),
        checks_fence: true,
    }
}

fn model(replicas: u16) -> ModelDeclaration {
    let indices = (0..STAGES).flat_map(|stage| (0..replicas).map(move |replica| (stage, replica)));
    ModelDeclaration {
        name: "guide".into(),
        version: "3".into(),
        layers: LAYERS,
        stages: STAGES,
        endpoint_slots: 4,
        endpoints: indices.map(|(stage, replica)| endpoint(stage, replica)).collect(),
    }
}

fn specs(replicas: u16, rng: &mut ChaCha8Rng) -> Vec<EngineSpec> {
    let declared = model(replicas).endpoints;
    let specs = declared.into_iter().enumerate().map(|(index, endpoint)| {
        let first_layer = index as u16 / replicas * LAYERS_PER_STAGE;
        EngineSpec {
            endpoint: endpoint.name,
            address: endpoint.address,
            domain: endpoint.domain,
            model: "guide".into(),
            version: "3".into(),
            first_layer,
            last_layer: first_layer + LAYERS_PER_STAGE - 1,
            step_time: Duration::from_millis(rng.random_range(1..12)),
            batch: 4,
        }
    });
    specs.collect()
}

fn config(model: ModelDeclaration) -> EffectiveConfig {
    let service = EffectiveService {
        name: "guide".into(),
        priority: PriorityClass::Guidance,
        deadline: DEADLINE,
        token_gap: Duration::from_secs(1),
        max_tokens: 64,
        queue_length: 8,
        target: ServiceTarget::Model(model),
    };
    let services = BTreeMap::from([(service.name.clone(), service)]);
    EffectiveConfig { revision: 1, services, ..EffectiveConfig::default() }
}

fn request_name(answer: u64) -> String {
    format!("request-{answer}")
}

fn prompt(answer: u64) -> String {
    format!("how hot is kiln {answer}")
}

fn answer_request(schedule: &Schedule, answer: u64) -> AnswerRequest {
    AnswerRequest {
        request: request_name(answer).into(),
        model: Rc::new(model(schedule.replicas)),
        prompt: prompt(answer).into(),
        max_tokens: schedule.length,
        priority: PriorityClass::Guidance,
        deadline: Instant::now() + DEADLINE,
        token_gap: Duration::from_secs(1),
        first_token_timeout: Duration::from_secs(2),
    }
}

fn run(schedule: &Schedule) -> Vec<ObservedAnswer> {
    let builder =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = builder.expect("a runtime without I/O can be built");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, run_on_paused_clock(schedule))
}

async fn run_on_paused_clock(schedule: &Schedule) -> Vec<ObservedAnswer> {
    let mut rng = ChaCha8Rng::seed_from_u64(schedule.seed);
    let engines =
        FakeEngines::start(specs(schedule.replicas, &mut rng), EngineTimes::default(), true);
    engines.plan_faults(schedule.faults.iter().copied());
    let metrics = Rc::new(MetricRegistry::new());
    let planner = PlannerOptions { seed: schedule.seed, ..PlannerOptions::default() };
    let options = FleetOptions { planner, ..FleetOptions::default() };
    let fleet = EndpointFleet::new(options, metrics.clone());
    fleet.apply_config(&config(model(schedule.replicas)));
    let client = Rc::new(engines.clone());
    let poll = poll_engines(fleet.clone(), client.clone(), Duration::from_millis(200));
    let poll = tokio::task::spawn_local(poll);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let options = DriverOptions { checks: schedule.checks.clone(), ..DriverOptions::default() };
    let driver = AnswerDriver::new(fleet, client, metrics, options);
    let answers = (0..schedule.answers).map(|answer| run_answer(&driver, schedule, answer));
    let mut observed = futures::future::join_all(answers).await;
    // Gives frozen engines time to wake and run their remaining requests.
    tokio::time::sleep(Duration::from_secs(5)).await;
    poll.abort();
    let records = engines.records();
    for entry in &mut observed {
        let own = |record: &&RunRecord| *record.request == *request_name(entry.answer);
        entry.records = records.iter().filter(own).cloned().collect();
        entry.late_arrivals = engines.late_arrivals();
        entry.injected = engines.injected_faults().iter().map(|injected| injected.fault).collect();
    }
    observed
}

async fn run_answer(driver: &AnswerDriver, schedule: &Schedule, answer: u64) -> ObservedAnswer {
    tokio::time::sleep(Duration::from_millis(13 * answer)).await;
    let (sink, mut source) = tokio::sync::mpsc::channel(4);
    let began = Instant::now();
    let result = driver.run(answer_request(schedule, answer), sink, &|_| true);
    let collect = async {
        let mut tokens = Vec::new();
        while let Some(token) = source.recv().await {
            tokens.push(token);
        }
        tokens
    };
    let (result, tokens) = tokio::join!(result, collect);
    let elapsed = began.elapsed();
    ObservedAnswer {
        answer,
        result,
        tokens,
        elapsed,
        records: vec![],
        late_arrivals: vec![],
        injected: vec![],
    }
}

/// Checks the observed answers against recomputed ones and the engines' records, independently of
/// what the driver claims.
fn check(
    schedule: &Schedule,
    observed: &[ObservedAnswer],
    must_finish: bool,
) -> Result<(), String> {
    observed.iter().try_for_each(|observed| check_one(schedule, observed, must_finish))
}

fn check_one(
    schedule: &Schedule,
    observed: &ObservedAnswer,
    must_finish: bool,
) -> Result<(), String> {
    let prompt = prompt(observed.answer);
    let expected = token::expected_answer("guide", "3", &prompt, LAYERS, schedule.length);
    if observed.elapsed > DEADLINE + Duration::from_millis(1) {
        return Err(format!("ended after the deadline: {:?}", observed.elapsed));
    }
    if !expected.starts_with(&observed.tokens) {
        return Err(format!("wrong tokens {:?}, expected {expected:?}", observed.tokens));
    }
    check_runs(&observed.records, observed.tokens.len() as u32)?;
    let late_arrival = observed.late_arrivals.iter().find(|arrival| arrival.after > LEAVING_BOUND);
    if let Some(late_arrival) = late_arrival {
        return Err(format!(
            "{:?} was sent new work {:?} after it began to leave",
            late_arrival.endpoint, late_arrival.after
        ));
    }
    match &observed.result {
        AnswerResult::Done { tokens, digest } => {
            if observed.tokens != expected || *tokens != schedule.length {
                return Err(format!("done with {} tokens", observed.tokens.len()));
            }
            if *digest != token::answer_digest(&expected) {
                return Err("done with a wrong digest".into());
            }
        }
        AnswerResult::Refused { code, .. } if must_finish => {
            return Err(format!("refused with {code:?} while a chain was available"));
        }
        AnswerResult::Refused { outcome: CallOutcome::NotRun, .. } => {
            if !observed.records.is_empty() {
                return Err("refused as not run, but it ran".into());
            }
        }
        AnswerResult::Refused { .. } => {}
        AnswerResult::Cancelled => return Err("cancelled, but the receiver is open".into()),
    }
    Ok(())
}

/// Checks that no attempt ran a layer twice or out of order at a position, and that each accepted
/// position has an attempt that ran every layer.
fn check_runs(records: &[RunRecord], accepted: u32) -> Result<(), String> {
    let mut runs: BTreeMap<(u32, u32), Vec<u16>> = BTreeMap::new();
    for record in records {
        runs.entry((record.position, record.attempt)).or_default().push(record.layer);
    }
    let all_layers: Vec<u16> = (0..LAYERS).collect();
    if let Some((key, _)) = runs.iter().find(|(_, layers)| !layers.is_sorted_by(|a, b| a < b)) {
        return Err(format!("layers repeated or out of order at (position, attempt) {key:?}"));
    }
    for position in 0..accepted {
        let mut attempts = runs.range((position, 0)..(position + 1, 0));
        if !attempts.any(|(_, layers)| *layers == all_layers) {
            return Err(format!("no attempt ran every layer for position {position}"));
        }
    }
    Ok(())
}

fn draw_fault(
    rng: &mut ChaCha8Rng,
    fault: EngineFault,
    step: TableStep,
    length: u32,
) -> PlannedFault {
    let position = rng.random_range(0..length);
    let step = match step {
        TableStep::Start => FaultStep::Start,
        TableStep::BeforeLayers => FaultStep::BeforeLayers(position),
        TableStep::AfterLayers => FaultStep::AfterLayers(position),
        TableStep::End => FaultStep::End,
    };
    PlannedFault { fault, step, stage: rng.random_range(0..usize::from(STAGES)) }
}

/// Draws the schedule of one seed: the fault of its table cell and, in a third of the seeds on
/// average, a random second fault.
fn draw_schedule(seed: u64) -> Schedule {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let length = rng.random_range(1..10);
    let (fault, step) = table_cell(seed);
    let mut faults = vec![draw_fault(&mut rng, fault, step, length)];
    if rng.random_range(0..3) == 0 {
        let fault = EngineFault::ALL[rng.random_range(0..EngineFault::ALL.len())];
        let step = STEPS[rng.random_range(0..STEPS.len())];
        faults.push(draw_fault(&mut rng, fault, step, length));
    }
    let (answers, checks) = (rng.random_range(1..4), AnswerChecks::default());
    Schedule { seed, length, replicas: REPLICAS, answers, faults, checks }
}

/// Cell of the fault table for a seed; consecutive seeds cover all cells in order.
fn table_cell(seed: u64) -> (EngineFault, TableStep) {
    let cell = seed as usize % (EngineFault::ALL.len() * STEPS.len());
    (EngineFault::ALL[cell / STEPS.len()], STEPS[cell % STEPS.len()])
}

#[test]
fn answers_are_complete_under_seeded_faults() {
    let mut cells = BTreeMap::new();
    for seed in 0..schedule_count() {
        let schedule = draw_schedule(seed);
        let observed = run(&schedule);
        let verdict = check(&schedule, &observed, true);
        assert_eq!(verdict, Ok(()), "seed {seed}: {schedule:?}");
        let (fault, step) = table_cell(seed);
        let (runs, injected) = cells.entry((fault, step)).or_insert((0, 0));
        *runs += 1;
        *injected += u64::from(observed[0].injected.contains(&fault));
    }
    println!("fault, step: schedules, schedules in which the fault occurred");
    for ((fault, step), (runs, injected)) in &cells {
        println!("{fault:?}, {step:?}: {runs}, {injected}");
        assert!(*injected > 0, "{fault:?} at {step:?} never occurred");
    }
}

#[test]
fn an_answer_completes_after_losing_a_stage_at_any_position() {
    let length = 8;
    for fault in [EngineFault::Kill, EngineFault::Freeze, EngineFault::FreezeAndWake] {
        for stage in 0..usize::from(STAGES) {
            for position in 0..length {
                for step in [FaultStep::BeforeLayers(position), FaultStep::AfterLayers(position)] {
                    let faults = vec![PlannedFault { fault, step, stage }];
                    let checks = AnswerChecks::default();
                    let schedule =
                        Schedule { seed: 7, length, replicas: 2, answers: 1, faults, checks };
                    let observed = run(&schedule);
                    assert_eq!(observed[0].injected, [fault], "{schedule:?}");
                    assert_eq!(check(&schedule, &observed, true), Ok(()), "{schedule:?}");
                }
            }
        }
    }
}

#[test]
fn an_answer_that_no_chain_can_finish_is_refused_at_once() {
    for fault in [EngineFault::Kill, EngineFault::Freeze, EngineFault::Refuse, EngineFault::Leave] {
        for step in [FaultStep::Start, FaultStep::BeforeLayers(3)] {
            let faults = vec![PlannedFault { fault, step, stage: 1 }];
            let checks = AnswerChecks::default();
            let schedule =
                Schedule { seed: 11, length: 6, replicas: 1, answers: 1, faults, checks };
            let observed = run(&schedule);
            assert_eq!(check(&schedule, &observed, false), Ok(()), "{schedule:?}");
            assert!(observed[0].elapsed < Duration::from_secs(2), "{schedule:?}");
        }
    }
}

/// Whether the checker reports an error in any run of these faults with the given answer checks.
fn is_detected(faults: &[EngineFault], checks: &AnswerChecks) -> bool {
    let cells = faults.iter().flat_map(|fault| STEPS.iter().map(move |step| (*fault, *step)));
    cells.into_iter().any(|(fault, step)| {
        (0..20).any(|seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let length = rng.random_range(2..8);
            let faults = vec![draw_fault(&mut rng, fault, step, length)];
            let checks = checks.clone();
            let schedule =
                Schedule { seed, length, replicas: REPLICAS, answers: 1, faults, checks };
            check(&schedule, &run(&schedule), true).is_err()
        })
    })
}

#[test]
fn disabling_any_answer_check_is_detected() {
    let on = AnswerChecks::default;
    let cases = [
        (AnswerChecks { attempt: false, ..on() }, vec![EngineFault::LateToken]),
        (AnswerChecks { position: false, ..on() }, vec![EngineFault::DuplicateToken]),
        (AnswerChecks { stages: false, ..on() }, vec![EngineFault::OtherVersion]),
        (AnswerChecks { stages: false, ..on() }, vec![EngineFault::OtherRange]),
        (AnswerChecks { end: false, ..on() }, vec![EngineFault::EarlyEnd]),
    ];
    for (checks, faults) in cases {
        assert!(is_detected(&faults, &checks), "{faults:?} was not detected with {checks:?}");
        assert!(!is_detected(&faults, &on()), "{faults:?} failed with every check on");
    }
}
