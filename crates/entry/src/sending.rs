//! Sends calls to endpoints, and probes endpoints that are suspected of failure.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::http::response;
use hyper::{Method, Request, StatusCode, Uri, Version};
use jacinthrock::{EndpointName, MetricName};
use tokio::time::Instant;

use crate::adapter::{EndpointReport, RateNotice, ReplyHead, SendHead};
use crate::call::AllowedCall;
use crate::endpoints::EndpointEntry;
use crate::forward;
use crate::path::PathStage;
use crate::pool::{PooledReply, SendError, SendOptions, build_request, host_header};
use crate::reply::{ReplyError, collect_body};
use crate::response::end_to_end_headers;
use crate::state::EntryState;

/// Timeout for a new connection to an endpoint; the network takes under 1 ms, the endpoint 1 ms.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout for the connection of a probe, and for its reply: endpoints report their state within a
/// few ms, even at full load.
const PROBE_TIMEOUT: Duration = Duration::from_millis(70);
/// Maximum size of an endpoint's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Share of an endpoint's KV cache or slots in use below which a refusal cannot be due to a lack of
/// them: a single stream takes only a small part.
const MIN_FULL_USAGE: f64 = 0.6;
/// Idle time after which a connection is not reused for requests that must run at most once: a
/// reset of a reused connection would leave the request's outcome unknown.
pub(crate) const AT_MOST_ONCE_MAX_IDLE: Duration = Duration::ZERO;
/// Idle time after which a connection is not reused for other requests; endpoints announce a longer
/// idle timeout in their replies.
const MAX_IDLE: Duration = Duration::from_secs(2);

/// Where and how a call is sent.
pub(crate) struct SendTarget<'a> {
    /// Endpoint that receives the call.
    pub(crate) endpoint: &'a EndpointEntry,
    /// Stages that a stream passes through; empty for plain calls.
    pub(crate) path: &'a [PathStage],
    /// Event after which a stream resumes.
    pub(crate) resume_after: Option<u64>,
    /// Urgency in the endpoint's queue; 0 is the highest.
    pub(crate) urgency: Option<u8>,
}

/// An endpoint's reply with its decoded head.
pub(crate) struct SentReply {
    /// The reply.
    pub(crate) reply: PooledReply,
    /// Fields decoded from its head.
    pub(crate) head: ReplyHead,
}

impl SentReply {
    /// Whether the endpoint guarantees that the request has not run. A refusal of another request,
    /// which may arrive late on a kept connection, guarantees nothing.
    pub(crate) fn is_not_run(&self) -> bool {
        let status = self.reply.parts.status;
        let is_refusal = self.head.is_not_run || status == StatusCode::MISDIRECTED_REQUEST;
        is_refusal && self.head.is_for_attempt
    }

    /// Whether the reply is from the endpoint itself, belongs to this request and is not encoded.
    pub(crate) fn is_genuine(&self) -> bool {
        self.head.is_for_attempt && self.head.is_signed && !self.head.is_encoded
    }
}

/// Sends a call to an endpoint and waits for the head of its reply.
pub(crate) async fn send(
    state: &EntryState,
    call: &AllowedCall,
    target: SendTarget<'_>,
) -> Result<SentReply, SendError> {
    let remaining = call.remaining();
    let head = SendHead {
        endpoint: &target.endpoint.name,
        deadline: remaining,
        customer: call.customer.as_deref(),
        path: target.path,
        resume_after: target.resume_after,
        urgency: target.urgency,
    };
    let caller_headers = end_to_end_headers(&call.parts.headers);
    let mut headers = state.codec.endpoint_headers(&caller_headers, &head);
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
        max_idle: if call.route.retry_policy.is_idempotent() {
            MAX_IDLE
        } else {
            AT_MOST_ONCE_MAX_IDLE
        },
        connect_timeout: CONNECT_TIMEOUT.min(remaining),
        head_timeout: remaining,
        ..SendOptions::within(remaining, MAX_IDLE)
    };
    let sent_at = Instant::now();
    take_permit(state, call, target.endpoint);
    let sent = state.pool.send(target.endpoint.address, request, options).await;
    if let Err(SendError::NotSent { .. }) = &sent {
        state.rates.borrow_mut().give_back(target.endpoint.start(), Instant::now());
    }
    count_over_limit(state, "answer", sent.as_ref().is_err_and(SendError::is_over_limit));
    let reply = sent.inspect_err(|error| note_error(state, target.endpoint, error))?;
    forward::record_reply(state, target.endpoint);
    let head = state.codec.read_reply(&call.head.attempt, &reply.parts.headers);
    let sent = SentReply { reply, head };
    // What belongs to another request, or comes from another endpoint at the address, says nothing.
    if !sent.head.is_for_attempt {
        state.metrics.count(MetricName::ForeignReplies, &[&call.service]);
        log::info!(
            event = "reply_foreign", attempt = &*call.head.attempt,
            endpoint = &*target.endpoint.name, status = sent.reply.parts.status.as_u16();
            "reply belongs to another request"
        );
    } else {
        note_reply(state, target.endpoint, sent.reply.parts.status, &sent.head);
    }
    if sent.head.is_for_attempt && sent.reply.parts.status != StatusCode::MISDIRECTED_REQUEST {
        note_rate(state, target.endpoint, &sent.head, sent_at);
    }
    Ok(sent)
}

