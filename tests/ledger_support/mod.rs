//! Simulates scenarios of several hosts on one store, and checks their results against the runs
//! that the service recorded.
#![allow(dead_code)]

use jacinthrock::{
    CallOutcome, ClaimHolder, ClaimRequest, LedgerOptions, LedgerRule, LedgerService,
    MetricRegistry, PlainCall, PlainContext, PlainDriver, PlainOptions, PlainRequest, PlainResult,
    PlainRule, ResultCode,
};
use jacinthrock_standins::fake_service::{FakeService, ListPicker, ServiceFaults, ServiceRun};
use jacinthrock_standins::fake_store::{FakeStore, StoreFaults};
use jacinthrock_standins::host_gate::{
    GateFault, GatePoint, GatedEndpointClient, GatedStore, HostGate,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

pub(crate) const UNIX_BASE: Duration = Duration::from_secs(1_700_000_000);

/// Time from a scenario's start during which its pages are expired.
const EXPIRY_PERIOD: Duration = Duration::from_secs(20);

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Number of schedules: `JACINTHROCK_SCHEDULES`, or `default_count` if it is not set.
pub(crate) fn schedule_count(default_count: u64) -> u64 {
    let count = std::env::var("JACINTHROCK_SCHEDULES").ok();
    count.and_then(|text| text.parse().ok()).unwrap_or(default_count)
}

pub(crate) fn run_paused<T>(future: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LivenessView {
    Accurate,
    AllDead,
    AllAlive,
}

#[derive(Clone)]
pub(crate) enum HostFault {
    None,
    AtPoint(GatePoint, GateFault),
    Env(GatePoint, EnvFault),
    KillAt(Duration),
    FreezeAt(Duration, Duration),
}

/// A fault of the environment that is triggered when a host reaches a step.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EnvFault {
    Outage(Duration),
    SlowStore(Duration),
    Leave,
    FreezeEndpoint(Duration),
}

#[derive(Clone)]
pub(crate) struct HostPlan {
    pub(crate) skew_ms: i64,
    pub(crate) faults: Vec<HostFault>,
}

#[derive(Clone, Debug)]
pub(crate) struct RequestPlan {
    pub(crate) at: Duration,
    pub(crate) host: usize,
    pub(crate) key: usize,
    pub(crate) deadline: Duration,
}

#[derive(Clone)]
pub(crate) struct LedgerScenario {
    pub(crate) seed: u64,
    pub(crate) hosts: Vec<HostPlan>,
    pub(crate) endpoints: usize,
    pub(crate) service_faults: ServiceFaults,
    pub(crate) store_faults: StoreFaults,
    pub(crate) outages: Vec<(Duration, Duration)>,
    pub(crate) requests: Vec<RequestPlan>,
    pub(crate) liveness: LivenessView,
    pub(crate) expire_every: Option<Duration>,
    pub(crate) options: LedgerOptions,
    pub(crate) disabled_plain_rule: Option<PlainRule>,
}

pub(crate) struct TestCluster {
    pub(crate) store: FakeStore,
    pub(crate) service: FakeService,
    pub(crate) started: Instant,
    pub(crate) hosts: Vec<SimulatedHost>,
    options: LedgerOptions,
    disabled_plain_rule: Option<PlainRule>,
    picker: Rc<ListPicker>,
    gates: Rc<RefCell<Vec<HostGate>>>,
    liveness: LivenessView,
}

pub(crate) struct SimulatedHost {
    pub(crate) gate: HostGate,
    pub(crate) ledger: LedgerService,
    pub(crate) driver: PlainDriver,
    pub(crate) skew_ms: i64,
}

#[derive(Clone, Debug)]
pub(crate) struct AnswerRecord {
    pub(crate) request: Box<str>,
    pub(crate) key: Box<str>,
    pub(crate) at: Instant,
    pub(crate) result: Option<PlainResult>,
}

pub(crate) struct LedgerReport {
    pub(crate) answers: Vec<AnswerRecord>,
    pub(crate) final_answers: Vec<AnswerRecord>,
    pub(crate) runs: Vec<ServiceRun>,
    /// Planned faults whose step no host reached.
    pub(crate) unreached_faults: usize,
}

pub(crate) fn key_at(seed: u64, index: usize) -> Box<str> {
    key_of(UNIX_BASE + ms(200) * index as u32, seed ^ ((index as u64 + 1) << 32))
}

pub(crate) fn key_of(time: Duration, seed: u64) -> Box<str> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let millis = time.as_millis() as u64;
    uuid::Builder::from_unix_timestamp_millis(millis, &rng.random()).into_uuid().to_string().into()
}

