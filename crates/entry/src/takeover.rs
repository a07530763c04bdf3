//! When this host may take the placement lease, and when it gives the lease up.
//!
//! Answers to a load pattern: the process of the holder is killed while endpoints are lost and
//! return empty. Nothing is placed until another host holds the lease, and layers lack room
//! meanwhile. Waiting until the lease lapses takes seconds that the hosts do not need if they know
//! that the process has ended: nothing listens at its address any more.
//!
//! A takeover from a process that still runs does no harm beyond a conflict on the lease's record,
//! since each order states how many orders the endpoint must have accepted before.

use std::time::Duration;

use tokio::time::Instant;

use crate::adapter::RegistryRecord;
use crate::state::PlacementHolder;
use crate::version::{RegistryEra, RegistryVersion};

/// Time without a change of the lease's record after which another host takes over the lease.
pub(crate) const TAKEOVER_AFTER: Duration = Duration::from_millis(2_500);
/// Time between the first and the last of the refused exchanges that show that a process has ended.
/// A process that is replaced can refuse connections for a moment.
const REFUSED_TIME: Duration = Duration::from_millis(200);
/// Time after a refused exchange for which it counts.
const REFUSAL_VALIDITY: Duration = TAKEOVER_AFTER;
/// Time after a takeover from an ended holder for which this process makes no other. Two hosts that
/// refuse each other's connections although both run would otherwise take the lease from each other
/// every half second.
const NEXT_TAKEOVER_AFTER: Duration = Duration::from_secs(5);
/// Time without a reply of any endpoint after which a holder gives up the lease.
const UNREACHED_TIME: Duration = Duration::from_secs(1);
/// Time for which a reply of an endpoint to another host shows that endpoints can be reached.
/// Reports pass through up to two exchanges of 200 to 400 ms.
const REACHED_VALIDITY: Duration = Duration::from_millis(1_500);
/// Time after the loss of all services from which a reply to another host shows that it reaches more
/// than this host. If all endpoints end at once, the last replies to others are as old as the loss;
/// two exchanges can make them appear up to 400 ms younger.
const REACHED_MARGIN: Duration = Duration::from_millis(500);

/// Random identifier of a process, new after each start.
pub type BootId = u64;

/// Why this host takes the placement lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeReason {
    /// No host holds the lease.
    Free,
    /// The record names this host: a former process of it has ended, or the reply to a write of this
    /// process was lost.
    OwnRecord,
    /// The holder's address refuses connections.
    HolderEnded,
    /// The record has not changed for 2.5 s.
    Lapsed,
}

impl TakeReason {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::OwnRecord => "own_record",
            Self::HolderEnded => "holder_ended",
            Self::Lapsed => "lapsed",
        }
    }
}

/// Content of the lease's record.
///
/// ```
/// use jacinthrock_entry::LeaseText;
///
/// let lease = LeaseText::parse("h1 10.0.0.9:7102 2.40 77").unwrap();
/// assert_eq!((&*lease.holder.host, lease.era, lease.boot_id), ("h1", Some(2), Some(77)));
/// assert_eq!(LeaseText::parse("h1 10.0.0.9:7102 2.40").unwrap().boot_id, None);
/// assert_eq!(LeaseText::parse(""), None);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseText {
    /// Holder.
    pub holder: PlacementHolder,
    /// Era of the registry in which the record was written.
    pub era: Option<RegistryEra>,
    /// Process that wrote the record; none if it is of a release that does not name it.
    pub boot_id: Option<BootId>,
}

impl LeaseText {
    /// Parses the text of the record; none if the lease was released.
    pub fn parse(text: &str) -> Option<Self> {
        let mut words = text.split(' ');
        let (host, address) = (words.next()?, words.next()?);
        let holder = PlacementHolder { host: host.into(), address: address.parse().ok()? };
        let era = words.next().and_then(|version| version.split('.').next()?.parse().ok());
        let boot_id = words.next().and_then(|word| word.parse().ok());
        Some(Self { holder, era, boot_id })
    }

    /// Text of the record that a process writes over the one of a version. The version makes each
    /// renewal change the record.
    pub fn format(holder: &PlacementHolder, over: RegistryVersion, boot_id: BootId) -> Box<str> {
        format!("{} {} {over} {boot_id}", holder.host, holder.address).into()
    }
}

