//! Which endpoints count as attempts of one request, against the limit of its route.
//!
//! | Endpoint | Counts |
//! |---|---|
//! | The request was sent to it, whatever came of it | yes |
//! | No connection was established, so that nothing was sent | no |
//! | The request was sent, is over there, and the endpoint is known to have ended since | no |
//!
//! Neither silence nor an unanswered probe nor a missing entry is a sign of an end: the endpoint may
//! go on with the request.

use std::collections::BTreeMap;

use jacinthrock::EndpointName;
use tokio::time::Instant;

use crate::notices::EndpointStart;

/// Sends of a request to one start of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptRecord {
    sends: u32,
    over_at: Option<Instant>,
    has_ended: bool,
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
/// attempts.record_over(endpoint, now);
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

    /// Records that a send is over: its connection broke, or the endpoint answered.
    pub fn record_over(&mut self, endpoint: EndpointStart<'_>, now: Instant) {
        self.record(endpoint).over_at = Some(now);
    }

    /// Endpoints that count, each as often as starts of it do. `has_ended` tells whether a start is
    /// known to have ended since the given time, at which the send was over; it is asked until it
    /// says so.
    pub fn counted(
        &mut self,
        has_ended: impl Fn(EndpointStart<'_>, Instant) -> bool,
    ) -> Vec<EndpointName> {
        for ((name, start_unix_ms), record) in &mut self.records {
            let endpoint = EndpointStart { name, start_unix_ms: *start_unix_ms };
            record.has_ended |= record.over_at.is_some_and(|at| has_ended(endpoint, at));
        }
        let counted =
            self.records.iter().filter(|(_, record)| record.sends > 0 && !record.has_ended);
        counted.map(|((name, _), _)| name.clone()).collect()
    }

    /// Endpoints at which a send is over.
    pub fn over(&self) -> impl Iterator<Item = &EndpointName> {
        let over = self.records.iter().filter(|(_, record)| record.over_at.is_some());
        over.map(|((name, _), _)| name)
    }

    fn record(&mut self, endpoint: EndpointStart<'_>) -> &mut AttemptRecord {
        self.records.entry((endpoint.name.clone(), endpoint.start_unix_ms)).or_default()
    }
}
