//! Runs one answer: starts attempts and resumes on another chain after a fault.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::answer::{AnswerAssembler, AnswerChecks, AnswerStep, ExpectedAnswer};
use crate::attempt::{AttemptFault, TimeoutOptions, TokenTimeouts};
use crate::avoid::AvoidSet;
use crate::chain::PlannedChain;
use crate::codes::ResultCode;
use crate::declaration::ModelDeclaration;
use crate::endpoint::{
    CallFailure, EndpointClient, EventReceiver, GenerateCall, GenerateEvent, PriorityClass,
};
use crate::fleet::{ChainRequest, EndpointFleet};
use crate::ids::{EndpointName, RequestId, TokenPosition};
use crate::metrics::{MetricName, MetricRegistry};
use crate::outcome::CallOutcome;
use crate::probe::StatusProber;

/// Mean retry delay of a refused caller; each delay is jittered.
const MEAN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum age of a token or status report that spares its stage a liveness probe.
const LIVENESS_MAX_AGE: Duration = Duration::from_millis(30);

/// Minimum time between the last token and a sign of life that counts as newer than the token.
const LIVENESS_MARGIN: Duration = Duration::from_millis(1);

/// A caller's request for an answer.
#[derive(Clone, Debug)]
pub struct AnswerRequest {
    /// Identifier of the request, the same in every attempt.
    pub request: RequestId,
    /// Model to run.
    pub model: Rc<ModelDeclaration>,
    /// Text that the answer continues.
    pub prompt: Box<str>,
    /// Length of the whole answer, in tokens.
    pub max_tokens: TokenPosition,
    /// Priority class by which the engines schedule the request.
    pub priority: PriorityClass,
    /// Time after which no token is sent and no attempt is started.
    pub deadline: Instant,
    /// Longest time between two tokens.
    pub token_gap: Duration,
    /// Longest time until the first token of an attempt.
    pub first_token_timeout: Duration,
}

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerResult {
    /// The complete answer was sent to the caller.
    Done {
        /// Length of the answer, in tokens.
        tokens: TokenPosition,
        /// SHA-256 of the tokens as little-endian bytes, in hexadecimal.
        digest: Box<str>,
    },
    /// The answer is incomplete and no further attempt follows.
    Refused {
        /// Reason.
        code: ResultCode,
        /// Time after which the caller may retry.
        retry_after: Duration,
        /// What is known about whether the request ran.
        outcome: CallOutcome,
    },
    /// The caller disconnected; the attempt was cancelled.
    Cancelled,
}

/// Options of a driver.
#[derive(Clone, Debug, Default)]
pub struct DriverOptions {
    /// Checks of each answer's events.
    pub checks: AnswerChecks,
    /// Bounds on the timeouts of an attempt without new tokens.
    pub timeouts: TimeoutOptions,
}

/// Runs answers over the chains of a fleet.
///
/// Runs on a current-thread runtime inside a `LocalSet`.
#[derive(Clone)]
pub struct AnswerDriver {
    fleet: EndpointFleet,
    client: Rc<dyn EndpointClient>,
    metrics: Rc<MetricRegistry>,
    options: DriverOptions,
    prober: StatusProber,
}

/// State of one answer across its attempts.
struct AnswerRun {
    request: AnswerRequest,
    sink: mpsc::Sender<u64>,
    assembler: AnswerAssembler,
    avoid: AvoidSet,
    kv_holders: BTreeSet<EndpointName>,
    slow_attempts: u32,
    /// Time of the last accepted token, or of the start of the last attempt.
    last_progress: Instant,
    /// Time of the last accepted token, or of the start of the answer.
    silent_since: Instant,
    is_not_run: bool,
}

/// An attempt in flight.
struct RunningAttempt<'a> {
    chain: &'a PlannedChain,
    endpoints: Vec<EndpointName>,
    receiver: EventReceiver,
    timeouts: TokenTimeouts,
    last_token: Option<Instant>,
    /// Time of the last accepted token, or of the last decision to keep the silent attempt.
    quiet_since: Instant,
    /// Faults since the last accepted token that are only silence.
    silences: Vec<AttemptFault>,
}

/// How an attempt ended.
enum AttemptEnd {
    Complete(Box<str>),
    Fault(AttemptFault),
    /// Fell silent; holds the chain that takes over, or the reason why none does.
    Silent(AttemptFault, Result<PlannedChain, ResultCode>),
    CallerGone,
    DeadlinePassed,
}

