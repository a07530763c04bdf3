//! Plain calls: one request, one whole answer.

use std::collections::BTreeSet;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use jacinthrock::{CallRefusal, EndpointName, ResultCode};
use rand::seq::IndexedRandom;
use tokio::time::{Instant, timeout_at};

use crate::answer::{ResponseBody, endpoint_response, not_run, full_body};
use crate::belief::CallEnd;
use crate::call::{AllowedCall, count_outcome, unknown_outcome};
use crate::endpoints::EndpointEntry;
use crate::pool::SendError;
use crate::sending::{SendTarget, SentReply, send};
use crate::state::EntryState;

/// Time after which a caller may come back when no endpoint takes its call: calls take some 60 ms,
/// so that places free themselves soon.
const BUSY_RETRY: Duration = Duration::from_millis(250);
/// Connections that may fail to be made before a call is refused.
const MAX_UNSENT: u32 = 3;

/// How one send ended.
enum SendEnd {
    /// The answer is for the caller.
    Answer(Response<ResponseBody>),
    /// The endpoint failed the request itself; another may do better.
    Failed(Response<ResponseBody>),
    /// It has not run.
    NotRun(Box<str>, Option<Duration>),
    /// It was not sent.
    NotSent(Box<str>),
    /// It may have run.
    Unknown(Box<str>),
}

/// Serves a plain call.
pub(crate) async fn serve(
    state: &EntryState,
    call: &AllowedCall,
) -> Result<Response<ResponseBody>, CallRefusal> {
    let mut tried = BTreeSet::new();
    let mut unsent = 0;
    let mut has_run = false;
    let mut last: Option<Response<ResponseBody>> = None;
    let mut last_fault: Box<str> = "no endpoint is registered".into();
    let mut come_back = BUSY_RETRY;
    while tried.len() < call.route.max_attempts.max(1) as usize && unsent < MAX_UNSENT {
        if !tried.is_empty() && !state.allow_retry(&call.service, "plain", 0.0) {
            break;
        }
        let Some(entry) = pick(state, &call.service, &tried) else { break };
        let end = attempt(state, call, &entry).await;
        let is_sent = !matches!(end, SendEnd::NotSent(_));
        match end {
            SendEnd::Answer(answer) => {
                count_outcome(state, &call.service, "answered");
                return Ok(answer);
            }
            SendEnd::Failed(answer) => {
                has_run = true;
                last = Some(answer);
            }
            SendEnd::NotRun(fault, wait) => {
                last_fault = fault;
                come_back = wait.unwrap_or(BUSY_RETRY);
            }
            SendEnd::NotSent(fault) => {
                last_fault = fault;
                unsent += 1;
            }
            SendEnd::Unknown(fault) => {
                has_run = true;
                last_fault = fault;
            }
        }
        if is_sent {
            tried.insert(entry.name.clone());
        } else {
            state.beliefs.borrow_mut().mark_down(&entry.name);
        }
        if has_run && !call.route.retry_policy.is_idempotent() {
            break;
        }
        if call.left().is_zero() {
            break;
        }
    }
    if let Some(answer) = last {
        count_outcome(state, &call.service, "endpoint_failed");
        return Ok(answer);
    }
    if !has_run {
        count_outcome(state, &call.service, "not_run");
        return Err(not_run(ResultCode::NoEndpoint, last_fault, come_back));
    }
    Err(unknown_outcome(state, call, last_fault))
}

