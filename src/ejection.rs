//! Ejection of slow, frozen or failing endpoints, with exponential backoff, probing, and a limit on
//! how much of a pool may be ejected.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

use crate::ids::EndpointName;

/// Options of an [`EjectionTable`].
#[derive(Clone, Debug)]
pub struct EjectionOptions {
    /// Total weight of failures since the last success at which an endpoint is ejected.
    pub failure_threshold: u32,
    /// Time of the first ejection; doubles with each further ejection until a success.
    pub first_backoff: Duration,
    /// Longest time of an ejection.
    pub longest_backoff: Duration,
    /// Largest fraction of a pool that may be ejected. If more look faulty, a shared cause is more
    /// likely than that many single faults, so that none is ejected.
    pub largest_ejected_fraction: f64,
}

impl Default for EjectionOptions {
    fn default() -> Self {
        Self {
            failure_threshold: 2,
            first_backoff: Duration::from_secs(1),
            longest_backoff: Duration::from_secs(30),
            largest_ejected_fraction: 0.5,
        }
    }
}

/// Whether an endpoint may be chosen for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointHealth {
    /// Accepts requests.
    Healthy,
    /// The backoff of its ejection is over; accepts one request as a probe.
    Probing,
    /// Accepts no requests.
    Ejected,
}

#[derive(Clone, Debug)]
struct HealthState {
    pool: Box<str>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

/// Health of each endpoint, from its failures and successes.
///
/// ```
/// use jacinthrock::{EjectionOptions, EjectionTable, EndpointHealth};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut table = EjectionTable::new(EjectionOptions::default());
/// for name in ["engine-1", "engine-2", "engine-3"] {
///     table.assign_pool(name, "guide/0-11");
/// }
/// assert!(table.record_failure(now, "engine-1", 2));
/// assert_eq!(table.health(now, "engine-1"), EndpointHealth::Ejected);
/// ```
#[derive(Clone, Debug)]
pub struct EjectionTable {
    options: EjectionOptions,
    states: BTreeMap<EndpointName, HealthState>,
    pools: BTreeMap<Box<str>, BTreeSet<EndpointName>>,
}

impl EjectionTable {
    /// Creates an empty table.
    pub fn new(options: EjectionOptions) -> Self {
        Self { options, states: BTreeMap::new(), pools: BTreeMap::new() }
    }

    /// Assigns an endpoint to a pool, whose members can replace each other. Resets its health if
    /// the pool changes.
    pub fn assign_pool(&mut self, endpoint: &str, pool: &str) {
        if self.states.get(endpoint).is_some_and(|state| *state.pool == *pool) {
            return;
        }
        self.remove(endpoint);
        let state =
            HealthState { pool: pool.into(), failures: 0, ejections: 0, ejected_until: None };
        self.states.insert(endpoint.into(), state);
        self.pools.entry(pool.into()).or_default().insert(endpoint.into());
    }

    /// Removes an endpoint and its health.
    pub fn remove(&mut self, endpoint: &str) {
        let Some(state) = self.states.remove(endpoint) else {
            return;
        };
        if let Some(members) = self.pools.get_mut(&state.pool) {
            members.remove(endpoint);
        }
    }

    /// Records a failure; returns whether it ejected the endpoint.
    pub fn record_failure(&mut self, now: Instant, endpoint: &str, weight: u32) -> bool {
        let options = &self.options;
        let Some(state) = self.states.get_mut(endpoint) else {
            return false;
        };
        state.failures = state.failures.saturating_add(weight);
        let in_backoff = state.ejected_until.is_some_and(|until| now < until);
        if in_backoff
            || (state.failures < options.failure_threshold && state.ejected_until.is_none())
        {
            return false;
        }
        let doublings = state.ejections.min(16);
        let backoff = options.first_backoff.saturating_mul(1 << doublings);
        state.ejections += 1;
        state.ejected_until = Some(now + backoff.min(options.longest_backoff));
        true
    }

    /// Records a success, which clears the endpoint's failures and ends its ejection.
    pub fn record_success(&mut self, endpoint: &str) {
        let Some(state) = self.states.get_mut(endpoint) else {
            return;
        };
        state.failures = 0;
        state.ejections = 0;
        state.ejected_until = None;
    }

    /// Total weight of the endpoint's failures since its last success.
    pub fn failures(&self, endpoint: &str) -> u32 {
        self.states.get(endpoint).map_or(0, |state| state.failures)
    }

    /// Health of the endpoint. Every member of a pool is healthy while more than the allowed
    /// fraction of it is in backoff.
    pub fn health(&self, now: Instant, endpoint: &str) -> EndpointHealth {
        let Some(state) = self.states.get(endpoint) else {
            return EndpointHealth::Healthy;
        };
        let Some(until) = state.ejected_until else {
            return EndpointHealth::Healthy;
        };
        if self.exceeds_ejection_limit(now, &state.pool) {
            return EndpointHealth::Healthy;
        }
        if now < until { EndpointHealth::Ejected } else { EndpointHealth::Probing }
    }

    fn exceeds_ejection_limit(&self, now: Instant, pool: &str) -> bool {
        let Some(members) = self.pools.get(pool) else {
            return false;
        };
        let is_in_backoff = |name: &&EndpointName| {
            let until = self.states.get(*name).and_then(|state| state.ejected_until);
            until.is_some_and(|until| now < until)
        };
        let in_backoff = members.iter().filter(is_in_backoff).count();
        in_backoff as f64 > members.len() as f64 * self.options.largest_ejected_fraction
    }
}
