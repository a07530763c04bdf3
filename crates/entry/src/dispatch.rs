//! Receives a caller's request, checks it against the rules and dispatches it to a service.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response};
use jacinthrock::{CallRefusal, ResultCode};
use rand::Rng;
use tokio::time::{Instant, timeout};

use crate::call::{AllowedCall, OpenRequest, allow};
use crate::forward::{self, ForwardedCall};
use crate::reply::{ReplyError, collect_parts};
use crate::response::{ResponseBody, not_run_refusal, refuse};
use crate::state::EntryState;
use crate::{plain, stream};

/// Retry-After while this host has no rules: it reads them within a few ms of its start.
const NO_RULES_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Least Retry-After of a request for whose body no memory is left; unfinished ones are given up
/// after `BODY_TIMEOUT`.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Timeout for receiving a request's body; callers send it right after the head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves one request: checks it against the rules, receives its body and calls the service.
/// `on_received` is called with its deadline once the request has arrived as a whole.
pub(crate) async fn serve(
    state: Rc<EntryState>,
    request: Request<Incoming>,
    on_received: impl FnOnce(Instant),
) -> Response<ResponseBody> {
    let arrived = Instant::now();
    let forwarded = request.extensions().get::<ForwardedCall>().cloned();
    let open = OpenRequest::new(&state, forwarded.is_some());
    let (parts, body) = request.into_parts();
    let head = state.codec.read_call(&parts.headers);
    let Some(rules) = state.rules() else {
        let refusal =
            not_run_refusal(ResultCode::NotReady, "no rules are known yet", NO_RULES_RETRY_AFTER);
        return refuse(&state, &head.attempt, refusal);
    };
    let body_limit = rules.rules().limits.body_bytes;
    let decision = forwarded.as_ref().and_then(|forwarded| forwarded.decision.as_ref());
    let version = rules.rules().version;
    let other_decision = decision.filter(|decision| decision.rules != version);
    let allowed = allow(&rules, parts, head, arrived);
    if let Some(decision) = other_decision
        && !allowed.as_ref().is_ok_and(|call| decision.is_shared_by(call))
    {
        discard_body(body, body_limit).await;
        return forward::refuse_other_rules(&state, decision, version);
    }
    let mut call = match allowed {
        Ok(call) => call,
        Err((attempt, refusal)) => {
            discard_body(body, body_limit).await;
            return refuse(&state, &attempt, refusal);
        }
    };
    match receive_body(&state, body, body_limit).await {
        Ok(body) => call.body = body,
        Err(refusal) => {
            // The limits of the rules by which the call was decided may be higher.
            return match other_decision.filter(|_| refusal.code == ResultCode::BodyTooLarge) {
                Some(decision) => forward::refuse_other_rules(&state, decision, version),
                None => refuse(&state, &call.head.attempt, refusal),
            };
        }
    }
    call.received = Instant::now();
    on_received(call.deadline);
    if let Some(ForwardedCall { service, is_retry, .. }) = &forwarded {
        // Hosts of earlier releases do not say by which rules they have picked it.
        let targets = call.route.targets.iter().map(|(target, _)| target);
        if let Some(service) = targets.into_iter().find(|target| Some(*target) == service.as_ref())
        {
            call.service = service.clone();
        }
        call.is_counted.set(*is_retry);
    }
    if let Some(refusal) = limit_to_stop(&state, &mut call) {
        return refuse(&state, &call.head.attempt, refusal);
    }
    let service = call.service.clone();
    let refuse_forwarded = |attempt: &str, refusal| {
        let mut response = refuse(&state, attempt, refusal);
        if let Some(forwarded) = &forwarded {
            forward::mark_refusal(&state, &service, forwarded, &mut response);
        }
        response
    };
    if let Some(refusal) = forward::early_refusal(&state, &call) {
        return refuse_forwarded(&call.head.attempt, refusal);
    }
    if forward::next_host(&state, &call, &BTreeSet::new()).is_none() {
        call.count_first(&state);
    }
    let attempt = call.head.attempt.clone();
    let began = Instant::now();
    let outcome = if call.route.is_stream {
        stream::serve(&state, Rc::new(call), open).await
    } else {
        let outcome = plain::serve(&state, &call).await;
        if outcome.is_ok() {
            state.call_times.borrow_mut().record(&service, began.elapsed());
        }
        outcome
    };
    match outcome {
        Ok(response) => response,
        Err(refusal) => refuse_forwarded(&attempt, refusal),
    }
}

/// Receives the body of a request within the memory that all of them share.
async fn receive_body(
    state: &EntryState,
    body: Incoming,
    limit: usize,
) -> Result<Bytes, CallRefusal> {
    // Callers may send any number of parts.
    let received = collect_parts(body, limit, &state.request_budget, usize::MAX);
    match timeout(BODY_TIMEOUT, received).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error @ ReplyError::OverBudget { .. })) => {
            Err(not_run_refusal(ResultCode::HostMemory, error.to_string(), MEMORY_RETRY_AFTER))
        }
        Ok(Err(error)) => {
            let code = match error {
                ReplyError::TooLarge { .. } => ResultCode::BodyTooLarge,
                _ => ResultCode::MalformedRequest,
            };
            Err(CallRefusal::not_run(code, error.to_string()))
        }
        Err(_) => Err(CallRefusal::not_run(ResultCode::RequestTimeout, "body not received")),
    }
}

/// Reads the body of a request that is refused by its head, since closing a connection with unread
/// bytes resets it and the refusal may be lost.
async fn discard_body(body: Incoming, limit: usize) {
    let mut body = Limited::new(body, limit);
    let reading = async { while let Some(Ok(_)) = body.frame().await {} };
    if timeout(BODY_TIMEOUT, reading).await.is_err() {
        log::debug!(event = "body_unfinished"; "body of a refused request was not received");
    }
}

/// While the host stops: refuses a call that would not be whole before its end, and limits the time
/// of others to it.
fn limit_to_stop(state: &EntryState, call: &mut AllowedCall) -> Option<CallRefusal> {
    let plan = state.stop_plan.get()?;
    if let Some(detail) = call.stop_obstacle(state) {
        let delay = plan.return_delay(Instant::now(), rand::rng().random_range(0.0..1.0));
        return Some(CallRefusal::not_run(ResultCode::Draining, detail).with_retry_after(delay));
    }
    if !call.route.is_stream {
        call.deadline = call.deadline.min(plan.last_answer());
    }
    None
}
