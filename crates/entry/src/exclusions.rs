//! Endpoints that accept no work although the registry lists them, as this or another host has
//! found.
//!
//! An exclusion belongs to one start of the endpoint with certain layers; it ends with its time, or
//! as soon as the endpoint is listed with others.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock::EndpointName;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::endpoints::{EndpointEntry, LayerSpan};

/// Time for which an endpoint that accepts no work is excluded, unless its registry entry changes.
pub(crate) const EXCLUSION_TIME: Duration = Duration::from_secs(3);
/// Remaining time below which an exclusion is not taken from another host.
const MIN_SHARED_TIME: Duration = Duration::from_millis(500);

/// Exclusion of an endpoint, as hosts tell one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedExclusion {
    /// Endpoint.
    pub endpoint: EndpointName,
    /// Its start time, in ms since the Unix epoch.
    pub start_unix_ms: u64,
    /// Layers that it was listed with.
    pub layers: Option<LayerSpan>,
    /// Time until the end of the exclusion, in ms.
    pub remaining_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct EndpointExclusion {
    until: Instant,
    start_unix_ms: u64,
    layers: Option<LayerSpan>,
}

/// Exclusions by endpoint.
#[derive(Debug, Default)]
pub struct ExclusionTable {
    by_name: BTreeMap<EndpointName, EndpointExclusion>,
}

impl ExclusionTable {
    /// Excludes an endpoint for some time; returns whether it was not excluded.
    pub fn exclude(&mut self, entry: &EndpointEntry, time: Duration, now: Instant) -> bool {
        if self.is_excluded(entry, now) {
            return false;
        }
        let exclusion = EndpointExclusion {
            until: now + time,
            start_unix_ms: entry.start_unix_ms,
            layers: entry.layers,
        };
        self.by_name.insert(entry.name.clone(), exclusion);
        true
    }

    /// Whether an endpoint is excluded.
    pub fn is_excluded(&self, entry: &EndpointEntry, now: Instant) -> bool {
        self.by_name.get(&entry.name).is_some_and(|exclusion| {
            now < exclusion.until
                && exclusion.start_unix_ms == entry.start_unix_ms
                && exclusion.layers == entry.layers
        })
    }

    /// The exclusions in force, for other hosts.
    pub fn shared(&self, now: Instant) -> Vec<SharedExclusion> {
        let in_force = self.by_name.iter().filter(|(_, exclusion)| now < exclusion.until);
        let shared = in_force.map(|(name, exclusion)| SharedExclusion {
            endpoint: name.clone(),
            start_unix_ms: exclusion.start_unix_ms,
            layers: exclusion.layers,
            remaining_ms: (exclusion.until - now).as_millis() as u64,
        });
        shared.collect()
    }

    /// Excludes the endpoints that another host has found to accept no work; `find` looks up their
    /// entries. Each host alone sees too few refusals to find all of them, while the registry is
    /// away or late.
    pub fn apply(
        &mut self,
        exclusions: Vec<SharedExclusion>,
        find: impl Fn(&str) -> Option<EndpointEntry>,
        now: Instant,
    ) {
        for exclusion in exclusions {
            let entry = find(&exclusion.endpoint).filter(|entry| {
                entry.start_unix_ms == exclusion.start_unix_ms && entry.layers == exclusion.layers
            });
            // What another host takes from this one must not prolong the exclusion.
            let time = Duration::from_millis(exclusion.remaining_ms).min(EXCLUSION_TIME);
            if let Some(entry) = entry.filter(|_| time >= MIN_SHARED_TIME) {
                self.exclude(&entry, time, now);
            }
        }
    }

    /// Drops exclusions of endpoints that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.by_name.retain(|name, _| is_known(name));
    }
}