/// The lease as the registry lists it, with what this host knows beside it.
#[derive(Clone, Copy, Debug)]
pub struct LeaseInputs<'a> {
    /// Era of the listing.
    pub era: RegistryEra,
    /// The lease's record, if there is one.
    pub record: Option<&'a RegistryRecord>,
    /// This host.
    pub own: &'a PlacementHolder,
    /// This process.
    pub boot_id: BootId,
    /// Text of a write of this process whose reply was lost.
    pub unanswered: Option<&'a str>,
    /// Whether a restore of the registry may have brought the record back a moment ago, so that the
    /// last holder may still place models.
    pub may_be_restored: bool,
    /// Whether a holder has exchanged loads lately. One that replies without renewing the lease acts
    /// for an outage of the registry, and ends by itself.
    pub hears_holder: bool,
}

/// Refused exchanges with one host since its last reply.
#[derive(Clone, Debug)]
struct HostRefusals {
    host: PlacementHolder,
    first: Instant,
    last: Instant,
}

/// What this host knows about the lease, its holder and the endpoints that hosts reach.
///
/// ```
/// use std::time::Duration;
///
/// use jacinthrock_entry::{PlacementHolder, TakeoverTable};
/// use tokio::time::Instant;
///
/// let holder = PlacementHolder { host: "h1".into(), address: ([10, 0, 0, 9], 7102).into() };
/// let (mut table, now) = (TakeoverTable::default(), Instant::now());
/// table.record_refused(&holder, now);
/// assert!(!table.has_ended(&holder, now));
/// let later = now + Duration::from_millis(200);
/// table.record_refused(&holder, later);
/// assert!(table.has_ended(&holder, later));
/// table.record_reply(&holder, 77);
/// assert!(!table.has_ended(&holder, later));
/// ```
#[derive(Debug, Default)]
pub struct TakeoverTable {
    /// Version of the record as last listed, and when this host first saw it.
    record: Option<(Option<RegistryVersion>, Instant)>,
    /// Refusals of the host that refused last.
    refusals: Option<HostRefusals>,
    /// Process of the holder that last replied to an exchange.
    replied: Option<(PlacementHolder, BootId)>,
    /// When this process last took the lease from a holder that had ended.
    took_from_ended: Option<Instant>,
    /// Since when all services with endpoints have been lost to this host.
    unreached_since: Option<Instant>,
    /// When an endpoint last replied to this host.
    own_reply: Option<Instant>,
    /// When an endpoint last replied to another host, as that host reports.
    other_reply: Option<Instant>,
    /// Whether this process has released the lease and has reached no endpoint since.
    has_released: bool,
}

impl TakeoverTable {
    /// Records that a host's address refused the connection of an exchange. Returns whether this
    /// exchange is the first to show that the process there has ended.
    pub fn record_refused(&mut self, host: &PlacementHolder, now: Instant) -> bool {
        let was_known = self.has_ended(host, now);
        let is_valid = |it: &HostRefusals| {
            it.host == *host && now.saturating_duration_since(it.last) < REFUSAL_VALIDITY
        };
        let first = self.refusals.take().filter(is_valid).map_or(now, |it| it.first);
        self.refusals = Some(HostRefusals { host: host.clone(), first, last: now });
        !was_known && self.has_ended(host, now)
    }

    /// Records that a host has replied to an exchange, as the process `boot_id`.
    pub fn record_reply(&mut self, host: &PlacementHolder, boot_id: BootId) {
        self.refusals.take_if(|it| it.host == *host);
        self.replied = Some((host.clone(), boot_id));
    }

    /// Whether the process at a host's address has ended, as its refused exchanges show.
    pub fn has_ended(&self, host: &PlacementHolder, now: Instant) -> bool {
        self.refusals.as_ref().is_some_and(|it| {
            it.host == *host
                && it.last.saturating_duration_since(it.first) >= REFUSED_TIME
                && now.saturating_duration_since(it.last) < REFUSAL_VALIDITY
        })
    }