impl TestCluster {
    pub(crate) fn new(scenario: &LedgerScenario) -> Self {
        let store = FakeStore::new(scenario.seed);
        let service = FakeService::new(scenario.seed ^ 0x5eed);
        store.set_faults(scenario.store_faults.clone());
        service.set_faults(scenario.service_faults.clone());
        let mut cluster = Self {
            store,
            service,
            started: Instant::now(),
            hosts: Vec::new(),
            options: scenario.options.clone(),
            disabled_plain_rule: scenario.disabled_plain_rule,
            picker: Rc::new(ListPicker::new(scenario.endpoints)),
            gates: Rc::default(),
            liveness: scenario.liveness,
        };
        for plan in &scenario.hosts {
            cluster.add_host(plan.skew_ms);
        }
        cluster
    }

    pub(crate) fn add_host(&mut self, skew_ms: i64) -> usize {
        let index = self.hosts.len();
        let gate = HostGate::new();
        self.gates.borrow_mut().push(gate.clone());
        let store = Rc::new(GatedStore::new(gate.clone(), Rc::new(self.store.handle())));
        let client = Rc::new(GatedEndpointClient::new(gate.clone(), Rc::new(self.service.clone())));
        let metrics = Rc::new(MetricRegistry::new());
        let holder = ClaimHolder { host: format!("host-{index}").into(), incarnation: 1 };
        let (gates, view) = (self.gates.clone(), self.liveness);
        let is_live = Rc::new(move |host: &str, _: u64| match view {
            LivenessView::AllDead => false,
            LivenessView::AllAlive => true,
            LivenessView::Accurate => {
                let index: usize = host["host-".len()..].parse().expect("host name");
                gates.borrow()[index].is_running()
            }
        });
        let options =
            LedgerOptions { jitter_seed: index as u64 * 1_000_003, ..self.options.clone() };
        let ledger = LedgerService::new(store, holder, is_live, options, metrics.clone());
        let plain_options =
            PlainOptions { disabled: self.disabled_plain_rule, ..PlainOptions::default() };
        let driver = PlainDriver::new(client, ledger.clone(), metrics, plain_options);
        self.hosts.push(SimulatedHost { gate, ledger, driver, skew_ms });
        index
    }

    pub(crate) fn unix_now(&self, host: usize) -> Duration {
        let now = UNIX_BASE + self.started.elapsed();
        let skew = self.hosts[host].skew_ms;
        if skew < 0 { now.saturating_sub(ms(skew.unsigned_abs())) } else { now + ms(skew as u64) }
    }