/// Takes the permit of a request; paths and endpoints are chosen among those that have one left.
fn take_permit(state: &EntryState, call: &AllowedCall, entry: &EndpointEntry) {
    if !state.rates.borrow_mut().take(entry.start(), Instant::now()) {
        state.metrics.count(MetricName::RatePermits, &["lacking"]);
        log::info!(
            event = "permit_lacking", attempt = &*call.head.attempt, endpoint = &*entry.name;
            "request is sent without a permit of its endpoint's rate limit"
        );
    }
}

/// Records what an endpoint's reply to a request of `sent_at` says of its rate limit.
fn note_rate(state: &EntryState, entry: &EndpointEntry, head: &ReplyHead, sent_at: Instant) {
    let (now, mut rates) = (Instant::now(), state.rates.borrow_mut());
    let change = match head.rate {
        RateNotice::Limit(per_s) => rates.observe_limit(entry.start(), per_s, now),
        RateNotice::Unlimited => rates.observe_no_limit(entry.start(), sent_at, now),
        RateNotice::Unreadable => None,
    };
    drop(rates);
    state.note_rate(&entry.name, "reply", change);
}

/// Records what an endpoint's reply says of the endpoint itself.
pub(crate) fn note_reply(
    state: &EntryState,
    entry: &EndpointEntry,
    status: StatusCode,
    head: &ReplyHead,
) {
    let now = Instant::now();
    if status != StatusCode::MISDIRECTED_REQUEST {
        state.down_table.borrow_mut().record_reply(entry, now);
    }
    state.end_claims.borrow_mut().record_reply(entry);
    if head.is_leaving && state.notices.borrow_mut().mark_leaving(entry.start(), now) {
        log::info!(
            event = "endpoint_leaving", endpoint = &*entry.name, born = entry.start_unix_ms,
            status = status.as_u16(); "endpoint says that it leaves"
        );
        state.metrics.count(MetricName::Ejections, &["leaving"]);
        exclude_endpoint(state, &entry.name, "says that it leaves");
    }
    let Some(time) = head.retry_after.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE) else {
        return;
    };
    if state.notices.borrow_mut().pause(entry.start(), time, now) {
        log::info!(
            event = "endpoint_paused", endpoint = &*entry.name, ms = time.as_millis() as u64;
            "endpoint wants no requests for a time"
        );
        state.metrics.count(MetricName::Ejections, &["paused"]);
    }
}

/// Records what a failed send says of the endpoint.
fn note_error(state: &EntryState, entry: &EndpointEntry, error: &SendError) {
    note_link(state, entry, error);
    if !matches!(error, SendError::NotSent { is_refused: true, .. }) {
        return;
    }
    let now = Instant::now();
    if state.health.borrow_mut().record_refused(&entry.name, now) {
        endpoint_ended(state, entry, "nothing listens at its address");
    }
    if state.end_claims.borrow_mut().record_refused(entry, now) {
        state.record_crash(entry);
    }
}

