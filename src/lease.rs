//! The controller's lease: an object on the platform that one host at a time holds.
//!
//! The holder's time counts from before its write was sent. A candidate compares no clocks: it
//! takes over only after it watched the same version for the whole time of the lease.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

use crate::ids::{FenceNumber, HostName, Incarnation, ObjectVersion};
use crate::platform::{StoreError, StoredObject};

/// Object that holds the lease.
pub const LEASE_KEY: &str = "lease/controller";

/// Protection of the lease that a test switches off to show that its checker notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseGuard {
    /// Counts the holder's time from before the write was sent, instead of from its reply.
    TimeFromSend,
    /// Watches one version for the whole time, instead of taking the first sight for expired.
    WatchWholeTime,
    /// Raises the fence with each change of holder.
    FenceRises,
    /// Reads back after a lost reply, instead of taking the write for done.
    ReadBack,
    /// Stops holding when the time is over, instead of only when a renewal fails.
    HolderExpires,
}

/// Times of the lease; every host must use the same.
#[derive(Clone, Debug)]
pub struct LeaseOptions {
    /// Time that one write holds the lease.
    pub ttl: Duration,
    /// Time between renewals.
    pub renew_every: Duration,
    /// Time that a candidate waits beyond the lease, for clocks that run at different rates.
    pub margin: Duration,
    /// Time between a candidate's reads, and between tries after a failure.
    pub poll_every: Duration,
    /// Protection that is switched off; only for tests.
    pub disabled: Option<LeaseGuard>,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(6),
            renew_every: Duration::from_secs(2),
            margin: Duration::from_millis(500),
            poll_every: Duration::from_secs(1),
            disabled: None,
        }
    }
}

impl LeaseOptions {
    fn guards(&self, guard: LeaseGuard) -> bool {
        self.disabled != Some(guard)
    }
}

/// The lease as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// Host that holds it.
    pub host: HostName,
    /// Run of the holder's process.
    pub incarnation: Incarnation,
    /// Fencing number; higher for each later holder.
    pub fence: FenceNumber,
    /// Number of the write among those of the holder's run.
    pub renewal: u64,
    /// Time that the write holds the lease, in milliseconds; 0 once it was released.
    pub ttl_ms: u64,
}

/// A lease that is held now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing number of the holder's orders.
    pub fence: FenceNumber,
    /// When this tenure began.
    pub since: Instant,
    /// When it ends unless renewed.
    pub until: Instant,
}

/// What the shell should do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing until then.
    Wait(Instant),
    /// Read the object.
    Read,
    /// Write the object.
    Write {
        /// Version that the object must have.
        expected: ObjectVersion,
        /// The record.
        value: Box<[u8]>,
    },
}

/// How the last action ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The object was read.
    Read(Result<Option<StoredObject>, StoreError>),
    /// The object was written.
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

/// The state machine of the lease on one host.
///
/// ```
/// use jacinthrock::{LeaseAction, LeaseEvent, LeaseKeeper, LeaseOptions};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut keeper = LeaseKeeper::new("host-1", 1, LeaseOptions::default());
/// assert_eq!(keeper.advance(now), LeaseAction::Read);
/// keeper.observe(now, LeaseEvent::Read(Ok(None)));
/// assert!(matches!(keeper.advance(now), LeaseAction::Write { expected: 0, .. }));
/// keeper.observe(now, LeaseEvent::Write(Ok(1)));
/// assert_eq!(keeper.held(now).map(|lease| lease.fence), Some(1));
/// ```
#[derive(Clone)]
pub struct LeaseElector {
    host: HostName,
    incarnation: Incarnation,
    options: LeaseOptions,
    seen: Option<SeenLease>,
    must_read: bool,
    write: Option<LeaseWrite>,
    /// When each renewal was sent whose outcome is not known yet.
    sent: BTreeMap<u64, Instant>,
    renewals: u64,
    held: Option<HeldLease>,
    not_before: Option<Instant>,
    releasing: bool,
}