    fn env_fault(&self, fault: EnvFault) -> impl Fn() + 'static {
        let (store, service) = (self.store.clone(), self.service.clone());
        move || match fault {
            EnvFault::Leave => service.leave("endpoint-0"),
            EnvFault::FreezeEndpoint(time) => service.freeze("endpoint-0", time),
            EnvFault::SlowStore(longest_delay) => {
                store.set_faults(StoreFaults { longest_delay, ..StoreFaults::default() });
            }
            EnvFault::Outage(time) => {
                let store = store.clone();
                store.set_down(true);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(time).await;
                    store.set_down(false);
                });
            }
        }
    }

    /// Sends a request to a host; the caller stops waiting one second after the deadline.
    pub(crate) fn request(
        &self,
        host: usize,
        key: &str,
        request: Box<str>,
        deadline: Duration,
    ) -> impl Future<Output = AnswerRecord> + 'static {
        let plain = PlainRequest {
            service: "bookings".into(),
            customer: "studio".into(),
            is_idempotent: false,
            key: Some(key.into()),
            call: PlainCall {
                method: "POST".into(),
                path: "/slots".into(),
                headers: vec![("x-request".into(), request.clone())],
                body: b"bench".as_slice().into(),
                timeout: deadline,
            },
            deadline: Instant::now() + deadline,
            unix_now: self.unix_now(host),
        };
        let context = PlainContext { picker: self.picker.clone(), may_retry: Rc::new(|| true) };
        let (driver, gate) = (self.hosts[host].driver.clone(), self.hosts[host].gate.clone());
        let key: Box<str> = key.into();
        async move {
            let answer = async {
                gate.wait_until_running().await;
                let result = driver.run(plain, context).await;
                gate.wait_until_running().await;
                result
            };
            let result = tokio::time::timeout(deadline + ms(1000), answer).await.ok();
            AnswerRecord { request, key, at: Instant::now(), result }
        }
    }
}

/// Runs a scenario, clears its store and service faults, and retries each key until it is settled.
pub(crate) fn run(scenario: &LedgerScenario) -> LedgerReport {
    run_paused(async { run_scenario(scenario).await })
}

async fn run_scenario(scenario: &LedgerScenario) -> LedgerReport {
    let mut cluster = TestCluster::new(scenario);
    for (index, plan) in scenario.hosts.iter().enumerate() {
        plan_faults(&cluster, &cluster.hosts[index].gate, &plan.faults);
    }
    plan_outages(&cluster, &scenario.outages);
    plan_expiry(&cluster, scenario);
    let cluster_ref = &cluster;
    let requests = scenario.requests.iter().enumerate().map(|(number, plan)| async move {
        tokio::time::sleep(plan.at).await;
        let key = key_at(scenario.seed, plan.key);
        let name = format!("request-{number}").into();
        cluster_ref.request(plan.host, &key, name, plan.deadline).await
    });
    let answers = futures::future::join_all(requests).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    cluster.store.set_faults(StoreFaults::default());
    cluster.service.set_faults(ServiceFaults::default());
    cluster.store.set_down(false);
    let final_answers = retry_until_settled(&mut cluster, scenario).await;
    let unreached_faults = cluster.hosts.iter().map(|host| host.gate.unreached()).sum();
    LedgerReport { answers, final_answers, runs: cluster.service.runs(), unreached_faults }
}

fn plan_faults(cluster: &TestCluster, gate: &HostGate, faults: &[HostFault]) {
    for fault in faults.iter().cloned() {
        let gate = gate.clone();
        match fault {
            HostFault::None => {}
            HostFault::AtPoint(point, fault) => gate.plan(point, fault),
            HostFault::Env(point, fault) => {
                let trigger = cluster.env_fault(fault);
                gate.plan(point, GateFault::Trigger(Rc::new(trigger)));
            }
            HostFault::KillAt(at) => {
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(at).await;
                    gate.kill();
                });
            }
            HostFault::FreezeAt(at, time) => {
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(at).await;
                    gate.set_frozen(true);
                    tokio::time::sleep(time).await;
                    gate.set_frozen(false);
                });
            }
        }
    }
}

fn plan_outages(cluster: &TestCluster, outages: &[(Duration, Duration)]) {
    for (at, time) in outages.iter().copied() {
        let store = cluster.store.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(at).await;
            store.set_down(true);
            tokio::time::sleep(time).await;
            store.set_down(false);
        });
    }
}