impl AnswerDriver {
    /// Creates a driver that plans chains in `fleet` and calls endpoints through `client`.
    pub fn new(
        fleet: EndpointFleet,
        client: Rc<dyn EndpointClient>,
        metrics: Rc<MetricRegistry>,
        options: DriverOptions,
    ) -> Self {
        let timeout_options = options.timeouts.clone();
        let prober = StatusProber::new(fleet.clone(), client.clone(), timeout_options);
        Self { fleet, client, metrics, options, prober }
    }

    /// Runs an answer, sending each accepted token to `sink` once and in order.
    ///
    /// Calls `retry` before each attempt after the first, with the reason for the retry. After a
    /// failed attempt, `false` ends the run, as does the lack of a chain. A silent attempt that
    /// can't be retried is kept, since its endpoints may go on. The run ends at the deadline at the
    /// latest. Closing the receiver of `sink` cancels the attempt in flight.
    pub async fn run(
        &self,
        request: AnswerRequest,
        sink: mpsc::Sender<u64>,
        retry: &dyn Fn(&str) -> bool,
    ) -> AnswerResult {
        let mut run = self.start_run(request, sink);
        let mut planned = self.plan_chain(&run);
        loop {
            let chain = match planned {
                Ok(chain) => chain,
                Err(code) => return self.refuse(&run, code),
            };
            let end = self.run_attempt(&mut run, &chain, retry).await;
            self.count_end(&end);
            planned = match end {
                AttemptEnd::Complete(digest) => {
                    return AnswerResult::Done { tokens: run.request.max_tokens, digest };
                }
                AttemptEnd::CallerGone => return AnswerResult::Cancelled,
                AttemptEnd::DeadlinePassed => {
                    run.is_not_run = false;
                    return self.refuse(&run, ResultCode::DeadlinePassed);
                }
                AttemptEnd::Silent(_, next) => next,
                AttemptEnd::Fault(fault) => {
                    self.record_fault(&mut run, &chain, &fault);
                    self.plan_after_failure(&mut run, &fault, retry)
                }
            };
        }
    }

    fn start_run(&self, request: AnswerRequest, sink: mpsc::Sender<u64>) -> AnswerRun {
        let expected = ExpectedAnswer {
            version: request.model.version.clone(),
            layers: request.model.layers,
            length: request.max_tokens,
        };
        let now = Instant::now();
        AnswerRun {
            request,
            sink,
            assembler: AnswerAssembler::new(expected, self.options.checks.clone()),
            avoid: AvoidSet::default(),
            kv_holders: BTreeSet::new(),
            slow_attempts: 0,
            last_progress: now,
            silent_since: now,
            is_not_run: true,
        }
    }

    /// Plans an attempt that may complete the answer before its deadline.
    fn plan_chain(&self, run: &AnswerRun) -> Result<PlannedChain, ResultCode> {
        let now = Instant::now();
        if now >= run.request.deadline {
            return Err(ResultCode::DeadlinePassed);
        }
        let request = ChainRequest {
            model: &run.request.model,
            prompt: &run.request.prompt,
            avoid: &run.avoid,
        };
        let chain = self.fleet.plan(now, &request).ok_or(ResultCode::NoChain)?;
        if self.is_unreachable(run, &chain) {
            return Err(ResultCode::DeadlineUnreachable);
        }
        Ok(chain)
    }

    /// Plans an attempt after a fault and takes a retry for it.
    fn plan_retry(
        &self,
        run: &AnswerRun,
        fault: &AttemptFault,
        retry: &dyn Fn(&str) -> bool,
    ) -> Result<PlannedChain, ResultCode> {
        let chain = self.plan_chain(run)?;
        if !retry(fault.reason()) {
            return Err(ResultCode::RetryBudgetSpent);
        }
        self.metrics.count(MetricName::Retries, &[fault.reason()]);
        Ok(chain)
    }

    /// Plans an attempt after a failed one. Falls back to endpoints that only fell silent, as they
    /// may go on.
    fn plan_after_failure(
        &self,
        run: &mut AnswerRun,
        fault: &AttemptFault,
        retry: &dyn Fn(&str) -> bool,
    ) -> Result<PlannedChain, ResultCode> {
        match self.plan_retry(run, fault, retry) {
            Err(ResultCode::NoChain) if run.avoid.readmit_silent() => {
                self.plan_retry(run, fault, retry)
            }
            planned => planned,
        }
    }

