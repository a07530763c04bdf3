//! Index of the endpoints that recently served a prompt prefix and so are likely to have it cached.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

use crate::ids::EndpointName;

/// Length of the compared prompt prefix, in bytes.
const PREFIX_BYTES: usize = 256;

/// Time for which a served prefix is assumed to stay cached.
const PREFIX_LIFETIME: Duration = Duration::from_secs(60);

/// Largest number of prefixes in the index.
const MAX_PREFIXES: usize = 1024;

/// Largest number of endpoints kept for one prefix.
const MAX_HOLDERS: usize = 8;

type PrefixKey = (Box<str>, Box<[u8]>);

/// Endpoints that recently served each prefix, with the time of their last request.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    holders: BTreeMap<PrefixKey, BTreeMap<EndpointName, Instant>>,
}

impl PrefixIndex {
    /// Records that a prompt is sent to these endpoints.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        model: &str,
        prompt: &str,
        endpoints: impl IntoIterator<Item = EndpointName>,
    ) {
        let key = prefix_key(model, prompt);
        if !self.holders.contains_key(&key) && self.holders.len() >= MAX_PREFIXES {
            self.evict_expired(now);
        }
        let holders = self.holders.entry(key).or_default();
        for endpoint in endpoints {
            holders.insert(endpoint, now);
        }
        while holders.len() > MAX_HOLDERS {
            let oldest = holders.iter().min_by_key(|(_, at)| **at).map(|(name, _)| name.clone());
            holders.remove(&oldest.expect("holders are not empty"));
        }
    }

    /// Endpoints that are likely to have the prompt's prefix cached.
    pub(crate) fn holders(&self, now: Instant, model: &str, prompt: &str) -> BTreeSet<&str> {
        let Some(holders) = self.holders.get(&prefix_key(model, prompt)) else {
            return BTreeSet::new();
        };
        let unexpired = holders.iter().filter(|(_, at)| now < **at + PREFIX_LIFETIME);
        unexpired.map(|(name, _)| &**name).collect()
    }

    /// Removes expired prefixes; clears the index if it is still full.
    fn evict_expired(&mut self, now: Instant) {
        let is_unexpired = |holders: &BTreeMap<EndpointName, Instant>| {
            holders.values().any(|at| now < *at + PREFIX_LIFETIME)
        };
        self.holders.retain(|_, holders| is_unexpired(holders));
        if self.holders.len() >= MAX_PREFIXES {
            self.holders.clear();
        }
    }
}

fn prefix_key(model: &str, prompt: &str) -> PrefixKey {
    let length = prompt.len().min(PREFIX_BYTES);
    (model.into(), prompt.as_bytes()[..length].into())
}
