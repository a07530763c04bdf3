//! Runs single answers: cancellation, deadlines, retry budgets, outcomes and counters.

use assert_matches::assert_matches;
use jacinthrock::{
    AnswerDriver, AnswerRequest, AnswerResult, CallOutcome, DriverOptions, EffectiveConfig,
    EffectiveService, EndpointDeclaration, EndpointFleet, EndpointHealth, FleetOptions, MetricName,
    MetricRegistry, ModelDeclaration, PriorityClass, ResultCode, ServiceTarget, poll_engines,
};
use jacinthrock_standins::fake_engine::{
    EngineFault, EngineSpec, EngineTimes, FakeEngines, FaultStep, PlannedFault,
};
use jacinthrock_standins::token;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

const LAYERS: u16 = 4;
const LENGTH: u32 = 10;
/// Time for which engines stand still.
const STANDSTILL: Duration = Duration::from_millis(1200);
/// Times at which a standstill starts: before the attempt arrives and in the middle of the answer.
const STANDSTILL_STARTS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(95)];

struct TestBed {
    engines: FakeEngines,
    fleet: EndpointFleet,
    driver: AnswerDriver,
    metrics: Rc<MetricRegistry>,
    model: Rc<ModelDeclaration>,
}

fn run_paused<T>(test: impl Future<Output = T>) -> T {
    let builder =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&builder.expect("a runtime can be built"), test)
}

fn spec(stage: u16, replica: u16) -> EngineSpec {
    EngineSpec {
        endpoint: format!("engine-{stage}-{replica}").into(),
        address: format!("10.0.{stage}.{replica}:80").into(),
        domain: format!("domain-{replica}").into(),
        model: "guide".into(),
        version: "3".into(),
        first_layer: stage * 2,
        last_layer: stage * 2 + 1,
        step_time: Duration::from_millis(10),
        batch: 4,
    }
}

async fn start(replicas: u16) -> TestBed {
    let indices = (0..2).flat_map(|stage| (0..replicas).map(move |replica| (stage, replica)));
    let specs: Vec<_> = indices.map(|(stage, replica)| spec(stage, replica)).collect();
    let endpoints = specs.iter().map(|spec| EndpointDeclaration {
        name: spec.endpoint.clone(),
        address: spec.address.clone(),
        domain: spec.domain.clone(),
        accelerator: "small".into(),
        checks_fence: true,
    });
    let model = ModelDeclaration {
        name: "guide".into(),
        version: "3".into(),
        layers: LAYERS,
        stages: 2,
        endpoint_slots: 4,
        endpoints: endpoints.collect(),
    };
    let service = EffectiveService {
        name: "guide".into(),
        priority: PriorityClass::Guidance,
        deadline: Duration::from_secs(10),
        token_gap: Duration::from_secs(1),
        max_tokens: 64,
        queue_length: 8,
        target: ServiceTarget::Model(model.clone()),
    };
    let services = BTreeMap::from([(service.name.clone(), service)]);
    let engines = FakeEngines::start(specs, EngineTimes::default(), true);
    let metrics = Rc::new(MetricRegistry::new());
    let fleet = EndpointFleet::new(FleetOptions::default(), metrics.clone());
    fleet.apply_config(&EffectiveConfig { revision: 1, services, ..Default::default() });
    let client = Rc::new(engines.clone());
    let polls = poll_engines(fleet.clone(), client.clone(), Duration::from_millis(200));
    tokio::task::spawn_local(polls);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let options = DriverOptions::default();
    let driver = AnswerDriver::new(fleet.clone(), client, metrics.clone(), options);
    TestBed { engines, fleet, driver, metrics, model: Rc::new(model) }
}

impl TestBed {
    fn request(&self, deadline: Duration) -> AnswerRequest {
        AnswerRequest {
            request: "request".into(),
            model: self.model.clone(),
            prompt: "how hot".into(),
            max_tokens: LENGTH,
            priority: PriorityClass::Guidance,
            deadline: Instant::now() + deadline,
            token_gap: Duration::from_secs(1),
            first_token_timeout: Duration::from_secs(2),
        }
    }