fn plan_expiry(cluster: &TestCluster, scenario: &LedgerScenario) {
    let Some(every) = scenario.expire_every else {
        return;
    };
    let ledger = cluster.hosts[0].ledger.clone();
    let (started, seed) = (cluster.started, scenario.seed);
    tokio::task::spawn_local(async move {
        while started.elapsed() < EXPIRY_PERIOD {
            tokio::time::sleep(every).await;
            let unix_now = UNIX_BASE + started.elapsed();
            // The floor rises only with a recent key.
            let key = key_of(unix_now, seed);
            let fingerprint = "recent".into();
            let customer = "office".into();
            let request = ClaimRequest { key: &key, fingerprint, customer, deadline: ms(500) };
            drop(ledger.claim(request, unix_now).await);
            // A failed expiry is retried in the next iteration.
            let _ = ledger.expire(unix_now).await;
        }
    });
}

/// Retries each key at a new host until it is settled, for at most 30 s plus twice
/// `abandon_after`.
async fn retry_until_settled(
    cluster: &mut TestCluster,
    scenario: &LedgerScenario,
) -> Vec<AnswerRecord> {
    let host = cluster.add_host(0);
    let keys =
        scenario.requests.iter().map(|plan| plan.key).collect::<std::collections::BTreeSet<_>>();
    let until = Instant::now() + cluster.options.abandon_after * 2 + Duration::from_secs(30);
    let mut final_answers = Vec::new();
    for index in keys {
        let key = key_at(scenario.seed, index);
        for number in 0.. {
            let name = format!("last-{index}-{number}").into();
            let answer = cluster.request(host, &key, name, ms(2000)).await;
            let code = answer.result.as_ref().and_then(|result| result.code);
            final_answers.push(answer);
            if code != Some(ResultCode::ClaimInFlight) || Instant::now() > until {
                break;
            }
            tokio::time::sleep(ms(1000)).await;
        }
    }
    // Frozen hosts have resumed by now. Waits so that any call that they still send is recorded.
    tokio::time::sleep(Duration::from_secs(120)).await;
    final_answers
}

/// Compares every answer with the runs that the service recorded; returns the violations.
pub(crate) fn find_violations(report: &LedgerReport) -> Vec<String> {
    let mut violations = Vec::new();
    let mut runs: BTreeMap<&str, Vec<&ServiceRun>> = BTreeMap::new();
    for run in &report.runs {
        runs.entry(&run.key).or_default().push(run);
    }
    for (key, runs) in &runs {
        if runs.len() > 1 {
            violations.push(format!("key {key} ran {} times", runs.len()));
        }
    }
    for answer in report.answers.iter().chain(&report.final_answers) {
        let Some(result) = &answer.result else {
            continue;
        };
        let key_runs = runs.get(&*answer.key).map(Vec::as_slice).unwrap_or_default();
        match result.outcome {
            CallOutcome::NotRun => {
                if key_runs.iter().any(|run| run.request == answer.request) {
                    violations.push(format!(
                        "{} ran, but its caller got the outcome not run",
                        answer.request
                    ));
                }
            }
            CallOutcome::Done => {
                let body = result.reply.as_ref().map(|reply| &reply.body);
                let is_known =
                    key_runs.iter().any(|run| body.is_none_or(|body| *body == run.answer));
                if !is_known {
                    violations.push(format!(
                        "{} got a response that the service never gave",
                        answer.request
                    ));
                }
            }
            CallOutcome::Unknown => {}
        }
    }
    for answer in &report.final_answers {
        let code = answer.result.as_ref().and_then(|result| result.code);
        let is_last = report.final_answers.iter().rfind(|last| last.key == answer.key);
        let is_last = is_last.is_some_and(|last| last.request == answer.request);
        if is_last && (answer.result.is_none() || code == Some(ResultCode::ClaimInFlight)) {
            violations.push(format!("{} of key {} is never settled", answer.request, answer.key));
        }
    }
    violations
}