/// Records what a failed send says of the connections to the endpoint's service.
fn note_link(state: &EntryState, entry: &EndpointEntry, error: &SendError) {
    if matches!(error, SendError::NotSent { .. }) || error.is_broken() {
        forward::record_failure(state, entry);
    }
}

/// Lets streams that wait go on without an endpoint that has ended.
fn endpoint_ended(state: &EntryState, entry: &EndpointEntry, reason: &str) {
    let rerouted = state.inflight.borrow().request_reroute_through(&entry.name);
    log::info!(
        event = "endpoint_ended", endpoint = &*entry.name, streams = rerouted, reason;
        "endpoint has ended"
    );
    state.path_changed.notify_waiters();
}

/// Fetches a small reply; counts it under `what` if it is over its limit.
pub(crate) async fn fetch(
    state: &EntryState,
    what: &'static str,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    options: SendOptions,
) -> Result<(response::Parts, Bytes), SendError> {
    let fetched = state.pool.fetch(address, request, options).await;
    count_over_limit(state, what, fetched.as_ref().is_err_and(SendError::is_over_limit));
    fetched
}

/// Reads the body of an endpoint's answer; counts it if it is over its limit.
pub(crate) async fn read_answer(
    state: &EntryState,
    reply: PooledReply,
) -> Result<(response::Parts, Bytes), ReplyError> {
    let body = reply.lease.meter(reply.body);
    let body = collect_body(body, MAX_ANSWER_BYTES, state.pool.budget()).await;
    count_over_limit(state, "answer", body.as_ref().is_err_and(ReplyError::is_over_limit));
    let body = body?;
    reply.lease.return_to_pool();
    Ok((reply.parts, body))
}

/// Counts a reply that was given up because it was over a limit.
pub(crate) fn count_over_limit(state: &EntryState, what: &'static str, is_over_limit: bool) {
    if is_over_limit {
        state.metrics.count(MetricName::OversizedReplies, &[what]);
    }
}

/// Fetches the state that an endpoint reports; `None` if the reply is not a valid report.
pub(crate) async fn fetch_report(
    state: &EntryState,
    entry: &EndpointEntry,
    limit: Duration,
) -> Result<Option<EndpointReport>, SendError> {
    let sent_at = Instant::now();
    let fetched = request_report(state, entry, limit).await;
    let (parts, body) = fetched.inspect_err(|error| note_error(state, entry, error))?;
    forward::record_reply(state, entry);
    let report = parts.status.is_success().then(|| state.codec.read_report(&body)).flatten();
    if report.as_ref().is_some_and(|report| report.start_unix_ms == entry.start_unix_ms) {
        let head = state.codec.read_reply("", &parts.headers);
        note_reply(state, entry, parts.status, &head);
        note_rate(state, entry, &head, sent_at);
    }
    if report.is_none() {
        let status = parts.status.as_u16();
        log::info!(
            event = "report_refused", endpoint = &*entry.name, status;
            "endpoint returned no valid state report"
        );
    }
    Ok(report)
}

async fn request_report(
    state: &EntryState,
    entry: &EndpointEntry,
    limit: Duration,
) -> Result<(response::Parts, Bytes), SendError> {
    let uri = Uri::from_static(state.codec.report_path());
    let request = build_request(Method::GET, uri, host_header(entry.address), Bytes::new());
    let options = SendOptions::within(limit, Duration::ZERO);
    fetch(state, "report", entry.address, request, options).await
}

/// Finds out whether an endpoint replies to this host. Without a reply, the connections to its
/// service are at fault as well as the endpoint, of which nothing is assumed.
pub(crate) async fn probe_links(state: &EntryState, entry: &EndpointEntry) -> bool {
    match request_report(state, entry, PROBE_TIMEOUT).await {
        Ok(_) => {
            forward::record_reply(state, entry);
            true
        }
        Err(error) => {
            note_link(state, entry, &error);
            log::debug!(event = "probe_failed", endpoint = &*entry.name, error:% = error; "no reply");
            false
        }
    }
}

/// Probes an endpoint by fetching its state, unless it is no longer listed; without a reply it is
/// marked as down.
pub(crate) async fn probe(state: Rc<EntryState>, name: EndpointName) {
    if let Some(entry) = state.endpoint(&name) {
        probe_entry(state, entry).await;
    }
}

