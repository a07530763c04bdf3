//! What a request steers away from after its own failures.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{DomainName, EndpointName};

/// Seconds of penalty for each failure of an endpoint in this request.
const AVOIDED_ENDPOINT_SECONDS: f64 = 100.0;

/// Seconds of penalty for each failure in the failure domain in this request.
const AVOIDED_DOMAIN_SECONDS: f64 = 0.05;

/// Seconds that a stage which still holds the request's KV cache is taken to save.
const KV_HELD_SECONDS: f64 = 0.02;

/// Failures of one endpoint in one request after which the request does not use it again.
const EXCLUDING_FAILURES: u32 = 2;

/// Failures of one request so far.
#[derive(Clone, Debug, Default)]
pub struct AvoidSet {
    endpoints: BTreeMap<EndpointName, u32>,
    domains: BTreeMap<DomainName, u32>,
    holders: BTreeSet<EndpointName>,
}

impl AvoidSet {
    /// Steers away from an endpoint; with `certain` it is not used again for this request.
    pub(crate) fn avoid(&mut self, endpoint: &str, certain: bool) {
        let weight = if certain { EXCLUDING_FAILURES } else { 1 };
        *self.endpoints.entry(endpoint.into()).or_default() += weight;
        self.holders.remove(endpoint);
    }

    /// Steers away from a failure domain.
    pub(crate) fn avoid_domain(&mut self, domain: &str) {
        *self.domains.entry(domain.into()).or_default() += 1;
    }

    /// Forgets the uncertain failures, once the answer has made progress.
    pub(crate) fn clear_uncertain(&mut self) {
        self.endpoints.retain(|_, failures| *failures >= EXCLUDING_FAILURES);
        self.domains.clear();
    }

    /// Notes the endpoints that still hold the request's KV cache.
    pub(crate) fn set_kv_holders(&mut self, holders: BTreeSet<EndpointName>) {
        self.holders = holders;
    }

    pub(crate) fn avoids_domain(&self, domain: &str) -> bool {
        self.domains.contains_key(domain)
    }

    pub(crate) fn excludes(&self, endpoint: &str) -> bool {
        self.endpoints.get(endpoint).is_some_and(|failures| *failures >= EXCLUDING_FAILURES)
    }

    pub(crate) fn penalty(&self, endpoint: &str, domain: &str) -> f64 {
        let own = f64::from(self.endpoints.get(endpoint).copied().unwrap_or(0));
        if self.holders.contains(endpoint) {
            return own * AVOIDED_ENDPOINT_SECONDS - KV_HELD_SECONDS;
        }
        let shared = f64::from(self.domains.get(domain).copied().unwrap_or(0));
        own * AVOIDED_ENDPOINT_SECONDS + shared * AVOIDED_DOMAIN_SECONDS
    }
}