impl LeaseElector {
    /// A candidate that has read nothing yet.
    pub fn new(host: impl Into<HostName>, incarnation: Incarnation, options: LeaseOptions) -> Self {
        Self {
            host: host.into(),
            incarnation,
            options,
            seen: None,
            must_read: true,
            write: None,
            sent: BTreeMap::new(),
            renewals: 0,
            held: None,
            not_before: None,
            releasing: false,
        }
    }

    /// The lease, if this host holds it at `now`; ask right before each order.
    pub fn held(&self, now: Instant) -> Option<HeldLease> {
        let expires = self.options.guards(LeaseGuard::HolderExpires);
        self.held.filter(|held| !expires || now < held.until)
    }

    /// Gives the lease up: it is not held from now on, and the next write says so.
    pub fn release(&mut self) {
        self.releasing = true;
        self.held = None;
        self.not_before = None;
    }

    /// Whether nothing is left to do after a release.
    pub fn is_released(&self) -> bool {
        self.releasing && self.write.is_none() && !self.is_mine()
    }

    /// Decides what to do next; call it whenever no platform call is in flight.
    pub fn advance(&mut self, now: Instant) -> LeaseAction {
        if let Some(until) = self.not_before.filter(|until| *until > now) {
            return LeaseAction::Wait(until);
        }
        let Some(seen) = self.seen.clone().filter(|_| !self.must_read) else {
            return LeaseAction::Read;
        };
        if self.releasing {
            return self.advance_release(now, &seen);
        }
        if self.is_mine() {
            return self.advance_holder(now, &seen);
        }
        self.advance_candidate(now, &seen)
    }

    /// Learns how the last platform call ended.
    pub fn observe(&mut self, now: Instant, event: LeaseEvent) {
        match event {
            LeaseEvent::Read(Ok(object)) => self.observe_object(now, object),
            LeaseEvent::Read(Err(_)) => self.try_later(now),
            LeaseEvent::Write(result) => self.observe_write(now, result),
        }
    }

    fn advance_holder(&mut self, now: Instant, seen: &SeenLease) -> LeaseAction {
        let Some(held) = self.held.filter(|held| now < held.until) else {
            // The time is over, perhaps after a pause: compete again like any candidate.
            self.held = None;
            return self.advance_candidate(now, seen);
        };
        let renew_at = held.until - (self.options.ttl - self.options.renew_every);
        if now < renew_at {
            return LeaseAction::Wait(renew_at);
        }
        let ttl_ms = self.options.ttl.as_millis() as u64;
        self.start_write(now, seen.version, held.fence, ttl_ms)
    }

    fn advance_candidate(&mut self, now: Instant, seen: &SeenLease) -> LeaseAction {
        let free_at = self.free_at(seen);
        if now < free_at {
            self.must_read = true;
            let until = free_at.min(now + self.options.poll_every);
            self.not_before = Some(until);
            return LeaseAction::Wait(until);
        }
        let rise = u64::from(self.options.guards(LeaseGuard::FenceRises));
        let fence = seen.record.as_ref().map_or(0, |record| record.fence) + rise;
        let ttl_ms = self.options.ttl.as_millis() as u64;
        self.start_write(now, seen.version, fence, ttl_ms)
    }

    fn advance_release(&mut self, now: Instant, seen: &SeenLease) -> LeaseAction {
        let Some(record) = seen.record.as_ref().filter(|_| self.is_mine()) else {
            return LeaseAction::Wait(now + self.options.ttl);
        };
        let fence = record.fence;
        self.start_write(now, seen.version, fence, 0)
    }

    /// When a candidate may take the lease that it has seen.
    fn free_at(&self, seen: &SeenLease) -> Instant {
        let Some(record) = seen.record.as_ref().filter(|record| record.ttl_ms > 0) else {
            return seen.first_seen;
        };
        if !self.options.guards(LeaseGuard::WatchWholeTime) {
            return seen.first_seen;
        }
        seen.first_seen + Duration::from_millis(record.ttl_ms) + self.options.margin
    }

