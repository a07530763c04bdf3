//! Calls to plain services. A call is retried only if it is idempotent or certainly did not run.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

use crate::codes::ResultCode;
use crate::declaration::EndpointDeclaration;
use crate::endpoint::{CallFailure, EndpointClient, PlainCall, PlainReply};
use crate::ids::{CustomerName, EndpointName, ServiceName};
use crate::ledger::{
    ClaimRequest, ClaimSettlement, ClaimTicket, ClaimVerdict, LedgerService, fingerprint,
};
use crate::metrics::{MetricName, MetricRegistry};
use crate::outcome::CallOutcome;
use crate::picker::EndpointPicker;

/// Header with the idempotency key of a call, from the caller and to the endpoint.
pub(crate) const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Retry delay given to a caller whose call failed at the endpoints, before jitter.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Minimum time for which an idempotent call waits for a silent endpoint before it looks for
/// another one, unless the deadline is nearer.
const MIN_ATTEMPT_PATIENCE: Duration = Duration::from_millis(100);

/// Safety rule of plain calls that a test disables to prove that its checker detects the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlainRule {
    /// Treats a call that broke after it was sent as unknown, instead of not run.
    BrokenIsUnknown,
    /// Sends a call only under a granted claim, instead of also when the ledger is unavailable.
    ClaimBeforeSend,
}

/// Options of a driver of plain calls.
#[derive(Clone, Debug)]
pub struct PlainOptions {
    /// Longest wait of a caller for the ledger to record that its call did not run.
    pub settle_timeout: Duration,
    /// Seed of the jitter in retry delays; should differ between hosts.
    pub jitter_seed: u64,
    /// Safety rule to disable; only for tests.
    pub disabled: Option<PlainRule>,
}

impl Default for PlainOptions {
    fn default() -> Self {
        Self { settle_timeout: Duration::from_millis(250), jitter_seed: 0, disabled: None }
    }
}

/// A caller's request to a plain service.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// Service to call.
    pub service: ServiceName,
    /// Customer that the caller belongs to.
    pub customer: CustomerName,
    /// Whether the call is idempotent and may be repeated.
    pub is_idempotent: bool,
    /// The caller's `Idempotency-Key`; a non-idempotent call needs one.
    pub key: Option<Box<str>>,
    /// Call to forward; its timeout is set for each attempt.
    pub call: PlainCall,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Wall clock time of this host since the Unix epoch, used only to refuse keys by age.
    pub unix_now: Duration,
}

/// Endpoint choice and retry budget for a call.
#[derive(Clone)]
pub struct PlainContext {
    /// Chooses the service's endpoints.
    pub picker: Rc<dyn EndpointPicker>,
    /// Takes one retry from the budget; `false` if none is left.
    pub may_retry: Rc<dyn Fn() -> bool>,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainResult {
    /// What is known about whether the call ran.
    pub outcome: CallOutcome,
    /// Response of the service, if there is one.
    pub reply: Option<PlainReply>,
    /// Reason why there is no response.
    pub code: Option<ResultCode>,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl PlainResult {
    fn done(reply: PlainReply) -> Self {
        Self { outcome: CallOutcome::Done, reply: Some(reply), code: None, retry_after: None }
    }

    fn failed(outcome: CallOutcome, code: ResultCode, retry_after: Option<Duration>) -> Self {
        Self { outcome, reply: None, code: Some(code), retry_after }
    }
}

/// Result code of the attempts so far, all of which failed, and whether one may have run.
struct FailedAttempts {
    code: ResultCode,
    may_have_run: bool,
}

/// A failed attempt of a call.
struct FailedAttempt {
    failure: CallFailure,
    /// Endpoint that replaces a silent one, whose retry is taken from the budget.
    replacement: Option<EndpointDeclaration>,
}

/// Runs calls to plain services. Clones share the state.
#[derive(Clone)]
pub struct PlainDriver {
    client: Rc<dyn EndpointClient>,
    ledger: LedgerService,
    metrics: Rc<MetricRegistry>,
    options: PlainOptions,
    jitter_rng: Rc<RefCell<ChaCha8Rng>>,
}

impl PlainDriver {
    /// Creates a driver that sends calls through `client` and claims keys in `ledger`.
    pub fn new(
        client: Rc<dyn EndpointClient>,
        ledger: LedgerService,
        metrics: Rc<MetricRegistry>,
        options: PlainOptions,
    ) -> Self {
        let jitter_rng = Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(options.jitter_seed)));
        Self { client, ledger, metrics, options, jitter_rng }
    }

    /// Runs one call.
    ///
    /// A non-idempotent call continues if this future is dropped, so that its claim is settled
    /// even if the caller disconnects.
    pub async fn run(&self, request: PlainRequest, context: PlainContext) -> PlainResult {
        let result = self.run_request(request, context).await;
        // Jitter keeps callers that were refused at the same time from retrying at the same time.
        let factor = self.jitter_rng.borrow_mut().random_range(0.75..1.25);
        PlainResult { retry_after: result.retry_after.map(|time| time.mul_f64(factor)), ..result }
    }

