//! Responses to callers: bodies, refusals and forwarded replies of endpoints.

use std::convert::Infallible;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER,
    TRANSFER_ENCODING,
};
use hyper::{HeaderMap, Response, StatusCode};
use jacinthrock::{CallOutcome, CallRefusal, MetricName, ResultCode};
use rand::Rng;

use crate::returns::MAX_JITTER_FACTOR;
use crate::state::EntryState;

/// A response that was aborted midway. The caller's connection is closed before the end of the
/// body, so that the caller does not take the response for complete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("response was aborted before its end")]
pub(crate) struct AbortedResponse;

/// Body of a response to a caller.
pub(crate) type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = AbortedResponse>>>;

/// Headers that are valid for a single connection and must not be forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    TRANSFER_ENCODING,
    hyper::header::TE,
    hyper::header::TRAILER,
    hyper::header::UPGRADE,
    hyper::header::PROXY_AUTHENTICATE,
    hyper::header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
];

/// Copies headers except the hop-by-hop ones, including those listed in `Connection`.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    for name in named.flat_map(|value| value.split(',')) {
        kept.remove(name.trim());
    }
    for name in HOP_BY_HOP_HEADERS {
        kept.remove(name);
    }
    kept
}

/// A body whose bytes are all known.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    let body = Full::new(bytes.into());
    Box::pin(body.map_err(|error: Infallible| match error {}))
}

/// Builds the response that forwards an endpoint's reply with its status and end-to-end headers.
pub(crate) fn endpoint_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let mut headers = end_to_end_headers(headers);
    // The HTTP server sets the length from the body's actual size.
    headers.remove(CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
}

/// Builds the response for a refused request; counts and logs the refusal.
pub(crate) fn refuse(
    state: &EntryState,
    attempt: &str,
    refusal: CallRefusal,
) -> Response<ResponseBody> {
    let code = refusal.code;
    state.metrics.count(MetricName::Refusals, &[code.name()]);
    log::info!(
        event = "refused", attempt, code = code.number(), reason = code.name(),
        outcome:? = refusal.outcome, detail = &*refusal.detail,
        retry_after_ms = refusal.retry_after.map_or(0, |wait| wait.as_millis() as u64);
        "request refused"
    );
    let mut response = Response::new(full_body(refusal.body()));
    let status = match refusal.outcome {
        // A 503 promises that the request has not run, which is not known here.
        CallOutcome::Unknown if code.row().http_status == 503 => StatusCode::BAD_GATEWAY,
        _ => StatusCode::from_u16(code.row().http_status)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
    };
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    let wait = refusal.retry_after.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    let text = wait.map(|wait| format!("{:.2}", wait.as_secs_f64()));
    if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(RETRY_AFTER, value);
    }
    response
}

/// Refusal of a request that has not run on any endpoint. Its Retry-After is random between
/// `min_wait` and twice `min_wait`, so that callers do not retry at the same time.
pub(crate) fn not_run_refusal(
    code: ResultCode,
    detail: impl Into<Box<str>>,
    min_wait: Duration,
) -> CallRefusal {
    let jitter = rand::rng().random_range(1.0..MAX_JITTER_FACTOR);
    CallRefusal::not_run(code, detail).with_retry_after(min_wait.mul_f64(jitter))
}

/// Refusal of a request that may have run.
pub(crate) fn unknown_refusal(code: ResultCode, detail: impl Into<Box<str>>) -> CallRefusal {
    CallRefusal { code, outcome: CallOutcome::Unknown, retry_after: None, detail: detail.into() }
}