/// Probes an endpoint that may no longer be listed.
pub(crate) async fn probe_entry(state: Rc<EntryState>, entry: EndpointEntry) {
    let name = entry.name.clone();
    match fetch_report(&state, &entry, PROBE_TIMEOUT).await {
        Ok(Some(report)) if report.start_unix_ms != entry.start_unix_ms => {
            let error = "another start replies at its address";
            state.endpoints.borrow_mut().confirm_claim(&name);
            if state.health.borrow_mut().record_replaced(&name, Instant::now()) {
                state.record_crash(&entry);
                endpoint_ended(&state, &entry, error);
            }
            mark_down(&state, &entry, error);
        }
        Ok(report) => {
            if report.is_some() {
                refute_claim(&state, &entry);
            }
            state.clear_suspicion(&name);
            if state.health.borrow_mut().mark_up(&name) {
                log::info!(event = "endpoint_up", endpoint = &*name; "endpoint responds again");
                state.path_changed.notify_waiters();
            }
            for address in report.map(|report| report.stalled).unwrap_or_default() {
                let other = state.inflight.borrow().stage_behind(&name, address);
                if let Some(other) = other {
                    suspect(&state, &other, "reported as stalled by the first stage");
                }
            }
        }
        Err(error) => mark_down(&state, &entry, &error.to_string()),
    }
}

/// Uses an endpoint again although another entry claims its address, since it replies.
fn refute_claim(state: &EntryState, entry: &EndpointEntry) {
    let Some(claimant) = state.endpoints.borrow_mut().refute_claim(entry) else { return };
    log::warn!(
        event = "claim_refuted", endpoint = &*entry.name, claimant = &*claimant;
        "endpoint replies at an address that another entry claims"
    );
    state.path_changed.notify_waiters();
}

/// Marks an endpoint as down, and has streams look for detours around it.
fn mark_down(state: &EntryState, entry: &EndpointEntry, error: &str) {
    let name = &entry.name;
    if !state.health.borrow_mut().mark_down(name) {
        return;
    }
    state.down_table.borrow_mut().record_down(entry, Instant::now());
    let rerouted = state.inflight.borrow().request_reroute_through(name);
    log::warn!(
        event = "endpoint_down", endpoint = &**name, streams = rerouted, error;
        "endpoint does not respond to a probe"
    );
    state.path_changed.notify_waiters();
}

/// Checks why an endpoint refuses streams; excludes it if its KV cache has room and it is not busy.
pub(crate) async fn check_refusal(state: Rc<EntryState>, name: EndpointName) {
    let Some(entry) = state.endpoint(&name) else { return };
    // The report is about 200 ms old; this host's own estimate includes later streams.
    let known = state.known_usage(&entry).unwrap_or(1.0);
    if known >= MIN_FULL_USAGE {
        return;
    }
    match fetch_report(&state, &entry, PROBE_TIMEOUT).await {
        Ok(Some(report)) => {
            log::info!(
                event = "refusal_checked", endpoint = &*name, fill = report.kv_usage,
                busy = report.is_busy, layers:? = report.layers; "endpoint refuses streams"
            );
            if report.kv_usage < MIN_FULL_USAGE && !report.is_busy {
                exclude_endpoint(&state, &name, "refuses streams although memory is free");
            }
        }
        Ok(_) => {}
        Err(_) => suspect(&state, &name, "refused streams and does not report its state"),
    }
}

/// Excludes an endpoint that accepts no work although it is listed in the registry.
pub(crate) fn exclude_endpoint(state: &EntryState, name: &EndpointName, reason: &str) {
    if state.mark_excluded(name) {
        log::info!(
            event = "endpoint_closed", endpoint = &**name, reason;
            "endpoint excluded: it accepts no work"
        );
    }
}

/// Marks an endpoint as suspect and probes it, unless it is down, already suspect or has just
/// responded to a probe.
pub(crate) fn suspect(state: &Rc<EntryState>, name: &EndpointName, reason: &str) {
    if state.health.borrow().is_down(name) || !state.mark_suspected(name) {
        return;
    }
    log::info!(
        event = "endpoint_doubted", endpoint = &**name, reason;
        "endpoint is suspected of failure; probing it"
    );
    tokio::task::spawn_local(probe(state.clone(), name.clone()));
}