    async fn run_answer(&self, deadline: Duration, may_retry: bool) -> (AnswerResult, Vec<u64>) {
        let (sink, mut source) = mpsc::channel(1);
        let retry = |_: &str| may_retry;
        let run = self.driver.run(self.request(deadline), sink, &retry);
        let collect = async {
            let mut tokens = Vec::new();
            while let Some(token) = source.recv().await {
                tokens.push(token);
            }
            tokens
        };
        tokio::join!(run, collect)
    }

    /// Runs an answer while all engines stand still for [`STANDSTILL`], from `start` on.
    async fn run_through_standstill(
        &self,
        start: Duration,
        may_retry: bool,
    ) -> (AnswerResult, Vec<u64>) {
        let addresses = || self.model.endpoints.iter().map(|endpoint| &endpoint.address);
        let standstill = async {
            tokio::time::sleep(start).await;
            addresses().for_each(|address| self.engines.inject_fault(address, EngineFault::Freeze));
            tokio::time::sleep(STANDSTILL).await;
            addresses().for_each(|address| self.engines.wake(address));
        };
        tokio::join!(self.run_answer(Duration::from_secs(10), may_retry), standstill).0
    }

    fn plan(&self, fault: EngineFault, step: FaultStep, stage: usize) {
        self.engines.plan_faults([PlannedFault { fault, step, stage }]);
    }

    fn open_attempts(&self) -> u32 {
        let endpoints = self.model.endpoints.iter();
        endpoints.map(|endpoint| self.engines.open_attempts(&endpoint.address)).sum()
    }
}

#[test]
fn a_caller_that_disconnects_cancels_the_attempt_at_the_engines() {
    run_paused(async {
        let bed = start(2).await;
        let (sink, mut source) = mpsc::channel(1);
        let retry = |_: &str| true;
        let disconnect = async {
            source.recv().await.expect("the first token arrives");
            drop(source);
        };
        let request = bed.request(Duration::from_secs(10));
        let (result, ()) = tokio::join!(bed.driver.run(request, sink, &retry), disconnect);
        assert_eq!(result, AnswerResult::Cancelled);
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(bed.open_attempts(), 0);
        assert!(
            bed.model.endpoints.iter().all(|endpoint| bed.fleet.in_flight(&endpoint.name) == 0)
        );
    });
}

#[test]
fn nothing_is_sent_after_the_deadline() {
    run_paused(async {
        let bed = start(2).await;
        let (result, tokens) = bed.run_answer(Duration::from_millis(90), true).await;
        let refused = AnswerResult::Refused {
            code: ResultCode::DeadlinePassed,
            retry_after: Duration::ZERO,
            outcome: CallOutcome::Unknown,
        };
        assert_eq!(without_retry_after(result), refused);
        assert!(tokens.len() < LENGTH as usize);
        let late = bed.request(Duration::ZERO);
        let (sink, _source) = mpsc::channel(1);
        let result = bed.driver.run(late, sink, &|_| true).await;
        assert_matches!(result, AnswerResult::Refused { outcome: CallOutcome::NotRun, .. });
    });
}

fn without_retry_after(result: AnswerResult) -> AnswerResult {
    match result {
        AnswerResult::Refused { code, outcome, .. } => {
            AnswerResult::Refused { code, retry_after: Duration::ZERO, outcome }
        }
        other => other,
    }
}

#[test]
fn a_caller_that_reads_slowly_is_not_counted_as_a_slow_attempt() {
    run_paused(async {
        let bed = start(2).await;
        let (sink, mut source) = mpsc::channel(1);
        let retry = |_: &str| true;
        let read = async {
            let mut tokens = Vec::new();
            while let Some(token) = source.recv().await {
                tokens.push(token);
                tokio::time::sleep(Duration::from_millis(700)).await;
            }
            tokens
        };
        let request = bed.request(Duration::from_secs(60));
        let (result, tokens) = tokio::join!(bed.driver.run(request, sink, &retry), read);
        assert_matches!(result, AnswerResult::Done { .. });
        assert_eq!(tokens, token::expected_answer("guide", "3", "how hot", LAYERS, LENGTH));
        assert_eq!(bed.metrics.value(MetricName::Attempts, &["whole"]), 1);
        assert_eq!(bed.metrics.value(MetricName::Attempts, &["slow"]), 0);
    });
}