    /// Whether the process that wrote a record has ended. A later process of the same host is
    /// another one: the refusals were those of the process that had replied before.
    fn has_writer_ended(&self, lease: &LeaseText, now: Instant) -> bool {
        let replied = self.replied.as_ref().filter(|(host, _)| *host == lease.holder);
        let is_other =
            replied.zip(lease.boot_id).is_some_and(|((_, boot_id), writer)| *boot_id != writer);
        !is_other && self.has_ended(&lease.holder, now)
    }

    /// Decides whether this host may take the lease that was listed, and why.
    pub fn take_reason(&mut self, inputs: LeaseInputs<'_>, now: Instant) -> Option<TakeReason> {
        let version = inputs.record.map(|record| record.version);
        let since = match self.record {
            Some((known, since)) if known == version => since,
            _ => now,
        };
        self.record = Some((version, since));
        let text = inputs.record.map_or("", |record| &record.text);
        if inputs.record.is_some() && inputs.unanswered == Some(text) {
            return Some(TakeReason::OwnRecord);
        }
        if text.is_empty() && !inputs.may_be_restored {
            return Some(TakeReason::Free);
        }
        // A restore brings back a record of a former era, whose writer may not be the last holder.
        let lease = LeaseText::parse(text).filter(|lease| lease.era == Some(inputs.era));
        if let Some(lease) = lease {
            if lease.holder == *inputs.own && lease.boot_id != Some(inputs.boot_id) {
                return Some(TakeReason::OwnRecord);
            }
            if self.has_writer_ended(&lease, now) && !self.has_just_taken(now) {
                return Some(TakeReason::HolderEnded);
            }
        }
        let is_lapsed = now.saturating_duration_since(since) >= TAKEOVER_AFTER;
        (is_lapsed && !inputs.hears_holder).then_some(TakeReason::Lapsed)
    }

    fn has_just_taken(&self, now: Instant) -> bool {
        self.took_from_ended
            .is_some_and(|at| now.saturating_duration_since(at) < NEXT_TAKEOVER_AFTER)
    }

    /// Records that this host has taken the lease.
    pub fn record_taken(&mut self, reason: TakeReason, now: Instant) {
        self.record = None;
        if reason == TakeReason::HolderEnded {
            self.took_from_ended = Some(now);
        }
    }

    /// Records that an endpoint of any service has replied to this host.
    pub fn record_endpoint_reply(&mut self, now: Instant) {
        self.own_reply = Some(now);
        self.record_links(false, now);
    }

    /// Takes a report of another host, of the time since an endpoint last replied to it or to a host
    /// that exchanges through it.
    pub fn record_other_reply(&mut self, age: Duration, now: Instant) {
        self.other_reply = self.other_reply.max(now.checked_sub(age));
    }

    /// Time since an endpoint last replied to this host or to one that has reported it; none if that
    /// is too long ago to tell others.
    pub fn reply_age(&self, now: Instant) -> Option<Duration> {
        let at = self.own_reply.max(self.other_reply)?;
        let age = now.saturating_duration_since(at);
        (age < REACHED_VALIDITY).then_some(age)
    }

    /// Takes whether all services with endpoints are lost to this host.
    pub fn record_links(&mut self, is_lost: bool, now: Instant) {
        self.unreached_since = is_lost.then(|| self.unreached_since.unwrap_or(now));
        self.has_released &= is_lost;
    }

    /// Whether this host, as the holder, should release the lease: it has reached no endpoint for
    /// some time, and another host reaches some.
    pub fn should_release(&self, now: Instant) -> bool {
        let Some((since, replied)) = self.unreached_since.zip(self.other_reply) else {
            return false;
        };
        let is_unreached = now.saturating_duration_since(since) >= UNREACHED_TIME;
        let is_reached_by_others = replied >= since + REACHED_MARGIN
            && now.saturating_duration_since(replied) < REACHED_VALIDITY;
        is_unreached && is_reached_by_others
    }

    /// Records that this host has released the lease since it reaches no endpoint.
    pub fn record_released(&mut self) {
        self.has_released = true;
    }

    /// Whether this host must not take the lease: it has released it and has reached no endpoint
    /// since.
    pub fn is_barred(&self) -> bool {
        self.has_released
    }
}