    async fn run_request(&self, request: PlainRequest, context: PlainContext) -> PlainResult {
        if request.is_idempotent {
            return self.run_idempotent(&request, &context).await;
        }
        let Some(key) = request.key.clone() else {
            let code = ResultCode::IdempotencyKeyMissing;
            return PlainResult::failed(CallOutcome::NotRun, code, None);
        };
        let driver = self.clone();
        let task =
            tokio::task::spawn_local(
                async move { driver.run_claimed(&key, request, &context).await },
            );
        task.await.unwrap_or_else(|_| {
            PlainResult::failed(CallOutcome::Unknown, ResultCode::EndpointFailed, None)
        })
    }

    async fn run_idempotent(&self, request: &PlainRequest, context: &PlainContext) -> PlainResult {
        match self.try_endpoints(request, context).await {
            Ok(reply) => PlainResult::done(reply),
            Err(attempts) if attempts.may_have_run => {
                PlainResult::failed(CallOutcome::Unknown, attempts.code, Some(RETRY_DELAY))
            }
            Err(attempts) => {
                PlainResult::failed(CallOutcome::NotRun, attempts.code, Some(RETRY_DELAY))
            }
        }
    }

    async fn run_claimed(
        &self,
        key: &str,
        mut request: PlainRequest,
        context: &PlainContext,
    ) -> PlainResult {
        let claim = ClaimRequest {
            key,
            fingerprint: fingerprint(&request.service, &request.call),
            customer: request.customer.clone(),
            deadline: request.deadline.saturating_duration_since(Instant::now()),
        };
        set_key_header(&mut request.call, key);
        match self.ledger.claim(claim, request.unix_now).await {
            ClaimVerdict::Granted(ticket) => self.run_granted(ticket, &request, context).await,
            ClaimVerdict::Finished(reply) => PlainResult::done(reply),
            ClaimVerdict::Refused { code, retry_after } => {
                if code == ResultCode::LedgerUnavailable
                    && self.options.disabled == Some(PlainRule::ClaimBeforeSend)
                {
                    return self.run_idempotent(&request, context).await;
                }
                PlainResult::failed(refusal_outcome(code), code, retry_after)
            }
        }
    }

    async fn run_granted(
        &self,
        ticket: ClaimTicket,
        request: &PlainRequest,
        context: &PlainContext,
    ) -> PlainResult {
        match self.try_endpoints(request, context).await {
            Ok(reply) => {
                self.ledger.settle_later(ticket, ClaimSettlement::Done(reply.clone()));
                PlainResult::done(reply)
            }
            Err(attempts) if attempts.may_have_run => {
                self.ledger.settle_later(ticket, ClaimSettlement::Unknown);
                PlainResult::failed(CallOutcome::Unknown, attempts.code, None)
            }
            Err(attempts) => {
                // Settle before responding, so that the caller can retry with the same key.
                let settle = self.settle_not_run(ticket);
                let _ = tokio::time::timeout(self.options.settle_timeout, settle).await;
                PlainResult::failed(CallOutcome::NotRun, attempts.code, Some(RETRY_DELAY))
            }
        }
    }

    async fn settle_not_run(&self, ticket: ClaimTicket) {
        let ledger = self.ledger.clone();
        let task = tokio::task::spawn_local(async move {
            let _ = ledger.settle(ticket, ClaimSettlement::NotRun).await;
        });
        let _ = task.await;
    }

    /// Tries endpoints until one responds or no further attempt is allowed.
    async fn try_endpoints(
        &self,
        request: &PlainRequest,
        context: &PlainContext,
    ) -> Result<PlainReply, FailedAttempts> {
        let mut tried = BTreeSet::new();
        let mut attempts = FailedAttempts { code: ResultCode::NoEndpoint, may_have_run: false };
        let mut replacement = None;
        loop {
            // Check right before each send: the process may have been paused since the claim.
            if Instant::now() >= request.deadline {
                return Err(FailedAttempts { code: ResultCode::DeadlinePassed, ..attempts });
            }
            let endpoint = match replacement {
                Some(endpoint) => endpoint,
                None => {
                    let Some(endpoint) = context.picker.pick(&tried) else {
                        return Err(attempts);
                    };
                    if !tried.is_empty() && !(context.may_retry)() {
                        return Err(attempts.without_budget());
                    }
                    endpoint
                }
            };
            tried.insert(endpoint.name.clone());
            let failure = match self.send_attempt(request, context, &endpoint, &tried).await {
                Ok(reply) => return Ok(reply),
                Err(attempt) => {
                    replacement = attempt.replacement;
                    attempt.failure
                }
            };
            attempts.record(&failure, request.deadline, self.options.disabled);
            if attempts.may_have_run && !request.is_idempotent {
                return Err(attempts);
            }
            self.metrics.count(MetricName::Retries, &[failure_reason(&failure)]);
        }
    }

