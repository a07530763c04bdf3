//! Leader election of the controller through a lease object on the platform.
//!
//! The holder counts the time to live from before it sent its write. Hosts never compare clocks: a
//! candidate takes over only after it has seen the same version for the whole time to live.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

use crate::ids::{FenceNumber, HostName, Incarnation, ObjectVersion};
use crate::platform::{StoreError, StoredObject};

/// Key of the lease object.
pub const LEASE_KEY: &str = "lease/controller";

/// Safety rule of the lease that a test disables to prove that its checker detects the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseRule {
    /// Counts the time to live from before the write was sent instead of from its reply.
    ExpiryFromSend,
    /// Requires an unchanged version for the whole time to live before a takeover; without it, a
    /// candidate treats any lease as expired when it first reads it.
    WatchFullTtl,
    /// Increments the fence at each acquisition.
    FenceIncrement,
    /// Reads the object after an ambiguous write instead of assuming that the write succeeded.
    ReadBack,
    /// Ends the holder's tenure at its expiry instead of only when a renewal fails.
    LocalExpiry,
}

/// Timing of the lease; every host must use the same values.
#[derive(Clone, Debug)]
pub struct LeaseOptions {
    /// Time to live that one write grants.
    pub ttl: Duration,
    /// Time between renewals.
    pub renew_interval: Duration,
    /// Time that a candidate waits beyond the time to live, for clocks that run at different rates.
    pub drift_margin: Duration,
    /// Time between a candidate's reads; a failed call is retried after a quarter of it.
    pub poll_interval: Duration,
    /// Safety rule to disable; only for tests.
    pub disabled: Option<LeaseRule>,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(6),
            renew_interval: Duration::from_secs(2),
            drift_margin: Duration::from_millis(500),
            poll_interval: Duration::from_secs(1),
            disabled: None,
        }
    }
}

impl LeaseOptions {
    fn is_enabled(&self, rule: LeaseRule) -> bool {
        self.disabled != Some(rule)
    }
}

/// The lease as stored on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// Host that holds the lease.
    pub host: HostName,
    /// Incarnation of the holder's process.
    pub incarnation: Incarnation,
    /// Fencing number; higher for each later holder.
    pub fence: FenceNumber,
    /// Sequence number of the write within the holder's incarnation.
    pub renewal: u64,
    /// Time to live that the write grants, in milliseconds; 0 in a released lease.
    pub ttl_ms: u64,
}

/// One tenure: the period in which a host holds the lease under one fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing number to put on the holder's orders.
    pub fence: FenceNumber,
    /// When the tenure began.
    pub since: Instant,
    /// When the tenure ends unless renewed.
    pub until: Instant,
}

/// What the caller of a [`LeaseElector`] should do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing until this time.
    Wait(Instant),
    /// Read the lease object.
    Read,
    /// Write the lease object.
    Write {
        /// Version that the object must still have for the write to succeed.
        expected: ObjectVersion,
        /// Serialized [`LeaseRecord`].
        value: Box<[u8]>,
    },
}

/// Result of the last [`LeaseAction`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The read finished.
    Read(Result<Option<StoredObject>, StoreError>),
    /// The write finished.
    Write(Result<ObjectVersion, StoreError>),
}

#[derive(Clone)]
struct SeenLease {
    version: ObjectVersion,
    record: Option<LeaseRecord>,
    first_seen: Instant,
}

#[derive(Clone)]
struct LeaseWrite {
    record: LeaseRecord,
    sent: Instant,
}

/// State machine that acquires, renews and releases the lease for one host; it does no I/O.
///
/// ```
/// use jacinthrock::{LeaseAction, LeaseElector, LeaseEvent, LeaseOptions};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut elector = LeaseElector::new("host-1", 1, LeaseOptions::default());
/// assert_eq!(elector.advance(now), LeaseAction::Read);
/// elector.observe(now, LeaseEvent::Read(Ok(None)));
/// assert!(matches!(elector.advance(now), LeaseAction::Write { expected: 0, .. }));
/// elector.observe(now, LeaseEvent::Write(Ok(1)));
/// assert_eq!(elector.held(now).map(|lease| lease.fence), Some(1));
/// ```
#[derive(Clone)]
pub struct LeaseElector {
    host: HostName,
    incarnation: Incarnation,
    options: LeaseOptions,
    seen: Option<SeenLease>,
    needs_read: bool,
    pending_write: Option<LeaseWrite>,
    /// Send time of each own write whose outcome is unknown, by its number.
    sent_at: BTreeMap<u64, Instant>,
    write_count: u64,
    held: Option<HeldLease>,
    not_before: Option<Instant>,
    is_releasing: bool,
}