/// Generates a random scenario from a seed.
pub(crate) fn seeded_scenario(seed: u64) -> LedgerScenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let host_count = rng.random_range(2..=4);
    let expires = rng.random_bool(0.25);
    let (min_skew_ms, time_factor) = if expires { (-14_000, 4) } else { (-6000, 1) };
    let hosts = (0..host_count).map(|_| seeded_host(&mut rng, min_skew_ms)).collect();
    let request_count = rng.random_range(2..=8);
    let key_count = rng.random_range(1..=3);
    let requests = (0..request_count)
        .map(|_| RequestPlan {
            at: ms(rng.random_range(0..=30) * rng.random_range(1..=150)) * time_factor,
            host: rng.random_range(0..host_count),
            key: rng.random_range(0..key_count),
            deadline: ms(rng.random_range(50..=1500)),
        })
        .collect();
    let outage_count = rng.random_range(0..=2);
    let outages = (0..outage_count)
        .map(|_| (ms(rng.random_range(0..4000)), ms(rng.random_range(1..3000))))
        .collect();
    let views = [LivenessView::Accurate, LivenessView::AllDead, LivenessView::AllAlive];
    let mut options = LedgerOptions { abandon_after: ms(8000), ..LedgerOptions::default() };
    if expires {
        options.window = ms(2000);
        options.clock_margin = ms(1000);
        options.page_span = ms(500);
    }
    LedgerScenario {
        seed,
        hosts,
        endpoints: rng.random_range(1..=3),
        service_faults: ServiceFaults {
            not_sent: rng.random_range(0.0..0.2),
            refused: rng.random_range(0.0..0.2),
            lost_call: rng.random_range(0.0..0.1),
            lost_reply: rng.random_range(0.0..0.2),
            longest_delay: ms(rng.random_range(0..200)),
        },
        store_faults: StoreFaults {
            lost_call: rng.random_range(0.0..0.15),
            lost_reply: rng.random_range(0.0..0.15),
            unavailable: rng.random_range(0.0..0.1),
            throttled: rng.random_range(0.0..0.05),
            longest_delay: ms(rng.random_range(0..60)),
        },
        outages,
        requests,
        liveness: views[rng.random_range(0..views.len())],
        expire_every: expires.then(|| ms(300)),
        options,
        disabled_plain_rule: None,
    }
}

fn seeded_host(rng: &mut ChaCha8Rng, min_skew_ms: i64) -> HostPlan {
    use jacinthrock_standins::host_gate::{GateCall, GateMoment};
    let calls = [GateCall::Read, GateCall::Write, GateCall::Call];
    let moments = [GateMoment::Before, GateMoment::After];
    let faults = (0..rng.random_range(0..=2))
        .map(|_| {
            let point = GatePoint {
                call: calls[rng.random_range(0..calls.len())],
                moment: moments[rng.random_range(0..moments.len())],
                nth: rng.random_range(1..=4),
            };
            match rng.random_range(0..6) {
                0 => HostFault::AtPoint(point, GateFault::Kill),
                1 => HostFault::AtPoint(point, GateFault::Freeze(ms(rng.random_range(1..20_000)))),
                2 => HostFault::AtPoint(point, GateFault::Lose),
                3 => HostFault::AtPoint(point, GateFault::Refuse),
                4 => HostFault::KillAt(ms(rng.random_range(0..3000))),
                _ => HostFault::FreezeAt(
                    ms(rng.random_range(0..3000)),
                    ms(rng.random_range(1..20_000)),
                ),
            }
        })
        .collect();
    HostPlan { skew_ms: rng.random_range(min_skew_ms..=800), faults }
}

/// Runs seeds with one safety rule disabled until a violation other than an unsettled key is
/// found.
pub(crate) fn first_violation(
    seeds: u64,
    disabled_ledger_rule: Option<LedgerRule>,
    disabled_plain_rule: Option<PlainRule>,
) -> Option<(u64, Vec<String>)> {
    (0..seeds).find_map(|seed| {
        let mut scenario = seeded_scenario(seed);
        scenario.options.disabled = disabled_ledger_rule;
        scenario.disabled_plain_rule = disabled_plain_rule;
        let violations = find_violations(&run(&scenario));
        let is_detected = violations.iter().any(|text| !text.contains("never settled"));
        is_detected.then_some((seed, violations))
    })
}