#[test]
fn a_spent_retry_budget_ends_the_answer_at_once() {
    run_paused(async {
        let bed = start(2).await;
        bed.plan(EngineFault::Kill, FaultStep::BeforeLayers(4), 1);
        let (result, tokens) = bed.run_answer(Duration::from_secs(10), false).await;
        let code = assert_matches!(
            result,
            AnswerResult::Refused { code, outcome: CallOutcome::Unknown, .. } => code
        );
        assert_eq!((code, tokens.len()), (ResultCode::RetryBudgetSpent, 4));
        assert_eq!(bed.metrics.value(MetricName::Retries, &["stage_failed"]), 0);
    });
}

#[test]
fn retries_are_counted_by_reason_and_tokens_by_kind() {
    run_paused(async {
        let bed = start(3).await;
        bed.plan(EngineFault::DuplicateToken, FaultStep::BeforeLayers(2), 0);
        bed.plan(EngineFault::LateToken, FaultStep::BeforeLayers(3), 0);
        bed.plan(EngineFault::Kill, FaultStep::BeforeLayers(5), 1);
        let (result, _) = bed.run_answer(Duration::from_secs(10), true).await;
        assert_matches!(result, AnswerResult::Done { tokens: LENGTH, .. });
        let counted = |kind| bed.metrics.value(MetricName::Tokens, &[kind]);
        assert_eq!((counted("accepted"), counted("duplicate"), counted("stray")), (10, 1, 1));
        assert_eq!(bed.metrics.value(MetricName::Retries, &["stage_failed"]), 1);
    });
}

#[test]
fn a_call_refused_before_the_start_did_not_run() {
    run_paused(async {
        let bed = start(1).await;
        bed.plan(EngineFault::Refuse, FaultStep::Start, 0);
        let (result, _) = bed.run_answer(Duration::from_secs(10), true).await;
        let code = assert_matches!(
            result,
            AnswerResult::Refused { code, outcome: CallOutcome::NotRun, .. } => code
        );
        assert_eq!(code, ResultCode::NoChain);
        assert!(bed.engines.records().is_empty());
    });
}

#[test]
fn callers_refused_together_get_different_retry_delays() {
    run_paused(async {
        let bed = start(1).await;
        bed.engines.inject_fault("10.0.1.0:80", EngineFault::Kill);
        let mut times = Vec::new();
        for _ in 0..8 {
            let (result, _) = bed.run_answer(Duration::from_secs(10), true).await;
            times.push(assert_matches!(
                result,
                AnswerResult::Refused { retry_after, .. } => retry_after
            ));
        }
        times.sort();
        assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    });
}

#[test]
fn a_frozen_engine_is_ejected_without_an_operator() {
    run_paused(async {
        let bed = start(3).await;
        bed.plan(EngineFault::Freeze, FaultStep::BeforeLayers(4), 1);
        let (result, _) = bed.run_answer(Duration::from_secs(10), true).await;
        assert_matches!(result, AnswerResult::Done { .. });
        let frozen = bed.engines.injected_faults()[0].endpoint.clone();
        assert_eq!(bed.fleet.health(Instant::now(), &frozen), EndpointHealth::Ejected);
        assert_eq!(bed.metrics.value(MetricName::Ejections, &["frozen"]), 1);
    });
}

#[test]
fn a_leaving_engine_finishes_its_requests_and_gets_no_new_ones() {
    run_paused(async {
        let bed = start(2).await;
        bed.plan(EngineFault::Leave, FaultStep::AfterLayers(1), 0);
        let (result, _) = bed.run_answer(Duration::from_secs(10), true).await;
        assert_matches!(result, AnswerResult::Done { .. });
        assert_eq!(bed.metrics.value(MetricName::Attempts, &["whole"]), 1);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let leaving = bed.engines.injected_faults()[0].endpoint.clone();
        assert!(bed.fleet.is_leaving(Instant::now(), &leaving));
        for _ in 0..20 {
            assert_matches!(
                bed.run_answer(Duration::from_secs(10), true).await.0,
                AnswerResult::Done { .. }
            );
        }
        assert_eq!(bed.engines.late_arrivals(), vec![]);
    });
}