impl LeaseElector {
    /// Creates a candidate that has not read the lease yet.
    pub fn new(host: impl Into<HostName>, incarnation: Incarnation, options: LeaseOptions) -> Self {
        Self {
            host: host.into(),
            incarnation,
            options,
            seen: None,
            needs_read: true,
            pending_write: None,
            sent_at: BTreeMap::new(),
            write_count: 0,
            held: None,
            not_before: None,
            is_releasing: false,
        }
    }

    /// Returns the lease if this host holds it at `now`; check it right before sending each order.
    pub fn held(&self, now: Instant) -> Option<HeldLease> {
        let checks_expiry = self.options.is_enabled(LeaseRule::LocalExpiry);
        self.held.filter(|held| !checks_expiry || now < held.until)
    }

    /// Gives up the lease at once; the next write marks it released on the platform.
    pub fn release(&mut self) {
        self.is_releasing = true;
        self.held = None;
        self.not_before = None;
    }

    /// Whether a requested release is complete.
    pub fn is_released(&self) -> bool {
        self.is_releasing && self.pending_write.is_none() && !self.owns_seen_lease()
    }

    /// Returns the next action; call it only while no platform call is in flight.
    pub fn advance(&mut self, now: Instant) -> LeaseAction {
        if let Some(until) = self.not_before.filter(|until| *until > now) {
            return LeaseAction::Wait(until);
        }
        let Some(seen) = self.seen.clone().filter(|_| !self.needs_read) else {
            return LeaseAction::Read;
        };
        if self.is_releasing {
            return self.advance_release(now, &seen);
        }
        if self.owns_seen_lease() {
            return self.advance_holder(now, &seen);
        }
        self.advance_candidate(now, &seen)
    }

    /// Processes the result of the last platform call.
    pub fn observe(&mut self, now: Instant, event: LeaseEvent) {
        match event {
            LeaseEvent::Read(Ok(object)) => self.observe_object(now, object),
            LeaseEvent::Read(Err(_)) => self.schedule_retry(now),
            LeaseEvent::Write(result) => self.observe_write(now, result),
        }
    }

    fn advance_holder(&mut self, now: Instant, seen: &SeenLease) -> LeaseAction {
        let Some(held) = self.held.filter(|held| now < held.until) else {
            // The tenure expired, perhaps while the process was paused: compete as a candidate.
            self.held = None;
            return self.advance_candidate(now, seen);
        };
        let renew_at = held.until - (self.options.ttl - self.options.renew_interval);
        if now < renew_at {
            return LeaseAction::Wait(renew_at);
        }
        let ttl_ms = self.options.ttl.as_millis() as u64;
        self.start_write(now, seen.version, held.fence, ttl_ms)
    }

    fn advance_candidate(&mut self, now: Instant, seen: &SeenLease) -> LeaseAction {
        let takeover_at = self.takeover_at(seen);
        if now < takeover_at {
            self.needs_read = true;
            let until = takeover_at.min(now + self.options.poll_interval);
            self.not_before = Some(until);
            return LeaseAction::Wait(until);
        }
        let fence_step = u64::from(self.options.is_enabled(LeaseRule::FenceIncrement));
        let fence = seen.record.as_ref().map_or(0, |record| record.fence) + fence_step;
        let ttl_ms = self.options.ttl.as_millis() as u64;
        self.start_write(now, seen.version, fence, ttl_ms)
    }

    fn advance_release(&mut self, now: Instant, seen: &SeenLease) -> LeaseAction {
        let Some(record) = seen.record.as_ref().filter(|_| self.owns_seen_lease()) else {
            return LeaseAction::Wait(now + self.options.ttl);
        };
        let fence = record.fence;
        self.start_write(now, seen.version, fence, 0)
    }

