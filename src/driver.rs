//! Runs one answer: attempts, resumption on other chains, and the end.

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
use crate::counters::{CounterRegistry, MetricName};
use crate::declaration::ModelDeclaration;
use crate::endpoint::{
    CallFailure, EndpointCaller, EventReceiver, GenerateCall, GenerateEvent, PriorityClass,
};
use crate::fleet::{ChainDemand, EndpointFleet};
use crate::ids::{EndpointName, RequestId, TokenPosition};
use crate::outcome::CallOutcome;
use crate::probe::StatusProber;

/// Middle of the time after which a refused caller may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time within which a stage's token or report is a sign that it lives.
const FRESH_LIFE: Duration = Duration::from_millis(30);

/// Time after the last token from which an answer of a stage is newer than the token.
const ANSWER_MARGIN: Duration = Duration::from_millis(1);

/// What a caller ordered.
#[derive(Clone, Debug)]
pub struct AnswerRequest {
    /// Request, the same in every attempt.
    pub request: RequestId,
    /// Model to run.
    pub model: Rc<ModelDeclaration>,
    /// Text that the answer continues.
    pub prompt: Box<str>,
    /// Length of the whole answer, in tokens.
    pub max_tokens: TokenPosition,
    /// Priority that the engines honour.
    pub priority: PriorityClass,
    /// Time after which nothing is sent or tried.
    pub deadline: Instant,
    /// Longest silence between two tokens.
    pub token_gap: Duration,
    /// Longest silence before the first token of an attempt.
    pub first_token_timeout: Duration,
}

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerResult {
    /// The whole answer went to the caller.
    Done {
        /// Length of the answer, in tokens.
        tokens: TokenPosition,
        /// SHA-256 over the tokens as little-endian bytes, in hexadecimal.
        digest: Box<str>,
    },
    /// The answer is not whole and won't become so.
    Refused {
        /// Why.
        code: ResultCode,
        /// Time after which the caller may come back.
        retry_after: Duration,
        /// What is known about whether it ran.
        outcome: CallOutcome,
    },
    /// The caller went away; the attempt was cancelled.
    Cancelled,
}

/// Options of a driver.
#[derive(Clone, Debug, Default)]
pub struct DriverOptions {
    /// Checks of the answers.
    pub checks: AnswerChecks,
    /// Bounds of the silence that an attempt bears.
    pub silence: TimeoutOptions,
}

/// Runs answers over the chains of a fleet.
///
/// Runs on a current-thread runtime inside a `LocalSet`.
#[derive(Clone)]
pub struct AnswerDriver {
    fleet: EndpointFleet,
    caller: Rc<dyn EndpointCaller>,
    counters: Rc<CounterRegistry>,
    options: DriverOptions,
    prober: StatusProber,
}

struct AnswerRun {
    order: AnswerRequest,
    sink: mpsc::Sender<u64>,
    assembler: AnswerAssembler,
    avoid: AvoidSet,
    holders: BTreeSet<EndpointName>,
    given_up: u32,
    silent_since: Instant,
    is_not_run: bool,
    last_fault: Option<AttemptFault>,
}

struct OpenAttempt<'a> {
    chain: &'a PlannedChain,
    endpoints: Vec<EndpointName>,
    receiver: EventReceiver,
    clock: TokenTimeouts,
    last_token: Option<Instant>,
}

enum AttemptEnd {
    Whole(Box<str>),
    Fault(AttemptFault),
    CallerGone,
    DeadlinePassed,
}

impl AnswerDriver {
    /// A driver over a fleet and the calls to its endpoints.
    pub fn new(
        fleet: EndpointFleet,
        caller: Rc<dyn EndpointCaller>,
        counters: Rc<CounterRegistry>,
        options: DriverOptions,
    ) -> Self {
        let silence = options.silence.clone();
        let prober = StatusProber::new(fleet.clone(), caller.clone(), silence);
        Self { fleet, caller, counters, options, prober }
    }

