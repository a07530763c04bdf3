//! Sends every call at its time, and retries as a caller behind a balancer does.

use jacinthrock::ResultCode;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use super::arrival::CallArrival;
use super::balancer::LoadBalancer;
use super::sample::{CallResult, CallSample, CallTry};
use super::scenario::CallKind;
use crate::caller::{CallEnd, CallSender, ChatCall, Refusal, RouterCaller, ServiceCall, prompt_of};
use crate::fleet::FleetPlan;
use crate::token::expected_answer;

/// Tries of one call over all routers.
const MAX_TRIES: usize = 8;

/// Wait before a key that is in flight at another router is tried again.
const IN_FLIGHT_WAIT: Duration = Duration::from_millis(200);

/// What routers put before a request's identifier in an answer's.
const ANSWER_ID_PREFIX: &str = "chatcmpl-";

/// Stack of a call's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// What the calls are made to.
#[derive(Clone, Debug)]
pub struct LoadTarget {
    /// Addresses of the routers.
    pub routers: Vec<Box<str>>,
    /// Their operators' addresses, in the same order; empty where they are not known.
    pub operator_addresses: Vec<Box<str>>,
    /// The declared customers, services and model.
    pub plan: FleetPlan,
}

/// Sends the calls of one run.
pub struct LoadDriver {
    shared: Arc<DriverShared>,
    sender: mpsc::Sender<CallSample>,
    receiver: mpsc::Receiver<CallSample>,
    sent: usize,
}

struct DriverShared {
    caller: Box<dyn CallSender>,
    balancer: LoadBalancer,
    target: LoadTarget,
    start: Instant,
}

struct TryAnswer {
    end: CallEnd,
    request: Box<str>,
    times: Vec<Duration>,
    right: bool,
}

impl LoadDriver {
    /// A driver of calls to routers, whose run starts now.
    pub fn new(target: LoadTarget) -> Self {
        let caller = RouterCaller::new(target.plan.patience());
        Self::with_caller(target, Box::new(caller))
    }

    /// A driver that sends its calls through `caller`, whose run starts now.
    pub fn with_caller(target: LoadTarget, caller: Box<dyn CallSender>) -> Self {
        let (sender, receiver) = mpsc::channel();
        let shared = DriverShared {
            caller,
            balancer: LoadBalancer::new(target.operator_addresses.clone()),
            target,
            start: Instant::now(),
        };
        Self { shared: Arc::new(shared), sender, receiver, sent: 0 }
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.shared.start.elapsed()
    }

    /// Sleeps until a time of the run.
    pub fn sleep_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.elapsed()));
    }

    /// Sends a call from a thread of its own.
    pub fn send(&mut self, arrival: CallArrival) {
        let shared = self.shared.clone();
        let sender = self.sender.clone();
        let perform = move || {
            // The driver outlives every call; a failed send means that it panicked.
            let _ = sender.send(shared.perform(&arrival));
        };
        let builder = thread::Builder::new().stack_size(STACK_BYTES);
        builder.spawn(perform).expect("the system has threads left");
        self.sent += 1;
    }

    /// Waits for every call to end.
    pub fn finish(self) -> Vec<CallSample> {
        let samples = self.receiver.iter().take(self.sent);
        let mut samples: Vec<CallSample> = samples.collect();
        samples.sort_by_key(|sample| sample.due);
        samples
    }
}

impl DriverShared {
    fn perform(&self, arrival: &CallArrival) -> CallSample {
        let mut sample = CallSample {
            kind: arrival.kind,
            customer: arrival.customer,
            due: arrival.at,
            ended: arrival.at,
            token_times: Vec::new(),
            request: Box::default(),
            key: idempotency_key(arrival.kind),
            tries: Vec::new(),
            result: CallResult::Lost,
        };
        let routers = self.target.routers.len();
        for number in 0..MAX_TRIES {
            let router = self.balancer.choose(arrival.router_draw + number, routers);
            let started = self.start.elapsed();
            let answer = self.attempt(arrival, &sample.key, router);
            sample.ended = self.start.elapsed();
            sample.token_times.extend(answer.times);
            sample.request = answer.request;
            sample.result = call_result(&answer.end, answer.right);
            let wait = retry_wait(&answer.end);
            let (ended, end) = (sample.ended, answer.end);
            sample.tries.push(CallTry { router, started, ended, end });
            let Some(wait) = wait.filter(|_| answer.right) else {
                break;
            };
            thread::sleep(wait);
        }
        sample
    }

    fn attempt(&self, arrival: &CallArrival, key: &str, router: usize) -> TryAnswer {
        let customer = &self.target.plan.customers[arrival.customer];
        let router = &self.target.routers[router];
        if arrival.kind == CallKind::Answer {
            return self.ask(arrival, router, &customer.key());
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
        // The service's reply to a call with a key names the key.
        let right = answer.end != CallEnd::Whole || key.is_empty() || answer.body.contains(key);
        TryAnswer { end: answer.end, request: Box::default(), times: Vec::new(), right }
    }

    fn ask(&self, arrival: &CallArrival, router: &str, key: &str) -> TryAnswer {
        let model = &self.target.plan.model;
        let answer = self.caller.ask(&ChatCall {
            router,
            key,
            service: &model.service,
            question: &arrival.text,
            max_tokens: arrival.tokens,
        });
        let prompt = prompt_of(&arrival.text);
        let length = arrival.tokens;
        let expected = expected_answer(&model.name, &model.version, &prompt, model.layers, length);
        let right = match answer.end {
            CallEnd::Whole => answer.tokens == expected,
            _ => expected.starts_with(&answer.tokens),
        };
        let request = answer.id.strip_prefix(ANSWER_ID_PREFIX).unwrap_or(&answer.id).into();
        let since_start = |time: Instant| time.saturating_duration_since(self.start);
        let times = answer.times.into_iter().map(since_start).collect();
        TryAnswer { end: answer.end, request, times, right }
    }
}

fn idempotency_key(kind: CallKind) -> Box<str> {
    match kind {
        CallKind::Run => uuid::Uuid::now_v7().to_string().into(),
        CallKind::Answer | CallKind::LookUp => Box::default(),
    }
}

fn call_result(end: &CallEnd, right: bool) -> CallResult {
    match end {
        _ if !right => CallResult::Wrong,
        CallEnd::Whole => CallResult::Whole,
        CallEnd::Refused(refusal) if &*refusal.outcome == "unknown" => CallResult::Unknown,
        CallEnd::Refused(_) => CallResult::Refused,
        CallEnd::NotReached | CallEnd::Cut => CallResult::Lost,
    }
}

/// Wait before the call goes to another router; none where its result stands.
fn retry_wait(end: &CallEnd) -> Option<Duration> {
    match end {
        CallEnd::NotReached | CallEnd::Cut => Some(Duration::ZERO),
        CallEnd::Refused(refusal) if is_code(refusal, ResultCode::ClaimInFlight) => {
            Some(IN_FLIGHT_WAIT)
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
