//! Reads a caller's request: customer, service, deadline and body.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HeaderMap};
use std::time::Duration;
use tokio::time::Instant;

use crate::codes::ResultCode;
use crate::config::CallerLimits;
use crate::declaration::{OperationDeclaration, PlainDeclaration};
use crate::effective::{EffectiveConfig, EffectiveCustomer, EffectiveService, ServiceTarget};
use crate::keys::KeyIndex;
use crate::refusal::CallRefusal;

/// Header with the time that the caller waits for the complete answer, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Finds the customer whose bearer key the request carries.
pub(crate) fn find_customer<'a>(
    config: &'a EffectiveConfig,
    keys: &KeyIndex,
    headers: &HeaderMap,
) -> Result<&'a EffectiveCustomer, CallRefusal> {
    bearer_key(headers)
        .and_then(|key| keys.customer(key))
        .and_then(|name| config.customers.get(name))
        .ok_or_else(|| CallRefusal::not_run(ResultCode::UnknownKey, ""))
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Finds a model service by name and checks that the customer may call it.
pub(crate) fn find_model_service<'a>(
    config: &'a EffectiveConfig,
    customer: &EffectiveCustomer,
    name: &str,
) -> Result<&'a EffectiveService, CallRefusal> {
    let service = config
        .services
        .get(name)
        .filter(|service| matches!(service.target, ServiceTarget::Model(_)))
        .ok_or_else(|| {
            CallRefusal::not_run(ResultCode::UnknownModel, format!("Model {name:?}."))
        })?;
    check_access(customer, service)?;
    Ok(service)
}

/// A plain service that a path belongs to, and the path without the service's prefix.
#[derive(Clone, Debug)]
pub(crate) struct PlainTarget<'a> {
    pub(crate) service: &'a EffectiveService,
    pub(crate) plain: &'a PlainDeclaration,
    pub(crate) relative_path: Box<str>,
}

/// Finds the plain service whose prefix is the longest that matches a path.
pub(crate) fn find_plain_target<'a>(
    config: &'a EffectiveConfig,
    path: &str,
) -> Option<PlainTarget<'a>> {
    let candidates = config.services.values().filter_map(|service| match &service.target {
        ServiceTarget::Plain(plain) => {
            let relative_path = path_below_prefix(path, &plain.prefix)?;
            Some(PlainTarget { service, plain, relative_path })
        }
        ServiceTarget::Model(_) => None,
    });
    candidates.max_by_key(|target| target.plain.prefix.len())
}

/// Path without the prefix; `None` if it is not below the prefix.
pub(crate) fn path_below_prefix(path: &str, prefix: &str) -> Option<Box<str>> {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'))?;
    match rest.chars().next() {
        None => Some("/".into()),
        Some('/') => Some(rest.into()),
        Some(_) => None,
    }
}

/// Whether a call is idempotent; a call that matches no declared operation is not.
pub(crate) fn is_idempotent(plain: &PlainDeclaration, method: &str, relative_path: &str) -> bool {
    let path = relative_path.split('?').next().unwrap_or_default();
    let matching = |operation: &&OperationDeclaration| {
        &*operation.method == method && path_matches(&operation.path, path)
    };
    plain.operations.iter().find(matching).is_some_and(|operation| operation.idempotent)
}

/// Whether the pattern of an operation matches a path.
pub(crate) fn path_matches(pattern: &str, path: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(start) => path.starts_with(start),
        None => pattern == path,
    }
}

/// Checks that the customer may call the service.
pub(crate) fn check_access(
    customer: &EffectiveCustomer,
    service: &EffectiveService,
) -> Result<(), CallRefusal> {
    if customer.services.contains(&service.name) {
        return Ok(());
    }
    let detail = format!("Customer {:?}, service {:?}.", customer.name, service.name);
    Err(CallRefusal::not_run(ResultCode::ServiceForbidden, detail))
}

/// Deadline for the complete answer: the service's, or the caller's if that is earlier.
pub(crate) fn resolve_deadline(
    headers: &HeaderMap,
    service: &EffectiveService,
    now: Instant,
) -> Result<Instant, CallRefusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(now + service.deadline);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let Some(millis) = millis.filter(|&millis| millis > 0) else {
        let detail = format!("Header {DEADLINE_HEADER} has value {value:?}.");
        return Err(CallRefusal::not_run(ResultCode::DeadlineInvalid, detail));
    };
    Ok(now + service.deadline.min(Duration::from_millis(millis)))
}

/// Reads a request's body within the size limit and the request timeout.
pub(crate) async fn read_body(
    incoming: Incoming,
    limits: &CallerLimits,
) -> Result<Bytes, CallRefusal> {
    let limited = Limited::new(incoming, limits.body_bytes);
    let collected = tokio::time::timeout(limits.request_timeout, limited.collect()).await;
    let Ok(collected) = collected else {
        let detail = format!("The body took longer than {:?}.", limits.request_timeout);
        return Err(CallRefusal::not_run(ResultCode::RequestTimeout, detail));
    };
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let detail = format!("The limit is {} bytes.", limits.body_bytes);
            Err(CallRefusal::not_run(ResultCode::BodyTooLarge, detail))
        }
        Err(error) => Err(CallRefusal::not_run(ResultCode::MalformedRequest, error.to_string())),
    }
}