    /// Runs an answer, sending each accepted token to `sink` once and in order.
    ///
    /// Asks `retry` before each attempt after the first, with the reason; a `false` ends the
    /// answer. Ends at once where no chain is left, and at the deadline at the latest. Closing
    /// the receiver of `sink` cancels the attempt in flight.
    pub async fn run(
        &self,
        order: AnswerRequest,
        sink: mpsc::Sender<u64>,
        retry: &dyn Fn(&str) -> bool,
    ) -> AnswerResult {
        let mut run = self.begin(order, sink);
        loop {
            if Instant::now() >= run.order.deadline {
                return self.refuse(&run, ResultCode::DeadlinePassed);
            }
            let Some(chain) = self.plan(&run) else {
                return self.refuse(&run, ResultCode::NoChain);
            };
            if let Some(fault) = &run.last_fault {
                if !retry(fault.reason()) {
                    return self.refuse(&run, ResultCode::RetryBudgetSpent);
                }
                self.counters.count(MetricName::Retries, &[fault.reason()]);
            }
            if self.is_unreachable(&run, &chain) {
                return self.refuse(&run, ResultCode::DeadlineUnreachable);
            }
            let end = self.attempt(&mut run, &chain).await;
            self.count_end(&end);
            match end {
                AttemptEnd::Whole(digest) => {
                    return AnswerResult::Done { tokens: run.order.max_tokens, digest };
                }
                AttemptEnd::CallerGone => return AnswerResult::Cancelled,
                AttemptEnd::DeadlinePassed => {
                    run.is_not_run = false;
                    return self.refuse(&run, ResultCode::DeadlinePassed);
                }
                AttemptEnd::Fault(fault) => self.blame(&mut run, &chain, fault),
            }
        }
    }

    fn begin(&self, order: AnswerRequest, sink: mpsc::Sender<u64>) -> AnswerRun {
        let shape = ExpectedAnswer {
            version: order.model.version.clone(),
            layers: order.model.layers,
            length: order.max_tokens,
        };
        AnswerRun {
            order,
            sink,
            assembler: AnswerAssembler::new(shape, self.options.checks.clone()),
            avoid: AvoidSet::default(),
            holders: BTreeSet::new(),
            given_up: 0,
            silent_since: Instant::now(),
            is_not_run: true,
            last_fault: None,
        }
    }

    fn plan(&self, run: &AnswerRun) -> Option<PlannedChain> {
        let demand =
            ChainDemand { model: &run.order.model, prompt: &run.order.prompt, avoid: &run.avoid };
        self.fleet.plan(Instant::now(), &demand)
    }

    /// Whether the rest of the answer is known to take longer than the time to the deadline.
    fn is_unreachable(&self, run: &AnswerRun, chain: &PlannedChain) -> bool {
        let accepted = run.assembler.tokens().len() as TokenPosition;
        let left = run.order.max_tokens.saturating_sub(accepted);
        let slowdown = self.fleet.with(|state| state.slowdown(run.order.priority));
        let needed = chain.token_time.mul_f64(slowdown) * left;
        let remaining = run.order.deadline.saturating_duration_since(Instant::now());
        needed > remaining && self.fleet.with(|state| state.is_time_known(chain))
    }

    fn refuse(&self, run: &AnswerRun, code: ResultCode) -> AnswerResult {
        let outcome = if run.is_not_run { CallOutcome::NotRun } else { CallOutcome::Unknown };
        let retry_after = RETRY_AFTER.mul_f64(self.fleet.with(|state| state.jitter()));
        AnswerResult::Refused { code, retry_after, outcome }
    }

    fn count_end(&self, end: &AttemptEnd) {
        let label = match end {
            AttemptEnd::Whole(_) => "whole",
            AttemptEnd::Fault(fault) => fault.reason(),
            AttemptEnd::CallerGone => "cancelled",
            AttemptEnd::DeadlinePassed => "deadline_passed",
        };
        self.counters.count(MetricName::Attempts, &[label]);
    }

    async fn attempt(&self, run: &mut AnswerRun, chain: &PlannedChain) -> AttemptEnd {
        let mut open = self.open(run, chain);
        let _flight = self.fleet.track_in_flight(open.endpoints.iter().cloned());
        loop {
            let event = match self.next_event(run, &mut open).await {
                Ok(event) => event,
                Err(end) => return end,
            };
            match self.take(run, &event) {
                AnswerStep::Accepted(token) => {
                    if let Some(end) = self.accept(run, &mut open, token).await {
                        return end;
                    }
                }
                AnswerStep::Duplicate | AnswerStep::Stray => {}
                AnswerStep::Whole(digest) => return AttemptEnd::Whole(digest),
                AnswerStep::Failed(fault) => return AttemptEnd::Fault(fault),
            }
        }
    }

