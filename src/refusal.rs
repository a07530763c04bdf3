//! Refusals as callers see them: `application/problem+json` with a numbered result code.

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

/// Body of an answer to a caller.
pub(crate) type ResponseBody = BoxBody<Bytes, Infallible>;

/// Why a request got no answer.
///
/// ```
/// use jacinthrock::{CallRefusal, ResultCode};
///
/// let refusal = CallRefusal::not_run(ResultCode::NoChain, "service guide");
/// assert!(String::from_utf8(refusal.body()).unwrap().contains("\"code\":3001"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// Numbered reason.
    pub code: ResultCode,
    /// Whether the request may have run.
    pub outcome: CallOutcome,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// What failed on which thing.
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

/// The error object that common client libraries show to people.
#[derive(Serialize)]
struct ProblemError<'a> {
    message: Box<str>,
    r#type: &'a str,
    param: Option<&'a str>,
    code: Box<str>,
}

impl CallRefusal {
    /// A refusal of a request that no endpoint has seen.
    pub fn not_run(code: ResultCode, detail: impl Into<Box<str>>) -> Self {
        Self { code, outcome: CallOutcome::NotRun, retry_after: None, detail: detail.into() }
    }

    /// The same refusal with the time to come back.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// The refusal as JSON.
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
        serde_json::to_vec(&problem).expect("a problem has only plain fields")
    }

    /// The refusal as an HTTP response.
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

/// A body that is sent at once.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).boxed()
}

/// `Retry-After` counts whole seconds; rounding down would bring the caller back too early.
fn whole_seconds(delay: Duration) -> u64 {
    delay.as_millis().div_ceil(1000).max(1) as u64
}
