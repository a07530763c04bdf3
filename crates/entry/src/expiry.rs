//! Flags on endpoints that expire.

use std::collections::BTreeMap;

use jacinthrock::EndpointName;
use tokio::time::Instant;

/// A set of flagged endpoints, each with the time at which its flag expires.
///
/// ```
/// use std::time::Duration;
///
/// use jacinthrock_entry::ExpiringFlags;
/// use tokio::time::Instant;
///
/// let (mut flags, now) = (ExpiringFlags::default(), Instant::now());
/// let until = now + Duration::from_secs(1);
/// assert!(!flags.set(&"a".into(), now, until));
/// assert!(flags.is_set("a", now) && !flags.is_set("a", until));
/// ```
#[derive(Debug, Default)]
pub struct ExpiringFlags {
    until: BTreeMap<EndpointName, Instant>,
}

impl ExpiringFlags {
    /// Sets the flag of an endpoint; returns whether it was already set and had not expired.
    pub fn set(&mut self, name: &EndpointName, now: Instant, until: Instant) -> bool {
        let previous = self.until.insert(name.clone(), until);
        previous.is_some_and(|previous| now < previous)
    }

    /// Whether the flag of an endpoint is set and has not expired.
    pub fn is_set(&self, name: &str, now: Instant) -> bool {
        self.until.get(name).is_some_and(|until| now < *until)
    }

    /// Clears the flag of an endpoint.
    pub fn clear(&mut self, name: &str) {
        self.until.remove(name);
    }

    /// Removes endpoints that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.until.retain(|name, _| is_known(name));
    }
}