async fn attempt(state: &EntryState, call: &AllowedCall, entry: &EndpointEntry) -> SendEnd {
    let started = Instant::now();
    state.beliefs.borrow_mut().begin_call(&entry.name);
    let _place = CallPlace { state, name: &entry.name };
    let plain = SendTarget { endpoint: entry, path: &[], resume_after: None, urgency: None };
    let sent = timeout_at(call.deadline, send(state, call, plain)).await;
    let (end, belief) = match sent {
        Ok(Ok(sent)) => judge(call, sent).await,
        Ok(Err(SendError::NotSent { .. })) => {
            (SendEnd::NotSent("no connection to the endpoint".into()), CallEnd::Broken)
        }
        Ok(Err(fault @ SendError::NoReply { .. })) => {
            (SendEnd::Unknown(fault.to_string().into()), CallEnd::Broken)
        }
        Err(_) => (SendEnd::Unknown("the request's time is over".into()), CallEnd::Broken),
    };
    let now = Instant::now();
    state.beliefs.borrow_mut().record_outcome(&entry.name, belief, now - started, now);
    if let SendEnd::NotRun(fault, _) | SendEnd::NotSent(fault) | SendEnd::Unknown(fault) = &end {
        log::info!(
            event = "attempt_failed", attempt = &*call.head.attempt, endpoint = &*entry.name,
            service = &*call.service, fault = &**fault,
            open = state.beliefs.borrow().open_calls(&entry.name),
            age_ms = call.arrived.elapsed().as_millis() as u64; "attempt at an endpoint failed"
        );
    }
    end
}

async fn judge(call: &AllowedCall, sent: SentReply) -> (SendEnd, CallEnd) {
    let status = sent.reply.parts.status;
    if sent.is_not_run() {
        let fault = format!("endpoint refused with {status}");
        sent.reply.lease.return_to_pool();
        return (SendEnd::NotRun(fault.into(), sent.head.retry_after), CallEnd::Refused);
    }
    if !sent.is_genuine() {
        return (SendEnd::Unknown("answer is not the endpoint's".into()), CallEnd::Broken);
    }
    let body = timeout_at(call.deadline, sent.reply.body.collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            return (
                SendEnd::Unknown(format!("answer broke off: {error}").into()),
                CallEnd::Broken,
            );
        }
        Err(_) => {
            return (SendEnd::Unknown("the request's time is over".into()), CallEnd::Broken);
        }
    };
    sent.reply.lease.return_to_pool();
    // These statuses promise that the request has not run, which the endpoint does not say here.
    let is_promise = matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
    );
    if is_promise {
        let fault = format!("endpoint answered {status} and may have run the request");
        return (SendEnd::Unknown(fault.into()), CallEnd::Failed);
    }
    let answer = endpoint_response(status, &sent.reply.parts.headers, full_body(body));
    if status.is_server_error() {
        return (SendEnd::Failed(answer), CallEnd::Failed);
    }
    (SendEnd::Answer(answer), CallEnd::Answered)
}

/// The cheapest endpoint that was not tried, chosen among those that answer.
fn pick(
    state: &EntryState,
    service: &str,
    tried: &BTreeSet<EndpointName>,
) -> Option<EndpointEntry> {
    let now = Instant::now();
    let (endpoints, beliefs) = (state.endpoints.borrow(), state.beliefs.borrow());
    let open = endpoints.entries().filter(|entry| {
        &*entry.service == service && !entry.is_draining && !tried.contains(&entry.name)
    });
    let (mut sound, mut doubtful) = (Vec::new(), Vec::new());
    for entry in open {
        let is_sound = !beliefs.is_down(&entry.name) && !beliefs.is_ejected(&entry.name, now);
        if is_sound { sound.push(entry) } else { doubtful.push(entry) }
    }
    if sound.is_empty() {
        // All are doubted: one of them at random shows whether it answers again.
        return doubtful.choose(&mut rand::rng()).map(|entry| (*entry).clone());
    }
    let cost = |entry: &&EndpointEntry| {
        let home = if entry.domain == state.options.domain { 1.0 } else { 1.05 };
        beliefs.call_cost(&entry.name) * home
    };
    sound.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b))).cloned()
}

/// Counts a call as open at an endpoint until it is dropped.
struct CallPlace<'a> {
    state: &'a EntryState,
    name: &'a EndpointName,
}

impl Drop for CallPlace<'_> {
    fn drop(&mut self) {
        self.state.beliefs.borrow_mut().end_call(self.name);
    }
}
