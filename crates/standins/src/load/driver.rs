//! Sends each call at its scheduled time and retries it like a client behind a load balancer.

use jacinthrock::ResultCode;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use super::arrival::CallArrival;
use super::balancer::LoadBalancer;
use super::sample::{CallAttempt, CallResult, CallSample};
use super::scenario::CallKind;
use crate::caller::{
    CallEnd, CallSender, ChatCall, Refusal, RouterCaller, ServiceCall, chat_prompt,
};
use crate::fleet::FleetPlan;
use crate::token::expected_answer;

/// Limit on the attempts of one call, over all routers.
const MAX_ATTEMPTS: usize = 8;

/// Delay before retrying a call whose idempotency key is in flight at another router.
const IN_FLIGHT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Prefix that routers add to the request id to form the id of a chat completion.
const ANSWER_ID_PREFIX: &str = "chatcmpl-";

/// Stack size of the thread of one call, in bytes.
const THREAD_STACK_BYTES: usize = 256 * 1024;

/// The system under load.
#[derive(Clone, Debug)]
pub struct LoadTarget {
    /// Addresses on which the routers accept calls.
    pub routers: Vec<Box<str>>,
    /// Operator addresses of the routers, in the same order; empty if unknown.
    pub operator_addresses: Vec<Box<str>>,
    /// Declared customers, services and model.
    pub plan: FleetPlan,
}

/// Sends the calls of one run.
pub struct LoadDriver {
    state: Arc<DriverState>,
    sender: mpsc::Sender<CallSample>,
    receiver: mpsc::Receiver<CallSample>,
    sent: usize,
}

struct DriverState {
    caller: Box<dyn CallSender>,
    balancer: LoadBalancer,
    target: LoadTarget,
    start: Instant,
}

/// Response to one attempt.
struct AttemptOutcome {
    end: CallEnd,
    request: Box<str>,
    times: Vec<Duration>,
    is_correct: bool,
}

impl LoadDriver {
    /// Creates a driver that calls the routers. The clock of the run starts now.
    pub fn new(target: LoadTarget) -> Self {
        let caller = RouterCaller::new(target.plan.call_timeout());
        Self::with_caller(target, Box::new(caller))
    }

    /// Creates a driver that sends its calls through `caller`. The clock of the run starts now.
    pub fn with_caller(target: LoadTarget, caller: Box<dyn CallSender>) -> Self {
        let (sender, receiver) = mpsc::channel();
        let state = DriverState {
            caller,
            balancer: LoadBalancer::new(target.operator_addresses.clone()),
            target,
            start: Instant::now(),
        };
        Self { state: Arc::new(state), sender, receiver, sent: 0 }
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.state.start.elapsed()
    }

    /// Sleeps until `at`, counted from the start of the run.
    pub fn sleep_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.elapsed()));
    }

    /// Sends a call on a new thread.
    pub fn send(&mut self, arrival: CallArrival) {
        let state = self.state.clone();
        let sender = self.sender.clone();
        let run_call = move || {
            // The driver outlives every call, so a send fails only if the driver panicked.
            let _ = sender.send(state.run_call(&arrival));
        };
        let builder = thread::Builder::new().stack_size(THREAD_STACK_BYTES);
        builder.spawn(run_call).expect("failed to spawn a thread for a call");
        self.sent += 1;
    }

    /// Waits for every call to end and returns the samples, ordered by scheduled time.
    pub fn finish(self) -> Vec<CallSample> {
        let samples = self.receiver.iter().take(self.sent);
        let mut samples: Vec<CallSample> = samples.collect();
        samples.sort_by_key(|sample| sample.due);
        samples
    }
}

