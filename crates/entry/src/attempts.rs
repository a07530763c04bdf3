//! Which endpoints count as attempts of one request, against the limit of its route.
//!
//! | Endpoint | Counts |
//! |---|---|
//! | The request was sent to it, whatever came of it | yes |
//! | No connection was established, so that nothing was sent | no |
//! | The request was sent, its connection broke, and the endpoint is known to have ended since | no |
//!
//! Silence and unanswered probes are no sign of an end: the endpoint may go on with the request.

use std::collections::{BTreeMap, BTreeSet};

use jacinthrock::EndpointName;
use tokio::time::Instant;

use crate::notices::EndpointStart;

/// Sends of a request to one start of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptRecord {
    sends: u32,
    broken_at: Option<Instant>,
}

/// Endpoints that one request was sent to.
///
/// ```
/// use jacinthrock_entry::{AttemptLog, EndpointStart};
/// use tokio::time::Instant;
///
/// let (mut attempts, name, now) = (AttemptLog::default(), "i-1".into(), Instant::now());
/// let endpoint = EndpointStart { name: &name, start_unix_ms: 5 };
/// attempts.record_send(endpoint);
/// assert_eq!(attempts.counted(|_, _| true).len(), 1);
/// attempts.record_broken(endpoint, now);
/// assert_eq!(attempts.counted(|_, _| false).len(), 1);
/// assert_eq!(attempts.counted(|_, _| true).len(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AttemptLog {
    records: BTreeMap<(EndpointName, u64), AttemptRecord>,
}

impl AttemptLog {
    /// Records that the request is being sent to an endpoint.
    pub fn record_send(&mut self, endpoint: EndpointStart<'_>) {
        self.record(endpoint).sends += 1;
    }

    /// Takes back a send that got no connection. Earlier sends to the endpoint still count.
    pub fn record_unsent(&mut self, endpoint: EndpointStart<'_>) {
        let record = self.record(endpoint);
        record.sends = record.sends.saturating_sub(1);
    }

    /// Records that the connection on which the request was sent broke.
    pub fn record_broken(&mut self, endpoint: EndpointStart<'_>, now: Instant) {
        self.record(endpoint).broken_at = Some(now);
    }

    /// Endpoints that count. `has_ended` tells whether one is known to have ended since the given
    /// time, at which its connection broke.
    pub fn counted(
        &self,
        has_ended: impl Fn(EndpointStart<'_>, Instant) -> bool,
    ) -> BTreeSet<EndpointName> {
        let counted = self.records.iter().filter(|((name, start_unix_ms), record)| {
            let endpoint = EndpointStart { name, start_unix_ms: *start_unix_ms };
            record.sends > 0 && !record.broken_at.is_some_and(|at| has_ended(endpoint, at))
        });
        counted.map(|((name, _), _)| name.clone()).collect()
    }

    /// Endpoints whose connection broke.
    pub fn broken(&self) -> impl Iterator<Item = &EndpointName> {
        let broken = self.records.iter().filter(|(_, record)| record.broken_at.is_some());
        broken.map(|((name, _), _)| name)
    }

    fn record(&mut self, endpoint: EndpointStart<'_>) -> &mut AttemptRecord {
        self.records.entry((endpoint.name.clone(), endpoint.start_unix_ms)).or_default()
    }
}