    /// Earliest time at which a candidate may take over the lease that it has seen.
    fn takeover_at(&self, seen: &SeenLease) -> Instant {
        let Some(record) = seen.record.as_ref().filter(|record| record.ttl_ms > 0) else {
            return seen.first_seen;
        };
        if !self.options.is_enabled(LeaseRule::WatchFullTtl) {
            return seen.first_seen;
        }
        seen.first_seen + Duration::from_millis(record.ttl_ms) + self.options.drift_margin
    }

    fn start_write(
        &mut self,
        now: Instant,
        expected: ObjectVersion,
        fence: FenceNumber,
        ttl_ms: u64,
    ) -> LeaseAction {
        self.write_count += 1;
        let record = LeaseRecord {
            host: self.host.clone(),
            incarnation: self.incarnation,
            fence,
            renewal: self.write_count,
            ttl_ms,
        };
        let value = serde_json::to_vec(&record).expect("a lease record always serializes");
        self.sent_at.insert(self.write_count, now);
        self.pending_write = Some(LeaseWrite { record, sent: now });
        LeaseAction::Write { expected, value: value.into() }
    }

    fn observe_object(&mut self, now: Instant, object: Option<StoredObject>) {
        self.needs_read = false;
        self.not_before = None;
        let version = object.as_ref().map_or(0, |object| object.version);
        if self.seen.as_ref().is_some_and(|seen| seen.version == version) {
            return;
        }
        let Some(object) = object else {
            return self.record_version(now, version, None);
        };
        match serde_json::from_slice(&object.value) {
            Ok(record) => self.record_version(now, version, Some(record)),
            // Without a readable fence, no host can take over with a higher one.
            Err(_) => self.schedule_retry(now),
        }
    }

    fn observe_write(&mut self, now: Instant, result: Result<ObjectVersion, StoreError>) {
        let write = self.pending_write.take().expect("a write result follows a started write");
        match result {
            Ok(version) => self.record_write(now, version, write),
            Err(StoreError::Ambiguous(_)) if !self.options.is_enabled(LeaseRule::ReadBack) => {
                let version = self.seen.as_ref().map_or(0, |seen| seen.version);
                self.record_write(now, version, write);
            }
            Err(StoreError::Ambiguous(_)) => self.needs_read = true,
            Err(StoreError::Conflict { .. }) => {
                self.sent_at.remove(&write.record.renewal);
                self.needs_read = true;
            }
            Err(_) => {
                self.sent_at.remove(&write.record.renewal);
                self.schedule_retry(now);
            }
        }
    }

    fn record_write(&mut self, now: Instant, version: ObjectVersion, write: LeaseWrite) {
        if !self.options.is_enabled(LeaseRule::ExpiryFromSend) {
            self.sent_at.insert(write.record.renewal, now);
        }
        debug_assert!(write.sent <= now);
        self.record_version(now, version, Some(write.record));
    }

    /// Records a new version of the object and updates the tenure from it.
    fn record_version(
        &mut self,
        now: Instant,
        version: ObjectVersion,
        record: Option<LeaseRecord>,
    ) {
        let own_record = record.as_ref().filter(|record| self.is_own(record));
        let sent = own_record.and_then(|record| self.sent_at.remove(&record.renewal));
        if let Some(record) = own_record {
            self.sent_at.retain(|renewal, _| *renewal > record.renewal);
        }
        self.held = match (own_record, sent) {
            (Some(record), Some(sent)) if !self.is_releasing => self.own_lease(now, record, sent),
            _ => None,
        };
        self.seen = Some(SeenLease { version, record, first_seen: now });
    }

    fn own_lease(&self, now: Instant, record: &LeaseRecord, sent: Instant) -> Option<HeldLease> {
        let until = sent + Duration::from_millis(record.ttl_ms);
        let continued = self.held.filter(|held| held.fence == record.fence && now < held.until);
        let since = continued.map_or(now, |held| held.since);
        Some(HeldLease { fence: record.fence, since, until })
    }

    fn schedule_retry(&mut self, now: Instant) {
        self.needs_read = true;
        self.not_before = Some(now + self.options.poll_interval / 4);
    }

    fn owns_seen_lease(&self) -> bool {
        let record = self.seen.as_ref().and_then(|seen| seen.record.as_ref());
        record.is_some_and(|record| self.is_own(record) && record.ttl_ms > 0)
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.host == self.host && record.incarnation == self.incarnation
    }
}