    fn open<'a>(&self, run: &mut AnswerRun, chain: &'a PlannedChain) -> OpenAttempt<'a> {
        let call = self.call(run, chain);
        let now = Instant::now();
        run.silent_since = now;
        let silence = self.options.silence.clone();
        OpenAttempt {
            chain,
            endpoints: chain.stages.iter().map(|stage| stage.endpoint.clone()).collect(),
            receiver: self.caller.generate(call, run.order.deadline.saturating_duration_since(now)),
            clock: TokenTimeouts::new(silence, run.order.priority, chain.token_time),
            last_token: None,
        }
    }

    /// Waits for the attempt's next event, or for the reason why none is waited for any more.
    async fn next_event(
        &self,
        run: &AnswerRun,
        open: &mut OpenAttempt<'_>,
    ) -> Result<GenerateEvent, AttemptEnd> {
        let OpenAttempt { chain, endpoints, receiver, clock, last_token } = open;
        let silent_since = run.silent_since;
        let limit = match last_token {
            Some(_) => clock.give_up_after(run.order.token_gap, run.given_up),
            None => run.order.first_token_timeout,
        };
        let fault = tokio::select! {
            biased;
            () = sleep_until(run.order.deadline) => return Err(AttemptEnd::DeadlinePassed),
            () = run.sink.closed() => return Err(AttemptEnd::CallerGone),
            event = receiver.recv() => match event {
                Some(Ok(event)) => return Ok(event),
                Some(Err(failure)) => self.call_fault(chain, &failure),
                None => AttemptFault::Truncated,
            },
            endpoint = self.find_frozen(chain, silent_since, clock) => {
                AttemptFault::Frozen(endpoint)
            }
            endpoint = self.fleet.unresponsive_since(silent_since, endpoints) => {
                AttemptFault::Frozen(endpoint)
            }
            () = sleep_until(silent_since + limit) => AttemptFault::Slow,
        };
        Err(AttemptEnd::Fault(fault))
    }

    /// Learns from an accepted token and passes it on.
    async fn accept(
        &self,
        run: &mut AnswerRun,
        open: &mut OpenAttempt<'_>,
        token: u64,
    ) -> Option<AttemptEnd> {
        let previous = open.last_token;
        self.learn(run, open.chain, &mut open.clock, previous);
        if let Some(end) = forward(run, token).await {
            return Some(end);
        }
        run.silent_since = Instant::now();
        open.last_token = Some(run.silent_since);
        None
    }

    fn call(&self, run: &mut AnswerRun, chain: &PlannedChain) -> GenerateCall {
        let order = &run.order;
        let holders = run.holders.iter().filter(|name| self.may_export(run, name));
        let sources = holders.filter_map(|name| self.fleet.with(|state| state.address(name)));
        let kv_sources = sources.collect();
        GenerateCall {
            request: order.request.clone(),
            attempt: run.assembler.begin_attempt(chain.stages.clone()),
            model: order.model.name.clone(),
            version: order.model.version.clone(),
            route: chain.stages.clone(),
            prompt: order.prompt.clone(),
            accepted: run.assembler.tokens().to_vec(),
            max_tokens: order.max_tokens,
            priority: order.priority,
            kv_sources,
        }
    }

    /// Whether an engine is likely able to export the request's KV cache: one in a failure domain
    /// that just lost an engine has to have answered since.
    fn may_export(&self, run: &AnswerRun, endpoint: &str) -> bool {
        self.fleet.with(|state| {
            let domain = state.domain(endpoint).unwrap_or_default();
            !run.avoid.avoids_domain(&domain)
                || state.was_alive_since(run.silent_since + ANSWER_MARGIN, endpoint)
        })
    }

    fn take(&self, run: &mut AnswerRun, event: &GenerateEvent) -> AnswerStep {
        let step = run.assembler.take(event);
        match step {
            AnswerStep::Accepted(_) => self.counters.count(MetricName::Tokens, &["accepted"]),
            AnswerStep::Duplicate => self.counters.count(MetricName::Tokens, &["duplicate"]),
            AnswerStep::Stray => self.counters.count(MetricName::Tokens, &["stray"]),
            AnswerStep::Whole(_) | AnswerStep::Failed(_) => {}
        }
        step
    }

    /// Learns from an accepted token: its stages live, and how long a token takes.
    fn learn(
        &self,
        run: &mut AnswerRun,
        chain: &PlannedChain,
        clock: &mut TokenTimeouts,
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
        clock.observe(interval);
        self.fleet.with(|state| state.observe_token(now, chain, run.order.priority, interval));
    }

    /// Asks the stages whether they live once tokens are overdue; ends with one that does not.
    async fn find_frozen(
        &self,
        chain: &PlannedChain,
        silent_since: Instant,
        clock: &TokenTimeouts,
    ) -> EndpointName {
        let mut suspect_at = silent_since + clock.suspect_after();
        loop {
            sleep_until(suspect_at).await;
            let fresh_since = Instant::now() - FRESH_LIFE;
            let unheard = chain.stages.iter().filter(|stage| {
                !self.fleet.with(|state| state.was_alive_since(fresh_since, &stage.endpoint))
            });
            let unheard = unheard.map(|stage| (stage.endpoint.clone(), stage.address.clone()));
            let silent = self.prober.first_unresponsive(unheard.collect());
            let patience = self.options.silence.longest_probe_timeout + clock.suspect_after();
            if let Ok(endpoint) = tokio::time::timeout(patience, silent).await {
                return endpoint;
            }
            suspect_at = Instant::now();
        }
    }

    fn call_fault(&self, chain: &PlannedChain, failure: &CallFailure) -> AttemptFault {
        let first = &chain.stages[0].endpoint;
        self.fleet.observe_failure(Instant::now(), first, failure);
        match failure {
            CallFailure::NotSent(_) => AttemptFault::NotSent,
            CallFailure::Refused { .. } => AttemptFault::Refused,
            CallFailure::Broken(_) => AttemptFault::Broken,
        }
    }

    /// Steers the next attempt away from what failed, and strikes it.
    fn blame(&self, run: &mut AnswerRun, chain: &PlannedChain, fault: AttemptFault) {
        run.is_not_run &= fault.is_not_run();
        if !fault.is_not_run() {
            run.holders.extend(chain.stages.iter().map(|stage| stage.endpoint.clone()));
        }
        let now = Instant::now();
        let first = &chain.stages[0].endpoint;
        match &fault {
            AttemptFault::NotSent | AttemptFault::Refused => {
                self.avoid(run, first, true);
                run.holders.remove(first);
            }
            AttemptFault::Broken | AttemptFault::Truncated => {
                self.avoid(run, first, false);
                if fault == AttemptFault::Truncated {
                    self.fleet.with(|state| state.record_failure(now, first, 1, "truncated"));
                }
            }
            AttemptFault::StageFailed(endpoint) => {
                self.fleet.with(|state| state.record_failure(now, endpoint, 1, "stage_failed"));
                self.avoid(run, endpoint, true);
                run.holders.remove(endpoint);
            }
            AttemptFault::WrongStage(endpoint) => {
                self.fleet.with(|state| {
                    state.discard_report(endpoint);
                    state.record_failure(now, endpoint, 1, "wrong_stage");
                });
                self.avoid(run, endpoint, true);
                run.holders.remove(endpoint);
            }
            // Not certain: an engine that only paused may be in the last chain that is left.
            AttemptFault::Frozen(endpoint) => {
                self.avoid(run, endpoint, false);
                run.holders.remove(endpoint);
            }
            AttemptFault::Slow => {
                run.given_up += 1;
                for stage in &chain.stages {
                    run.avoid.avoid(&stage.endpoint, false);
                    self.fleet.with(|state| state.record_failure(now, &stage.endpoint, 1, "slow"));
                }
            }
        }
        run.avoid.set_kv_holders(run.holders.clone());
        run.last_fault = Some(fault);
    }

    fn avoid(&self, run: &mut AnswerRun, endpoint: &str, certain: bool) {
        run.avoid.avoid(endpoint, certain);
        if let Some(domain) = self.fleet.with(|state| state.domain(endpoint)) {
            run.avoid.avoid_domain(&domain);
        }
    }
}

/// Sends a token to the caller; waiting for a slow caller ends at the deadline.
async fn forward(run: &AnswerRun, token: u64) -> Option<AttemptEnd> {
    tokio::select! {
        biased;
        () = sleep_until(run.order.deadline) => Some(AttemptEnd::DeadlinePassed),
        sent = run.sink.send(token) => sent.err().map(|_| AttemptEnd::CallerGone),
    }
}
