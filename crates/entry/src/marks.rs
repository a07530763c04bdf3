//! Marks on endpoints that hold for a time.

use std::collections::BTreeMap;

use jacinthrock::EndpointName;
use tokio::time::Instant;

/// Endpoints with the time until which a mark holds.
#[derive(Debug, Default)]
pub(crate) struct ExpiringFlags {
    until: BTreeMap<EndpointName, Instant>,
}

impl ExpiringFlags {
    /// Sets a mark; returns whether one held already.
    pub(crate) fn set(&mut self, name: &EndpointName, now: Instant, until: Instant) -> bool {
        let previous = self.until.insert(name.clone(), until);
        previous.is_some_and(|previous| now < previous)
    }

    /// Whether a mark holds.
    pub(crate) fn holds(&self, name: &str, now: Instant) -> bool {
        self.until.get(name).is_some_and(|until| now < *until)
    }

    /// Takes a mark back.
    pub(crate) fn clear(&mut self, name: &str) {
        self.until.remove(name);
    }

    /// Forgets endpoints that are gone.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.until.retain(|name, _| is_known(name));
    }
}
