//! Endpoints and failure domains that a request avoids after its own failures.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{DomainName, EndpointName};

/// Penalty in seconds for each failure of the endpoint in this request.
const ENDPOINT_PENALTY_SECONDS: f64 = 100.0;

/// Penalty in seconds for each failure in the endpoint's failure domain in this request.
const DOMAIN_PENALTY_SECONDS: f64 = 0.05;

/// Assumed seconds saved by a stage that still holds the request's KV cache.
const KV_REUSE_SECONDS: f64 = 0.02;

/// Number of failures at which a request stops using an endpoint.
const EXCLUSION_FAILURES: u32 = 2;

/// Failures of a request so far, from which it derives penalties for later attempts.
#[derive(Clone, Debug, Default)]
pub struct AvoidSet {
    endpoints: BTreeMap<EndpointName, u32>,
    silences: BTreeMap<EndpointName, u32>,
    domains: BTreeMap<DomainName, u32>,
    kv_holders: BTreeSet<EndpointName>,
}

impl AvoidSet {
    /// Records a failure of an endpoint. If it certainly failed, the request stops using it.
    pub(crate) fn avoid(&mut self, endpoint: &str, is_certain: bool) {
        let weight = if is_certain { EXCLUSION_FAILURES } else { 1 };
        *self.endpoints.entry(endpoint.into()).or_default() += weight;
        self.kv_holders.remove(endpoint);
    }

    /// Records that an endpoint fell silent, a failure until [`Self::readmit_silent`].
    pub(crate) fn avoid_silent(&mut self, endpoint: &str) {
        *self.silences.entry(endpoint.into()).or_default() += 1;
        self.kv_holders.remove(endpoint);
    }

    /// Clears the silences of all endpoints; returns whether there were any.
    pub(crate) fn readmit_silent(&mut self) -> bool {
        !std::mem::take(&mut self.silences).is_empty()
    }

    /// Records a failure in a failure domain.
    pub(crate) fn avoid_domain(&mut self, domain: &str) {
        *self.domains.entry(domain.into()).or_default() += 1;
    }

    /// Clears all failures that don't exclude an endpoint. Called when the answer makes progress.
    pub(crate) fn clear_uncertain(&mut self) {
        self.endpoints.retain(|_, failures| *failures >= EXCLUSION_FAILURES);
        self.silences.retain(|_, silences| *silences >= EXCLUSION_FAILURES);
        self.domains.clear();
    }

    /// Sets the endpoints that still hold the request's KV cache.
    pub(crate) fn set_kv_holders(&mut self, holders: BTreeSet<EndpointName>) {
        self.kv_holders = holders;
    }

    pub(crate) fn avoids_domain(&self, domain: &str) -> bool {
        self.domains.contains_key(domain)
    }

    pub(crate) fn excludes(&self, endpoint: &str) -> bool {
        self.failures(endpoint) >= EXCLUSION_FAILURES
    }

    fn failures(&self, endpoint: &str) -> u32 {
        let count = |counts: &BTreeMap<EndpointName, u32>| counts.get(endpoint).copied();
        count(&self.endpoints).unwrap_or(0) + count(&self.silences).unwrap_or(0)
    }

    /// Seconds to add to the cost of an endpoint; negative if reuse of the KV cache saves more. An
    /// endpoint that still holds the KV cache is exempt from the penalty of its failure domain.
    pub(crate) fn penalty(&self, endpoint: &str, domain: &str) -> f64 {
        let endpoint_failures = f64::from(self.failures(endpoint));
        if self.kv_holders.contains(endpoint) {
            return endpoint_failures * ENDPOINT_PENALTY_SECONDS - KV_REUSE_SECONDS;
        }
        let domain_failures = f64::from(self.domains.get(domain).copied().unwrap_or(0));
        endpoint_failures * ENDPOINT_PENALTY_SECONDS + domain_failures * DOMAIN_PENALTY_SECONDS
    }
}
