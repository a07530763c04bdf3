//! What the host that took a call from its caller has decided of it, for the host that serves it.
//!
//! The call is decided once, by the rules of the host that took it. A host with other rules serves it
//! only if its own rules decide the same.

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use jacinthrock::{CustomerName, ServiceName};

use crate::call::AllowedCall;
use crate::rules::{RetryPolicy, RouteRule, RulesVersion};

/// Version of the rules: in a forwarded call those by which it was decided, in a refusal of one those
/// of the host that refuses. Hosts of earlier releases do not send it.
const RULES: HeaderName = HeaderName::from_static("jacinthrock-forwarded-rules");
/// Service that was picked from the targets of the route.
const SERVICE: HeaderName = HeaderName::from_static("jacinthrock-forwarded-service");
/// Customer whose key the call has.
const CUSTOMER: HeaderName = HeaderName::from_static("jacinthrock-forwarded-customer");
/// Kind of the route, see [`route_kind`].
const KIND: HeaderName = HeaderName::from_static("jacinthrock-forwarded-kind");

/// What the rules of a host say of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallDecision {
    pub(crate) rules: RulesVersion,
    service: Option<ServiceName>,
    customer: Option<CustomerName>,
    kind: Box<str>,
}

impl CallDecision {
    /// Adds the decision of this host to a call that is passed on.
    pub(crate) fn write(call: &AllowedCall, headers: &mut HeaderMap) -> Result<(), Box<str>> {
        let text = |value: &str| {
            HeaderValue::from_bytes(value.as_bytes()).map_err(|error| error.to_string())
        };
        headers.insert(SERVICE, text(&call.service)?);
        headers.insert(RULES, HeaderValue::from(call.rules));
        headers.insert(KIND, HeaderValue::from_static(route_kind(&call.route)));
        headers.remove(CUSTOMER);
        if let Some(customer) = &call.customer {
            headers.insert(CUSTOMER, text(customer)?);
        }
        Ok(())
    }

    /// Takes the decision of another host out of a call. Returns the service that it has picked as
    /// well, which hosts of earlier releases send alone.
    pub(crate) fn take(headers: &mut HeaderMap) -> (Option<ServiceName>, Option<Self>) {
        let mut text = |name| {
            let value = headers.remove(name)?;
            String::from_utf8(value.as_bytes().to_vec()).ok()
        };
        let service = text(SERVICE).map(ServiceName::from);
        let customer = text(CUSTOMER).map(CustomerName::from);
        let (rules, kind) = (text(RULES), text(KIND));
        let rules = rules.and_then(|rules| rules.parse().ok());
        let decision = rules.zip(kind).map(|(rules, kind)| Self {
            rules,
            service: service.clone(),
            customer,
            kind: kind.into(),
        });
        (service, decision)
    }

    /// Whether the rules of this host, which allow the call, decide the same.
    pub(crate) fn is_shared_by(&self, call: &AllowedCall) -> bool {
        let mut targets = call.route.targets.iter().filter(|(_, weight)| *weight > 0);
        targets.any(|(target, _)| Some(target) == self.service.as_ref())
            && self.customer == call.customer
            && *self.kind == *route_kind(&call.route)
    }
}

/// Adds the version of this host's rules to its refusal of a forwarded call.
pub(crate) fn write_rules(rules: RulesVersion, headers: &mut HeaderMap) {
    headers.insert(RULES, HeaderValue::from(rules));
}

/// Version of the rules of a host that has refused a forwarded call.
pub(crate) fn read_rules(headers: &HeaderMap) -> Option<RulesVersion> {
    headers.get(RULES)?.to_str().ok()?.parse().ok()
}

/// How the endpoints' answers to a route are taken and whether its calls may be repeated.
fn route_kind(route: &RouteRule) -> &'static str {
    match (route.is_stream, route.retry_policy) {
        (true, RetryPolicy::Safe) => "safe-stream",
        (true, RetryPolicy::Once) => "once-stream",
        (true, RetryPolicy::Resumable) => "resumable-stream",
        (false, RetryPolicy::Safe) => "safe",
        (false, RetryPolicy::Once) => "once",
        (false, RetryPolicy::Resumable) => "resumable",
    }
}
