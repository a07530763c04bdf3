//! Refusals sent to callers, as `application/problem+json` with a numbered result code.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::convert::Infallible;
use std::time::Duration;

use crate::codes::ResultCode;
use crate::outcome::CallOutcome;

/// Body of a response to a caller.
pub(crate) type ResponseBody = BoxBody<Bytes, Infallible>;

/// Refusal of a request, sent instead of an answer.
///
/// ```
/// use jacinthrock::{CallRefusal, ResultCode};
///
/// let refusal = CallRefusal::not_run(ResultCode::NoChain, "service guide");
/// assert!(String::from_utf8(refusal.body()).unwrap().contains("\"code\":3001"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// Result code.
    pub code: ResultCode,
    /// What is known about whether the request ran.
    pub outcome: CallOutcome,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Details for people, such as the name or value that caused the refusal.
    pub detail: Box<str>,
}

#[derive(Serialize)]
struct ProblemBody<'a> {
    r#type: Box<str>,
    title: &'a str,
    status: u16,
    detail: &'a str,
    code: u16,
    outcome: CallOutcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    error: ProblemError<'a>,
}

/// Error object of the OpenAI format, which common client libraries display.
#[derive(Serialize)]
struct ProblemError<'a> {
    message: Box<str>,
    r#type: &'a str,
    param: Option<&'a str>,
    code: Box<str>,
}

impl CallRefusal {
    /// Creates a refusal of a request that did not run at any endpoint.
    pub fn not_run(code: ResultCode, detail: impl Into<Box<str>>) -> Self {
        Self { code, outcome: CallOutcome::NotRun, retry_after: None, detail: detail.into() }
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Problem document as JSON.
    pub fn body(&self) -> Vec<u8> {
        let row = self.code.row();
        let problem = ProblemBody {
            r#type: format!("urn:jacinthrock:result:{}", row.number).into(),
            title: row.title,
            status: row.http_status,
            detail: &self.detail,
            code: row.number,
            outcome: self.outcome,
            retry_after_ms: self.retry_after.map(|delay| delay.as_millis() as u64),
            error: ProblemError {
                message: format!("{} {} [{}]", row.title, self.detail, row.number).into(),
                r#type: row.name,
                param: None,
                code: row.number.to_string().into(),
            },
        };
        serde_json::to_vec(&problem).expect("a problem document always serializes")
    }

    /// HTTP response with the problem document.
    pub(crate) fn response(&self) -> Response<ResponseBody> {
        let mut response = Response::new(full_body(self.body()));
        *response.status_mut() = StatusCode::from_u16(self.code.row().http_status)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(delay) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(delay)));
        }
        response
    }
}

/// Creates a body that is complete from the start.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).boxed()
}

/// Value of `Retry-After`, in whole seconds. Rounded up, as otherwise the caller retries too early.
fn whole_seconds(delay: Duration) -> u64 {
    delay.as_millis().div_ceil(1000).max(1) as u64
}