    fn start_write(
        &mut self,
        now: Instant,
        expected: ObjectVersion,
        fence: FenceNumber,
        ttl_ms: u64,
    ) -> LeaseAction {
        self.renewals += 1;
        let record = LeaseRecord {
            host: self.host.clone(),
            incarnation: self.incarnation,
            fence,
            renewal: self.renewals,
            ttl_ms,
        };
        let value = serde_json::to_vec(&record).expect("a lease holds strings and numbers");
        self.sent.insert(self.renewals, now);
        self.write = Some(LeaseWrite { record, sent: now });
        LeaseAction::Write { expected, value: value.into() }
    }

    fn observe_object(&mut self, now: Instant, object: Option<StoredObject>) {
        self.must_read = false;
        self.not_before = None;
        let version = object.as_ref().map_or(0, |object| object.version);
        if self.seen.as_ref().is_some_and(|seen| seen.version == version) {
            return;
        }
        let Some(object) = object else {
            return self.accept(now, version, None);
        };
        match serde_json::from_slice(&object.value) {
            Ok(record) => self.accept(now, version, Some(record)),
            // Its fence is not known, so that nobody can take over with a higher one.
            Err(_) => self.try_later(now),
        }
    }

    fn observe_write(&mut self, now: Instant, result: Result<ObjectVersion, StoreError>) {
        let write = self.write.take().expect("a write was started");
        match result {
            Ok(version) => self.accept_write(now, version, write),
            Err(StoreError::Ambiguous(_)) if !self.options.guards(LeaseGuard::ReadBack) => {
                let version = self.seen.as_ref().map_or(0, |seen| seen.version);
                self.accept_write(now, version, write);
            }
            Err(StoreError::Ambiguous(_)) => self.must_read = true,
            Err(StoreError::Conflict { .. }) => {
                self.sent.remove(&write.record.renewal);
                self.must_read = true;
            }
            Err(_) => {
                self.sent.remove(&write.record.renewal);
                self.try_later(now);
            }
        }
    }

    fn accept_write(&mut self, now: Instant, version: ObjectVersion, write: LeaseWrite) {
        if !self.options.guards(LeaseGuard::TimeFromSend) {
            self.sent.insert(write.record.renewal, now);
        }
        debug_assert!(write.sent <= now);
        self.accept(now, version, Some(write.record));
    }

    /// Takes in a version of the object that was not seen before.
    fn accept(&mut self, now: Instant, version: ObjectVersion, record: Option<LeaseRecord>) {
        let mine = record.as_ref().filter(|record| self.wrote(record));
        let sent = mine.and_then(|record| self.sent.remove(&record.renewal));
        if let Some(record) = mine {
            self.sent.retain(|renewal, _| *renewal > record.renewal);
        }
        self.held = match (mine, sent) {
            (Some(record), Some(sent)) if !self.releasing => self.tenure(now, record, sent),
            _ => None,
        };
        self.seen = Some(SeenLease { version, record, first_seen: now });
    }

    fn tenure(&self, now: Instant, record: &LeaseRecord, sent: Instant) -> Option<HeldLease> {
        let until = sent + Duration::from_millis(record.ttl_ms);
        let continued = self.held.filter(|held| held.fence == record.fence && now < held.until);
        let since = continued.map_or(now, |held| held.since);
        Some(HeldLease { fence: record.fence, since, until })
    }

    fn try_later(&mut self, now: Instant) {
        self.must_read = true;
        self.not_before = Some(now + self.options.poll_every / 4);
    }

    fn is_mine(&self) -> bool {
        let record = self.seen.as_ref().and_then(|seen| seen.record.as_ref());
        record.is_some_and(|record| self.wrote(record) && record.ttl_ms > 0)
    }

    fn wrote(&self, record: &LeaseRecord) -> bool {
        record.host == self.host && record.incarnation == self.incarnation
    }
}