    /// Sends one attempt. A silent one is given up only for another endpoint, as its own may go on.
    async fn send_attempt(
        &self,
        request: &PlainRequest,
        context: &PlainContext,
        endpoint: &EndpointDeclaration,
        tried: &BTreeSet<EndpointName>,
    ) -> Result<PlainReply, FailedAttempt> {
        let timeout = request.deadline.saturating_duration_since(Instant::now());
        let call = PlainCall { timeout, ..request.call.clone() };
        let mut guard = AttemptGuard::start(context.picker.clone(), endpoint.name.clone());
        let mut reply = self.client.call(&endpoint.address, call);
        let mut replacement = None;
        let result = loop {
            let patience = attempt_patience(request, Instant::now());
            if let Ok(result) = tokio::time::timeout(patience, &mut reply).await {
                break result;
            }
            let is_over = Instant::now() >= request.deadline;
            replacement = if is_over { None } else { context.replace_silent(tried) };
            if is_over || replacement.is_some() {
                break Err(CallFailure::Broken("no response before the timeout".into()));
            }
        };
        guard.finish(result.as_ref().err());
        result.map_err(|failure| FailedAttempt { failure, replacement })
    }
}

impl PlainContext {
    /// Chooses an endpoint in place of a silent one and takes a retry for it.
    fn replace_silent(&self, tried: &BTreeSet<EndpointName>) -> Option<EndpointDeclaration> {
        self.picker.pick(tried).filter(|_| (self.may_retry)())
    }
}

/// Reports the start and the end of an attempt to the picker, even if its future is dropped.
struct AttemptGuard {
    picker: Rc<dyn EndpointPicker>,
    endpoint: EndpointName,
    started: Instant,
    is_finished: bool,
}

impl AttemptGuard {
    fn start(picker: Rc<dyn EndpointPicker>, endpoint: EndpointName) -> Self {
        picker.started(&endpoint);
        Self { picker, endpoint, started: Instant::now(), is_finished: false }
    }

    fn finish(&mut self, failure: Option<&CallFailure>) {
        self.is_finished = true;
        self.picker.finished(&self.endpoint, self.started.elapsed(), failure);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.finish(None);
        }
    }
}

impl FailedAttempts {
    fn record(&mut self, failure: &CallFailure, deadline: Instant, disabled: Option<PlainRule>) {
        match failure {
            CallFailure::NotSent(_) if !self.may_have_run => self.code = ResultCode::NoEndpoint,
            CallFailure::Refused { .. } if !self.may_have_run => {
                self.code = ResultCode::EndpointRefused
            }
            CallFailure::NotSent(_) | CallFailure::Refused { .. } => {}
            CallFailure::Broken(_) => {
                self.may_have_run = disabled != Some(PlainRule::BrokenIsUnknown);
                self.code = ResultCode::EndpointFailed;
                if Instant::now() >= deadline {
                    self.code = ResultCode::DeadlinePassed;
                }
            }
        }
    }

    fn without_budget(self) -> Self {
        if self.may_have_run {
            return self;
        }
        Self { code: ResultCode::RetryBudgetSpent, ..self }
    }
}

/// What is known about whether the key's call ran when the ledger refuses the request.
///
/// A request whose key was claimed before is not sent, but the earlier request may have run. If the
/// outcome were reported as not run, the caller could repeat the call under a new key.
fn refusal_outcome(code: ResultCode) -> CallOutcome {
    match code {
        ResultCode::AnswerNotKept => CallOutcome::Done,
        ResultCode::ClaimInFlight
        | ResultCode::ClaimUnknown
        | ResultCode::IdempotencyKeyExpired => CallOutcome::Unknown,
        _ => CallOutcome::NotRun,
    }
}

/// Time for which an attempt waits for a silent endpoint before it looks for another one: half of
/// the time left to the deadline for an idempotent call, which may be retried; all of it for
/// another call.
fn attempt_patience(request: &PlainRequest, now: Instant) -> Duration {
    let remaining = request.deadline.saturating_duration_since(now);
    if !request.is_idempotent {
        return remaining;
    }
    (remaining / 2).max(MIN_ATTEMPT_PATIENCE).min(remaining)
}

fn set_key_header(call: &mut PlainCall, key: &str) {
    call.headers.retain(|(name, _)| &**name != IDEMPOTENCY_HEADER);
    call.headers.push((IDEMPOTENCY_HEADER.into(), key.into()));
}

fn failure_reason(failure: &CallFailure) -> &'static str {
    match failure {
        CallFailure::NotSent(_) => "not_sent",
        CallFailure::Refused { .. } => "refused",
        CallFailure::Broken(_) => "broken",
    }
}
