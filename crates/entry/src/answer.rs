//! Answers to callers: bodies, refusals, endpoints' heads.

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

use crate::state::EntryState;

/// An answer that broke off; the caller's connection is closed without the end of the body.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("answer broke off")]
pub(crate) struct AbortedResponse;

/// Body of an answer to a caller.
pub(crate) type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = AbortedResponse>>>;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    TRANSFER_ENCODING,
    hyper::header::TE,
    hyper::header::TRAILER,
    hyper::header::UPGRADE,
    hyper::header::PROXY_AUTHENTICATE,
    hyper::header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
];

/// Copies headers but for those that concern one connection.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    for name in named.flat_map(|value| value.split(',')) {
        kept.remove(name.trim());
    }
    for name in CONNECTION_HEADERS {
        kept.remove(name);
    }
    kept
}

/// A body that is sent at once.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    let body = Full::new(bytes.into());
    Box::pin(body.map_err(|error: Infallible| match error {}))
}

/// An endpoint's answer passed on unchanged.
pub(crate) fn endpoint_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let mut headers = end_to_end_headers(headers);
    // The body's own size rules; the server writes the length again.
    headers.remove(CONTENT_LENGTH);
    *answer.headers_mut() = headers;
    answer
}

/// Refuses a request, counts and logs the refusal.
pub(crate) fn refuse(
    state: &EntryState,
    attempt: &str,
    refusal: CallRefusal,
) -> Response<ResponseBody> {
    let code = refusal.code;
    state.counters.count(MetricName::Refusals, &[code.name()]);
    log::info!(
        event = "refused", attempt, code = code.number(), reason = code.name(),
        outcome:? = refusal.outcome, detail = &*refusal.detail,
        retry_after_ms = refusal.retry_after.map_or(0, |wait| wait.as_millis() as u64);
        "request refused"
    );
    let mut answer = Response::new(full_body(refusal.body()));
    let status = match refusal.outcome {
        // The status of a refusal promises that the request has not run.
        CallOutcome::Unknown if code.row().http_status == 503 => StatusCode::BAD_GATEWAY,
        _ => StatusCode::from_u16(code.row().http_status)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
    };
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    let wait = refusal.retry_after.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    let text = wait.map(|wait| format!("{:.2}", wait.as_secs_f64()));
    if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(RETRY_AFTER, value);
    }
    answer
}

/// A refusal of a request that has run on no endpoint, with a time to come back that is spread
/// over `from` to twice `from`, so that callers do not return together.
pub(crate) fn not_run(
    code: ResultCode,
    detail: impl Into<Box<str>>,
    from: Duration,
) -> CallRefusal {
    let spread = rand::rng().random_range(1.0..2.0);
    CallRefusal::not_run(code, detail).retry_after(from.mul_f64(spread))
}

/// A failure of a request that may have run.
pub(crate) fn unknown(code: ResultCode, detail: impl Into<Box<str>>) -> CallRefusal {
    CallRefusal { code, outcome: CallOutcome::Unknown, retry_after: None, detail: detail.into() }
}