    /// Whether the rest of the answer is known to take longer than the time left to the deadline.
    fn is_unreachable(&self, run: &AnswerRun, chain: &PlannedChain) -> bool {
        let accepted = run.assembler.tokens().len() as TokenPosition;
        let remaining_tokens = run.request.max_tokens.saturating_sub(accepted);
        let slowdown = self.fleet.with(|state| state.slowdown(run.request.priority));
        let needed_time = chain.token_time.mul_f64(slowdown) * remaining_tokens;
        let remaining_time = run.request.deadline.saturating_duration_since(Instant::now());
        needed_time > remaining_time && self.fleet.with(|state| state.is_time_known(chain))
    }

    fn refuse(&self, run: &AnswerRun, code: ResultCode) -> AnswerResult {
        let outcome = if run.is_not_run { CallOutcome::NotRun } else { CallOutcome::Unknown };
        let retry_after = MEAN_RETRY_AFTER.mul_f64(self.fleet.with(|state| state.jitter()));
        AnswerResult::Refused { code, retry_after, outcome }
    }

    fn count_end(&self, end: &AttemptEnd) {
        let label = match end {
            AttemptEnd::Complete(_) => "whole",
            AttemptEnd::Fault(fault) | AttemptEnd::Silent(fault, _) => fault.reason(),
            AttemptEnd::CallerGone => "cancelled",
            AttemptEnd::DeadlinePassed => "deadline_passed",
        };
        self.metrics.count(MetricName::Attempts, &[label]);
    }

    async fn run_attempt(
        &self,
        run: &mut AnswerRun,
        chain: &PlannedChain,
        retry: &dyn Fn(&str) -> bool,
    ) -> AttemptEnd {
        let mut attempt = self.start_attempt(run, chain);
        let _in_flight = self.fleet.track_in_flight(attempt.endpoints.iter().cloned());
        loop {
            let event = match self.next_event(run, &mut attempt).await {
                Ok(event) => event,
                Err(AttemptEnd::Fault(fault)) if fault.is_silence() => {
                    match self.replace_silent(run, &mut attempt, fault, retry) {
                        Some(end) => return end,
                        None => continue,
                    }
                }
                Err(end) => return end,
            };
            match self.apply_event(run, &event) {
                AnswerStep::Accepted(token) => {
                    if let Some(end) = self.accept_token(run, &mut attempt, token).await {
                        return end;
                    }
                }
                AnswerStep::Duplicate | AnswerStep::Stray => {}
                AnswerStep::Complete(digest) => return AttemptEnd::Complete(digest),
                AnswerStep::Failed(fault) => return AttemptEnd::Fault(fault),
            }
        }
    }