#[test]
fn an_answer_survives_a_short_freeze_of_the_only_chain() {
    run_paused(async {
        let bed = start(1).await;
        let freeze = async {
            tokio::time::sleep(Duration::from_millis(95)).await;
            bed.engines.inject_fault("10.0.1.0:80", EngineFault::Freeze);
            tokio::time::sleep(Duration::from_millis(300)).await;
            bed.engines.wake("10.0.1.0:80");
        };
        let (answer, ()) = tokio::join!(bed.run_answer(Duration::from_secs(10), true), freeze);
        assert_matches!(answer.0, AnswerResult::Done { tokens: LENGTH, .. });
        assert_eq!(answer.1, token::expected_answer("guide", "3", "how hot", LAYERS, LENGTH));
        assert_eq!(bed.metrics.value(MetricName::Retries, &["frozen"]), 1);
    });
}

#[test]
fn silence_of_all_engines_ends_no_answer_without_a_retry() {
    for start_time in STANDSTILL_STARTS {
        run_paused(async {
            let bed = start(3).await;
            let (result, tokens) = bed.run_through_standstill(start_time, false).await;
            assert_matches!(result, AnswerResult::Done { tokens: LENGTH, .. });
            assert_eq!(tokens, token::expected_answer("guide", "3", "how hot", LAYERS, LENGTH));
            assert_eq!(bed.metrics.value(MetricName::Attempts, &["whole"]), 1);
            assert_eq!(bed.metrics.value(MetricName::Attempts, &["frozen"]), 0);
        });
    }
}

#[test]
fn silence_of_the_only_chain_ends_no_answer() {
    for start_time in STANDSTILL_STARTS {
        run_paused(async {
            let bed = start(1).await;
            let (result, tokens) = bed.run_through_standstill(start_time, true).await;
            assert_matches!(result, AnswerResult::Done { tokens: LENGTH, .. });
            assert_eq!(tokens, token::expected_answer("guide", "3", "how hot", LAYERS, LENGTH));
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert_eq!(bed.open_attempts(), 0);
        });
    }
}

#[test]
fn silence_of_all_engines_ends_no_answer_with_retries() {
    for start_time in STANDSTILL_STARTS {
        run_paused(async {
            let bed = start(3).await;
            let (result, tokens) = bed.run_through_standstill(start_time, true).await;
            assert_matches!(result, AnswerResult::Done { tokens: LENGTH, .. });
            assert_eq!(tokens, token::expected_answer("guide", "3", "how hot", LAYERS, LENGTH));
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert_eq!(bed.open_attempts(), 0);
        });
    }
}

#[test]
fn late_tokens_end_no_answer_without_a_retry() {
    run_paused(async {
        let bed = start(1).await;
        bed.plan(EngineFault::SlowLink, FaultStep::BeforeLayers(4), 0);
        let (result, tokens) = bed.run_answer(Duration::from_secs(60), false).await;
        assert_matches!(result, AnswerResult::Done { tokens: LENGTH, .. });
        assert_eq!(tokens, token::expected_answer("guide", "3", "how hot", LAYERS, LENGTH));
    });
}

#[test]
fn a_silent_attempt_that_is_replaced_is_cancelled_at_its_engine() {
    run_paused(async {
        let bed = start(2).await;
        bed.plan(EngineFault::Freeze, FaultStep::BeforeLayers(4), 1);
        let (result, _) = bed.run_answer(Duration::from_secs(10), true).await;
        assert_matches!(result, AnswerResult::Done { tokens: LENGTH, .. });
        assert_eq!(bed.metrics.value(MetricName::Attempts, &["frozen"]), 1);
        let frozen = bed.engines.injected_faults()[0].endpoint.clone();
        let declared = bed.model.endpoints.iter().find(|endpoint| endpoint.name == frozen);
        let address = &declared.expect("the frozen engine is declared").address;
        bed.engines.wake(address);
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(bed.engines.open_attempts(address), 0);
    });
}

#[test]
fn an_engine_that_was_silent_serves_again_after_a_failure_of_another() {
    run_paused(async {
        let bed = start(1).await;
        let break_connection = async {
            tokio::time::sleep(Duration::from_millis(900)).await;
            bed.engines.inject_fault("10.0.0.0:80", EngineFault::CutConnection);
        };
        let answer = bed.run_through_standstill(Duration::from_millis(95), true);
        let ((result, tokens), ()) = tokio::join!(answer, break_connection);
        assert_matches!(result, AnswerResult::Done { tokens: LENGTH, .. });
        assert_eq!(tokens, token::expected_answer("guide", "3", "how hot", LAYERS, LENGTH));
        assert_eq!(bed.metrics.value(MetricName::Retries, &["truncated"]), 1);
    });
}