impl DriverState {
    fn run_call(&self, arrival: &CallArrival) -> CallSample {
        let mut sample = CallSample {
            kind: arrival.kind,
            customer: arrival.customer,
            due: arrival.at,
            ended: arrival.at,
            token_times: Vec::new(),
            request: Box::default(),
            key: idempotency_key(arrival.kind),
            attempts: Vec::new(),
            result: CallResult::Lost,
        };
        let routers = self.target.routers.len();
        for number in 0..MAX_ATTEMPTS {
            let router = self.balancer.choose(arrival.router_draw + number, routers);
            let started = self.start.elapsed();
            let outcome = self.attempt(arrival, &sample.key, router);
            sample.ended = self.start.elapsed();
            sample.token_times.extend(outcome.times);
            sample.request = outcome.request;
            sample.result = call_result(&outcome.end, outcome.is_correct);
            let delay = retry_delay(&outcome.end);
            let (ended, end) = (sample.ended, outcome.end);
            sample.attempts.push(CallAttempt { router, started, ended, end });
            let Some(delay) = delay.filter(|_| outcome.is_correct) else {
                break;
            };
            thread::sleep(delay);
        }
        sample
    }

    fn attempt(&self, arrival: &CallArrival, key: &str, router: usize) -> AttemptOutcome {
        let customer = &self.target.plan.customers[arrival.customer];
        let router = &self.target.routers[router];
        if arrival.kind == CallKind::Answer {
            return self.stream_chat(arrival, router, &customer.key());
        }
        let (method, body) = match arrival.kind {
            CallKind::Run => ("POST", serde_json::json!({ "text": arrival.text }).to_string()),
            CallKind::Answer | CallKind::LookUp => ("GET", String::new()),
        };
        let answer = self.caller.call(&ServiceCall {
            router,
            key: &customer.key(),
            method,
            path: &format!("{}/", arrival.prefix),
            idempotency_key: key,
            body: &body,
        });
        // A service echoes the idempotency key in its reply.
        let is_correct =
            answer.end != CallEnd::Whole || key.is_empty() || answer.body.contains(key);
        AttemptOutcome { end: answer.end, request: Box::default(), times: Vec::new(), is_correct }
    }

    fn stream_chat(&self, arrival: &CallArrival, router: &str, key: &str) -> AttemptOutcome {
        let model = &self.target.plan.model;
        let answer = self.caller.stream_chat(&ChatCall {
            router,
            key,
            service: &model.service,
            user_message: &arrival.text,
            max_tokens: arrival.tokens,
        });
        let prompt = chat_prompt(&arrival.text);
        let length = arrival.tokens;
        let expected = expected_answer(&model.name, &model.version, &prompt, model.layers, length);
        let is_correct = match answer.end {
            CallEnd::Whole => answer.tokens == expected,
            _ => expected.starts_with(&answer.tokens),
        };
        let request = answer.id.strip_prefix(ANSWER_ID_PREFIX).unwrap_or(&answer.id).into();
        let since_start = |time: Instant| time.saturating_duration_since(self.start);
        let times = answer.times.into_iter().map(since_start).collect();
        AttemptOutcome { end: answer.end, request, times, is_correct }
    }
}

fn idempotency_key(kind: CallKind) -> Box<str> {
    match kind {
        CallKind::Run => uuid::Uuid::now_v7().to_string().into(),
        CallKind::Answer | CallKind::LookUp => Box::default(),
    }
}

fn call_result(end: &CallEnd, is_correct: bool) -> CallResult {
    match end {
        _ if !is_correct => CallResult::Wrong,
        CallEnd::Whole => CallResult::Whole,
        CallEnd::Refused(refusal) if &*refusal.outcome == "unknown" => CallResult::Unknown,
        CallEnd::Refused(_) => CallResult::Refused,
        CallEnd::NotReached | CallEnd::Cut => CallResult::Lost,
    }
}

/// Delay before the next attempt, or `None` if the result is final.
///
/// A connection failure is retried at once, as is a refusal by a router that is draining or not
/// ready.
fn retry_delay(end: &CallEnd) -> Option<Duration> {
    match end {
        CallEnd::NotReached | CallEnd::Cut => Some(Duration::ZERO),
        CallEnd::Refused(refusal) if is_code(refusal, ResultCode::ClaimInFlight) => {
            Some(IN_FLIGHT_RETRY_DELAY)
        }
        CallEnd::Refused(refusal)
            if is_code(refusal, ResultCode::Draining) || is_code(refusal, ResultCode::NotReady) =>
        {
            Some(Duration::ZERO)
        }
        CallEnd::Whole | CallEnd::Refused(_) => None,
    }
}

fn is_code(refusal: &Refusal, code: ResultCode) -> bool {
    refusal.code == code.number()
}