    fn start_attempt<'a>(
        &self,
        run: &mut AnswerRun,
        chain: &'a PlannedChain,
    ) -> RunningAttempt<'a> {
        let call = self.generate_call(run, chain);
        let now = Instant::now();
        run.last_progress = now;
        let timeout_options = self.options.timeouts.clone();
        RunningAttempt {
            chain,
            endpoints: chain.stages.iter().map(|stage| stage.endpoint.clone()).collect(),
            receiver: self
                .client
                .generate(call, run.request.deadline.saturating_duration_since(now)),
            timeouts: TokenTimeouts::new(timeout_options, run.request.priority, chain.token_time),
            last_token: None,
            quiet_since: now,
            silences: Vec::new(),
        }
    }

    /// Decides on an attempt that fell silent: another one replaces it if a chain and a retry are
    /// available. Otherwise it is kept, as its endpoints may go on.
    fn replace_silent(
        &self,
        run: &mut AnswerRun,
        attempt: &mut RunningAttempt<'_>,
        fault: AttemptFault,
        retry: &dyn Fn(&str) -> bool,
    ) -> Option<AttemptEnd> {
        if !attempt.silences.contains(&fault) {
            self.record_fault(run, attempt.chain, &fault);
            attempt.silences.push(fault.clone());
        }
        let next = self.plan_retry(run, &fault, retry);
        if next.is_ok() || self.is_given_up(run, &fault) {
            return Some(AttemptEnd::Silent(fault, next));
        }
        attempt.quiet_since = Instant::now();
        None
    }

    /// Whether the endpoint at fault has been silent for too long to be expected to go on.
    fn is_given_up(&self, run: &AnswerRun, fault: &AttemptFault) -> bool {
        let AttemptFault::Frozen(endpoint) = fault else {
            return false;
        };
        let longest_silence = self.options.timeouts.longest_silence;
        let now = Instant::now();
        now >= run.silent_since + longest_silence
            && !self.fleet.with(|state| state.was_alive_since(now - longest_silence, endpoint))
    }

    /// Waits for the attempt's next event. The error is the reason to end the attempt.
    async fn next_event(
        &self,
        run: &AnswerRun,
        attempt: &mut RunningAttempt<'_>,
    ) -> Result<GenerateEvent, AttemptEnd> {
        let RunningAttempt { chain, endpoints, receiver, timeouts, last_token, .. } = attempt;
        let quiet_since = attempt.quiet_since;
        let limit = match last_token {
            Some(_) => timeouts.give_up_delay(run.request.token_gap, run.slow_attempts),
            None => run.request.first_token_timeout,
        };
        let fault = tokio::select! {
            biased;
            () = sleep_until(run.request.deadline) => return Err(AttemptEnd::DeadlinePassed),
            () = run.sink.closed() => return Err(AttemptEnd::CallerGone),
            event = receiver.recv() => match event {
                Some(Ok(event)) => return Ok(event),
                Some(Err(failure)) => self.record_call_failure(chain, &failure),
                None => AttemptFault::Truncated,
            },
            endpoint = self.find_frozen(chain, quiet_since, timeouts) => {
                AttemptFault::Frozen(endpoint)
            }
            endpoint = self.fleet.unresponsive_since(quiet_since, endpoints) => {
                AttemptFault::Frozen(endpoint)
            }
            () = sleep_until(quiet_since + limit) => AttemptFault::Slow,
        };
        Err(AttemptEnd::Fault(fault))
    }

    /// Records an accepted token and forwards it to the caller.
    async fn accept_token(
        &self,
        run: &mut AnswerRun,
        attempt: &mut RunningAttempt<'_>,
        token: u64,
    ) -> Option<AttemptEnd> {
        let is_frozen = |fault: &AttemptFault| matches!(fault, AttemptFault::Frozen(_));
        let was_frozen = attempt.silences.iter().any(is_frozen);
        // A freeze tells nothing about the usual time between tokens.
        let previous = attempt.last_token.filter(|_| !was_frozen);
        self.record_token(run, attempt.chain, &mut attempt.timeouts, previous);
        if let Some(end) = forward_token(run, token).await {
            return Some(end);
        }
        let now = Instant::now();
        run.last_progress = now;
        run.silent_since = now;
        attempt.last_token = Some(now);
        attempt.quiet_since = now;
        attempt.silences.clear();
        None
    }

    fn generate_call(&self, run: &mut AnswerRun, chain: &PlannedChain) -> GenerateCall {
        let request = &run.request;
        let kv_holders = run.kv_holders.iter().filter(|name| self.may_export_kv(run, name));
        let sources = kv_holders.filter_map(|name| self.fleet.with(|state| state.address(name)));
        let kv_sources = sources.collect();
        GenerateCall {
            request: request.request.clone(),
            attempt: run.assembler.begin_attempt(chain.stages.clone()),
            model: request.model.name.clone(),
            version: request.model.version.clone(),
            route: chain.stages.clone(),
            prompt: request.prompt.clone(),
            accepted: run.assembler.tokens().to_vec(),
            max_tokens: request.max_tokens,
            priority: request.priority,
            kv_sources,
        }
    }

    /// Whether an engine is likely able to export the request's KV cache. An engine in a failure
    /// domain that just lost another engine must have shown a sign of life since the last token.
    fn may_export_kv(&self, run: &AnswerRun, endpoint: &str) -> bool {
        self.fleet.with(|state| {
            let domain = state.domain(endpoint).unwrap_or_default();
            !run.avoid.avoids_domain(&domain)
                || state.was_alive_since(run.last_progress + LIVENESS_MARGIN, endpoint)
        })
    }

    fn apply_event(&self, run: &mut AnswerRun, event: &GenerateEvent) -> AnswerStep {
        let step = run.assembler.apply(event);
        match step {
            AnswerStep::Accepted(_) => self.metrics.count(MetricName::Tokens, &["accepted"]),
            AnswerStep::Duplicate => self.metrics.count(MetricName::Tokens, &["duplicate"]),
            AnswerStep::Stray => self.metrics.count(MetricName::Tokens, &["stray"]),
            AnswerStep::Complete(_) | AnswerStep::Failed(_) => {}
        }
        step
    }

    /// Records that the stages of an accepted token are alive, and the time since the last token.
    fn record_token(
        &self,
        run: &mut AnswerRun,
        chain: &PlannedChain,
        timeouts: &mut TokenTimeouts,
        previous: Option<Instant>,
    ) {
        let now = Instant::now();
        run.is_not_run = false;
        run.avoid.clear_uncertain();
        let Some(previous) = previous else {
            self.fleet.with(|state| {
                chain.stages.iter().for_each(|stage| state.record_success(now, &stage.endpoint));
            });
            return;
        };
        let interval = now.duration_since(previous);
        timeouts.observe(interval);
        self.fleet.with(|state| state.observe_token(now, chain, run.request.priority, interval));
    }

    /// Probes the stages whenever the next token is overdue; returns one that does not answer.
    async fn find_frozen(
        &self,
        chain: &PlannedChain,
        quiet_since: Instant,
        timeouts: &TokenTimeouts,
    ) -> EndpointName {
        let mut probe_at = quiet_since + timeouts.probe_delay();
        loop {
            sleep_until(probe_at).await;
            let fresh_since = Instant::now() - LIVENESS_MAX_AGE;
            let stale_stages = chain.stages.iter().filter(|stage| {
                !self.fleet.with(|state| state.was_alive_since(fresh_since, &stage.endpoint))
            });
            let stale_stages =
                stale_stages.map(|stage| (stage.endpoint.clone(), stage.address.clone()));
            let unresponsive = self.prober.first_unresponsive(stale_stages.collect());
            let probe_limit = self.options.timeouts.longest_probe_timeout + timeouts.probe_delay();
            if let Ok(endpoint) = tokio::time::timeout(probe_limit, unresponsive).await {
                return endpoint;
            }
            probe_at = Instant::now();
        }
    }

    fn record_call_failure(&self, chain: &PlannedChain, failure: &CallFailure) -> AttemptFault {
        let first = &chain.stages[0].endpoint;
        self.fleet.observe_failure(Instant::now(), first, failure);
        match failure {
            CallFailure::NotSent(_) => AttemptFault::NotSent,
            CallFailure::Refused { .. } => AttemptFault::Refused,
            CallFailure::Broken(_) => AttemptFault::Broken,
        }
    }

    /// Records a fault against the endpoints at fault and makes the next attempt avoid them.
    fn record_fault(&self, run: &mut AnswerRun, chain: &PlannedChain, fault: &AttemptFault) {
        run.is_not_run &= fault.is_not_run();
        if !fault.is_not_run() {
            run.kv_holders.extend(chain.stages.iter().map(|stage| stage.endpoint.clone()));
        }
        let now = Instant::now();
        let first = &chain.stages[0].endpoint;
        match fault {
            AttemptFault::NotSent | AttemptFault::Refused => {
                self.avoid_endpoint(run, first, true);
                run.kv_holders.remove(first);
            }
            AttemptFault::Broken | AttemptFault::Truncated => {
                self.avoid_endpoint(run, first, false);
                if *fault == AttemptFault::Truncated {
                    self.fleet.with(|state| state.record_failure(now, first, 1, "truncated"));
                }
            }
            AttemptFault::StageFailed(endpoint) => {
                self.fleet.with(|state| state.record_failure(now, endpoint, 1, "stage_failed"));
                self.avoid_endpoint(run, endpoint, true);
                run.kv_holders.remove(endpoint);
            }
            AttemptFault::WrongStage(endpoint) => {
                self.fleet.with(|state| {
                    state.discard_report(endpoint);
                    state.record_failure(now, endpoint, 1, "wrong_stage");
                });
                self.avoid_endpoint(run, endpoint, true);
                run.kv_holders.remove(endpoint);
            }
            // Not excluded: the engine may only have paused, and may be part of the only chain.
            AttemptFault::Frozen(endpoint) => {
                run.avoid.avoid_silent(endpoint);
                self.avoid_domain(run, endpoint);
                run.kv_holders.remove(endpoint);
            }
            AttemptFault::Slow => {
                run.slow_attempts += 1;
                for stage in &chain.stages {
                    run.avoid.avoid_silent(&stage.endpoint);
                    self.fleet.with(|state| state.record_failure(now, &stage.endpoint, 1, "slow"));
                }
            }
        }
        run.avoid.set_kv_holders(run.kv_holders.clone());
    }

    fn avoid_endpoint(&self, run: &mut AnswerRun, endpoint: &str, is_certain: bool) {
        run.avoid.avoid(endpoint, is_certain);
        self.avoid_domain(run, endpoint);
    }

    fn avoid_domain(&self, run: &mut AnswerRun, endpoint: &str) {
        if let Some(domain) = self.fleet.with(|state| state.domain(endpoint)) {
            run.avoid.avoid_domain(&domain);
        }
    }
}

/// Sends a token to the caller; waits for a slow caller until the deadline at most.
async fn forward_token(run: &AnswerRun, token: u64) -> Option<AttemptEnd> {
    tokio::select! {
        biased;
        () = sleep_until(run.request.deadline) => Some(AttemptEnd::DeadlinePassed),
        sent = run.sink.send(token) => sent.err().map(|_| AttemptEnd::CallerGone),
    }
}
