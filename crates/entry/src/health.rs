//! Passive health tracking of endpoints, from the outcome of their calls.
//!
//! Endpoints may fail part of their requests, become slow, hang or disappear while their health
//! check still passes, so only the outcome of calls counts here.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock::EndpointName;
use tokio::time::Instant;

/// Consecutive failures after which an endpoint is ejected; a single one is common with reused
/// connections.
const EJECT_AFTER: u32 = 2;
/// Duration of a first ejection; it doubles with each further failure.
const FIRST_EJECTION_TIME: Duration = Duration::from_millis(500);
/// Longest duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);
/// Weight of the newest call in the moving averages.
const NEWEST_CALL_WEIGHT: f64 = 0.15;
/// Expected reply time of an endpoint that has not replied yet, in ms.
const INITIAL_REPLY_MS: f64 = 60.0;
/// Weight of an endpoint's failure rate in the cost of a call: if it fails every request, its calls
/// cost `1 + FAILURE_COST_FACTOR` times as much.
const FAILURE_COST_FACTOR: f64 = 8.0;
/// Time for which the end of an endpoint is kept after it left the registry; streams that it was
/// sent may last as long.
const END_MEMORY: Duration = Duration::from_secs(30);

/// How a call to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The endpoint sent a complete reply without a server error.
    Succeeded,
    /// The endpoint replied that the request failed.
    Failed,
    /// No usable reply: the connection was reset or cut, or the reply was garbled or timed out.
    Broken,
    /// The endpoint refused the request without running it.
    Refused,
}

/// Health of one endpoint.
#[derive(Clone, Debug)]
struct HealthRecord {
    reply_ms: f64,
    failure_share: f64,
    consecutive_broken: u32,
    ejected_until: Option<Instant>,
    is_down: bool,
    ended_at: Option<Instant>,
    is_replaced: bool,
    open_calls: u32,
}

impl Default for HealthRecord {
    fn default() -> Self {
        Self {
            reply_ms: INITIAL_REPLY_MS,
            failure_share: 0.0,
            consecutive_broken: 0,
            ejected_until: None,
            is_down: false,
            ended_at: None,
            is_replaced: false,
            open_calls: 0,
        }
    }
}

/// Health of all endpoints, as this host observes it.
#[derive(Debug, Default)]
pub struct HealthTable {
    records: BTreeMap<EndpointName, HealthRecord>,
}

impl HealthTable {
    /// Records the start of a call.
    pub fn begin_call(&mut self, name: &EndpointName) {
        self.record(name).open_calls += 1;
    }

    /// Records the outcome of a call; `taken` is the time from its start to its end.
    pub fn record_outcome(
        &mut self,
        name: &EndpointName,
        end: CallEnd,
        taken: Duration,
        now: Instant,
    ) {
        let record = self.record(name);
        let failed = if end == CallEnd::Succeeded { 0.0 } else { 1.0 };
        record.failure_share += NEWEST_CALL_WEIGHT * (failed - record.failure_share);
        if matches!(end, CallEnd::Succeeded | CallEnd::Failed | CallEnd::Broken) {
            let taken_ms = taken.as_secs_f64() * 1_000.0;
            record.reply_ms += NEWEST_CALL_WEIGHT * (taken_ms - record.reply_ms);
        }
        match end {
            CallEnd::Succeeded | CallEnd::Failed => {
                record.consecutive_broken = 0;
                record.ejected_until = None;
            }
            CallEnd::Broken | CallEnd::Refused => {
                record.consecutive_broken += 1;
                if record.consecutive_broken >= EJECT_AFTER {
                    let doublings = (record.consecutive_broken - EJECT_AFTER).min(8);
                    let ejection =
                        (FIRST_EJECTION_TIME * 2u32.pow(doublings)).min(MAX_EJECTION_TIME);
                    record.ejected_until = Some(now + ejection);
                }
            }
        }
    }

    /// Removes a call that [`begin_call`](Self::begin_call) counted as open.
    pub fn end_call(&mut self, name: &str) {
        if let Some(record) = self.records.get_mut(name) {
            record.open_calls = record.open_calls.saturating_sub(1);
        }
    }

    /// Marks an endpoint as down, because it does not reply at all; returns whether it was up.
    pub fn mark_down(&mut self, name: &EndpointName) -> bool {
        !std::mem::replace(&mut self.record(name).is_down, true)
    }

    /// Marks an endpoint as up, because it replies; returns whether it was down.
    pub fn mark_up(&mut self, name: &str) -> bool {
        let Some(record) = self.records.get_mut(name) else { return false };
        record.ended_at = None;
        record.is_replaced = false;
        std::mem::take(&mut record.is_down)
    }

    /// Records that nothing listens at an endpoint's address; returns whether that is new.
    pub fn record_refused(&mut self, name: &EndpointName, now: Instant) -> bool {
        self.record(name).ended_at.replace(now).is_none()
    }

    /// Records that another start replies at an endpoint's address; returns whether that is new.
    pub fn record_replaced(&mut self, name: &EndpointName, now: Instant) -> bool {
        let record = self.record(name);
        record.ended_at = Some(now);
        !std::mem::replace(&mut record.is_replaced, true)
    }

    /// Whether another start replies at an endpoint's address.
    pub fn is_replaced(&self, name: &str) -> bool {
        self.records.get(name).is_some_and(|record| record.is_replaced)
    }

    /// When an endpoint was last found to have ended, if it has not replied since.
    pub fn ended_at(&self, name: &str) -> Option<Instant> {
        self.records.get(name)?.ended_at
    }

    /// Whether the endpoint is marked as down.
    pub fn is_down(&self, name: &str) -> bool {
        self.records.get(name).is_some_and(|record| record.is_down)
    }

    /// Endpoints that are marked as down.
    pub fn down(&self) -> impl Iterator<Item = &EndpointName> {
        self.records.iter().filter(|(_, record)| record.is_down).map(|(name, _)| name)
    }

    /// Whether the endpoint is ejected because of failures.
    pub fn is_ejected(&self, name: &str, now: Instant) -> bool {
        self.records
            .get(name)
            .and_then(|record| record.ejected_until)
            .is_some_and(|until| now < until)
    }

    /// Number of calls from this host that are open at the endpoint.
    pub fn open_calls(&self, name: &str) -> u32 {
        self.records.get(name).map_or(0, |record| record.open_calls)
    }

    /// Expected cost of another call, in ms: reply time times open calls times a failure penalty.
    pub fn call_cost(&self, name: &str) -> f64 {
        let record = self.records.get(name).cloned().unwrap_or_default();
        let queue = f64::from(record.open_calls + 1);
        record.reply_ms * queue * (1.0 + FAILURE_COST_FACTOR * record.failure_share)
    }

    /// Forgets what was observed of the former start of an endpoint, except for its open calls.
    pub fn forget(&mut self, name: &str) {
        if let Some(record) = self.records.get_mut(name) {
            *record = HealthRecord { open_calls: record.open_calls, ..HealthRecord::default() };
        }
    }

    /// Removes endpoints that are no longer known, unless they have open calls or have just ended.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.records.retain(|name, record| {
            let has_just_ended = record.ended_at.is_some_and(|at| at.elapsed() < END_MEMORY);
            is_known(name) || record.open_calls > 0 || has_just_ended
        });
    }

    fn record(&mut self, name: &EndpointName) -> &mut HealthRecord {
        self.records.entry(name.clone()).or_default()
    }
}
