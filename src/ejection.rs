//! Ejection of slow, frozen or failing endpoints, with back-off, probing and a floor.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

use crate::ids::EndpointName;

/// Thresholds of ejection.
#[derive(Clone, Debug)]
pub struct EjectionOptions {
    /// Strikes without a success between them after which an endpoint is ejected.
    pub strikes: u32,
    /// Time of the first ejection; each later one without a success is twice as long.
    pub first_backoff: Duration,
    /// Longest ejection.
    pub longest_backoff: Duration,
    /// Largest fraction of a pool that may be ejected; beyond it the check is doubted and all stay.
    pub largest_ejected_fraction: f64,
}

impl Default for EjectionOptions {
    fn default() -> Self {
        Self {
            strikes: 2,
            first_backoff: Duration::from_secs(1),
            longest_backoff: Duration::from_secs(30),
            largest_ejected_fraction: 0.5,
        }
    }
}

/// How an endpoint stands in the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointHealth {
    /// Takes work.
    Healthy,
    /// Was ejected, its back-off is over: takes one request to prove itself.
    Probing,
    /// Takes no work.
    Ejected,
}

#[derive(Clone, Debug)]
struct HealthState {
    pool: Box<str>,
    strikes: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

/// Which endpoints are ejected.
///
/// ```
/// use jacinthrock::{EjectionOptions, EjectionTable, EndpointHealth};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut table = EjectionTable::new(EjectionOptions::default());
/// for name in ["engine-1", "engine-2", "engine-3"] {
///     table.place(name, "guide/0-11");
/// }
/// assert!(table.strike(now, "engine-1", 2));
/// assert_eq!(table.health(now, "engine-1"), EndpointHealth::Ejected);
/// ```
#[derive(Clone, Debug)]
pub struct EjectionTable {
    options: EjectionOptions,
    states: BTreeMap<EndpointName, HealthState>,
    pools: BTreeMap<Box<str>, BTreeSet<EndpointName>>,
}

impl EjectionTable {
    /// An empty table.
    pub fn new(options: EjectionOptions) -> Self {
        Self { options, states: BTreeMap::new(), pools: BTreeMap::new() }
    }

    /// Places an endpoint in a pool: the endpoints that can stand in for each other.
    pub fn assign_pool(&mut self, endpoint: &str, pool: &str) {
        if self.states.get(endpoint).is_some_and(|state| *state.pool == *pool) {
            return;
        }
        self.remove(endpoint);
        let state =
            HealthState { pool: pool.into(), strikes: 0, ejections: 0, ejected_until: None };
        self.states.insert(endpoint.into(), state);
        self.pools.entry(pool.into()).or_default().insert(endpoint.into());
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, endpoint: &str) {
        let Some(state) = self.states.remove(endpoint) else {
            return;
        };
        if let Some(members) = self.pools.get_mut(&state.pool) {
            members.remove(endpoint);
        }
    }

    /// Records a failure of some weight; tells whether it ejected the endpoint.
    pub fn record_failure(&mut self, now: Instant, endpoint: &str, weight: u32) -> bool {
        let options = &self.options;
        let Some(state) = self.states.get_mut(endpoint) else {
            return false;
        };
        state.strikes = state.strikes.saturating_add(weight);
        let in_backoff = state.ejected_until.is_some_and(|until| now < until);
        if in_backoff || (state.strikes < options.strikes && state.ejected_until.is_none()) {
            return false;
        }
        let doublings = state.ejections.min(16);
        let backoff = options.first_backoff.saturating_mul(1 << doublings);
        state.ejections += 1;
        state.ejected_until = Some(now + backoff.min(options.longest_backoff));
        true
    }

    /// Records a success: the endpoint's strikes are forgotten and its ejection ends.
    pub fn record_success(&mut self, endpoint: &str) {
        let Some(state) = self.states.get_mut(endpoint) else {
            return;
        };
        state.strikes = 0;
        state.ejections = 0;
        state.ejected_until = None;
    }

    /// Failures of the endpoint since its last success.
    pub fn strikes(&self, endpoint: &str) -> u32 {
        self.states.get(endpoint).map_or(0, |state| state.strikes)
    }

    /// How the endpoint stands; all of a pool are healthy while too many of it look ill.
    pub fn health(&self, now: Instant, endpoint: &str) -> EndpointHealth {
        let Some(state) = self.states.get(endpoint) else {
            return EndpointHealth::Healthy;
        };
        let Some(until) = state.ejected_until else {
            return EndpointHealth::Healthy;
        };
        if self.is_doubted(now, &state.pool) {
            return EndpointHealth::Healthy;
        }
        if now < until { EndpointHealth::Ejected } else { EndpointHealth::Probing }
    }

    fn is_doubted(&self, now: Instant, pool: &str) -> bool {
        let Some(members) = self.pools.get(pool) else {
            return false;
        };
        let is_ill = |name: &&EndpointName| {
            let until = self.states.get(*name).and_then(|state| state.ejected_until);
            until.is_some_and(|until| now < until)
        };
        let ill = members.iter().filter(is_ill).count();
        ill as f64 > members.len() as f64 * self.options.largest_ejected_fraction
    }
}
