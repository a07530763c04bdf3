//! A request on its way to an endpoint: its head, its connection, what its answer means.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri, Version};
use jacinthrock::EndpointName;

use crate::answer::end_to_end_headers;
use crate::call::AllowedCall;
use crate::dialect::{EndpointReport, ReplyHead, SendHead};
use crate::endpoints::EndpointEntry;
use crate::path::PathStage;
use crate::pool::{PooledReply, SendError, SendOptions, host_header, build_request};
use crate::state::EntryState;

/// Time for a new connection to an endpoint; links take under 1 ms and the endpoint 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for the connection of a probe, and for its answer: endpoints answer reports within some ms,
/// also when they are full.
const PROBE_TIMEOUT: Duration = Duration::from_millis(70);
/// Share of an endpoint's memory below which a refusal is not for want of memory: a stream takes a
/// small part of it.
const FULL_SHARE: f64 = 0.6;
/// Idle time after which a connection is not used for a request that runs at most once: a reset on
/// a kept connection would leave its outcome unknown.
const ONCE_MAX_IDLE: Duration = Duration::ZERO;
/// Idle time after which a connection is not used for other requests; endpoints close theirs
/// later, as their answers say.
const MAX_IDLE: Duration = Duration::from_secs(2);

/// One send of a call.
pub(crate) struct SendTarget<'a> {
    /// Endpoint.
    pub(crate) endpoint: &'a EndpointEntry,
    /// Stages of a stream; empty for plain calls.
    pub(crate) path: &'a [PathStage],
    /// Event after which a stream goes on.
    pub(crate) resume_after: Option<u64>,
    /// Urgency at the endpoint.
    pub(crate) urgency: Option<u8>,
}

/// An endpoint's answer with what its head says.
pub(crate) struct SentReply {
    /// The answer.
    pub(crate) reply: PooledReply,
    /// What its head says.
    pub(crate) head: ReplyHead,
}

impl SentReply {
    /// Whether the endpoint promises that the request has not run.
    pub(crate) fn is_not_run(&self) -> bool {
        let status = self.reply.parts.status;
        self.head.is_not_run || status == StatusCode::MISDIRECTED_REQUEST
    }

    /// Whether the answer is the endpoint's own, for this request, and readable.
    pub(crate) fn is_genuine(&self) -> bool {
        self.head.is_for_attempt && self.head.is_signed && !self.head.is_encoded
    }
}

/// Sends a call to an endpoint and waits for the head of its answer.
pub(crate) async fn send(
    state: &EntryState,
    call: &AllowedCall,
    send: SendTarget<'_>,
) -> Result<SentReply, SendError> {
    let left = call.left();
    let head = SendHead {
        endpoint: &send.endpoint.name,
        deadline: left,
        customer: call.customer.as_deref(),
        path: send.path,
        resume_after: send.resume_after,
        urgency: send.urgency,
    };
    let kept = end_to_end_headers(&call.parts.headers);
    let mut headers = state.dialect.endpoint_headers(&kept, &head);
    headers.remove(CONTENT_LENGTH);
    if !call.body.is_empty() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(call.body.len()));
    }
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    let options = SendOptions {
        max_idle: if call.route.retry_policy.is_idempotent() { MAX_IDLE } else { ONCE_MAX_IDLE },
        connect_timeout: CONNECT_TIMEOUT.min(left),
        head_timeout: left,
    };
    let reply = state.pool.send(send.endpoint.address, request, options).await?;
    let head = state.dialect.read_reply(&call.head.attempt, &reply.parts.headers);
    Ok(SentReply { reply, head })
}

/// Reads the state that an endpoint reports; none where it answers something else.
pub(crate) async fn fetch_report(
    state: &EntryState,
    entry: &EndpointEntry,
    limit: Duration,
) -> Result<Option<EndpointReport>, SendError> {
    let uri = Uri::from_static(state.dialect.report_path());
    let request = build_request(Method::GET, uri, host_header(entry.address), Bytes::new());
    let options = SendOptions::within(limit, Duration::ZERO);
    let (parts, body) = state.pool.fetch(entry.address, request, options).await?;
    let report = parts.status.is_success().then(|| state.dialect.read_report(&body)).flatten();
    if report.is_none() {
        let status = parts.status.as_u16();
        log::info!(event = "report_refused", endpoint = &*entry.name, status; "no state reported");
    }
    Ok(report)
}

/// Asks an endpoint for its state; an endpoint that does not answer is taken as down.
pub(crate) async fn probe(state: Rc<EntryState>, name: EndpointName) {
    let Some(entry) = state.endpoint(&name) else { return };
    match fetch_report(&state, &entry, PROBE_TIMEOUT).await {
        Ok(report) => {
            state.clear_suspicion(&name);
            if state.beliefs.borrow_mut().mark_up(&name) {
                log::info!(event = "endpoint_up", endpoint = &*name; "endpoint answers again");
                state.path_changed.notify_waiters();
            }
            for address in report.map(|report| report.stalled).unwrap_or_default() {
                if let Some(other) = state.endpoint_at(address) {
                    suspect(&state, &other, "reported by the first stage");
                }
            }
        }
        Err(error) => {
            if state.beliefs.borrow_mut().mark_down(&name) {
                let moved = state.inflight.borrow().request_reroute_through(&name);
                log::warn!(
                    event = "endpoint_down", endpoint = &*name, streams = moved, error:% = error;
                    "endpoint does not answer"
                );
                state.path_changed.notify_waiters();
            }
        }
    }
}

/// Finds out whether an endpoint refuses streams because its memory is full, or takes none at all.
pub(crate) async fn check_refusal(state: Rc<EntryState>, name: EndpointName) {
    let Some(entry) = state.endpoint(&name) else { return };
    match fetch_report(&state, &entry, PROBE_TIMEOUT).await {
        Ok(Some(report)) => {
            log::info!(
                event = "refusal_checked", endpoint = &*name, fill = report.fill,
                busy = report.is_busy, layers:? = report.layers; "endpoint refuses streams"
            );
            // The report is some 200 ms old; the streams sent meanwhile are known here.
            let known = state.known_kv_usage(&entry).unwrap_or(1.0);
            if report.fill.max(known) < FULL_SHARE && !report.is_busy {
                close(&state, &name, "refuses streams with memory free");
            }
        }
        Ok(_) => {}
        Err(_) => suspect(&state, &name, "refused streams and reports nothing"),
    }
}

/// Sets an endpoint aside that takes no work although the registry lists it.
pub(crate) fn close(state: &EntryState, name: &EndpointName, reason: &str) {
    if state.mark_excluded(name) {
        log::info!(event = "endpoint_closed", endpoint = &**name, reason; "endpoint set aside");
    }
}

/// Doubts an endpoint and asks it for its state.
pub(crate) fn suspect(state: &Rc<EntryState>, name: &EndpointName, reason: &str) {
    if state.beliefs.borrow().is_down(name) || !state.mark_suspected(name) {
        return;
    }
    log::info!(event = "endpoint_doubted", endpoint = &**name, reason; "endpoint is doubted");
    tokio::task::spawn_local(probe(state.clone(), name.clone()));
}
