//! Membership table: the hosts of the fleet and their liveness, as seen by one host.

use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

use crate::ids::{ConfigRevision, DomainName, HostName, Incarnation};
use crate::quota::FleetView;

/// First 64 bits of the SHA-256 of a name, used in place of the name in digests.
pub type NameHash = u64;

/// Counter that a process increments in each gossip interval. Observers rely only on the time at
/// which it advances.
pub type HeartbeatCount = u32;

/// Hashes the name of a host, endpoint or customer for use in digests.
///
/// ```
/// assert_ne!(jacinthrock::name_hash("router-1"), jacinthrock::name_hash("router-2"));
/// ```
pub fn name_hash(name: &str) -> NameHash {
    let digest = Sha256::digest(name.as_bytes());
    u64::from_le_bytes(digest[..8].try_into().expect("a SHA-256 digest has 32 bytes"))
}

/// Lifecycle state that a host reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostState {
    /// Accepts requests.
    #[default]
    Serving,
    /// Accepts no new requests and finishes those in flight.
    Draining,
    /// Has left; its heartbeat does not advance again.
    Left,
}

/// Full description of a host's process, as exchanged between hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// IP address and port of the peer listener.
    pub address: Box<str>,
    /// Incarnation of the process; a restart has a higher one.
    pub incarnation: Incarnation,
    /// Newest heartbeat.
    pub heartbeat: HeartbeatCount,
    /// Configuration revision in force.
    pub revision: ConfigRevision,
    /// Lifecycle state.
    pub state: HostState,
}

/// Heartbeat of a host: the part of its record that changes in every interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberBeat {
    /// Hash of the host's name.
    pub host: NameHash,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Newest heartbeat.
    pub heartbeat: HeartbeatCount,
    /// Lifecycle state.
    pub state: HostState,
    /// Time since the heartbeat advanced; a relayed heartbeat keeps its age and never looks newer.
    pub age: Duration,
}

/// Newest heartbeat that a host received directly from a peer, returned to that peer so that it
/// can detect one-way links; all 0 for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatEcho {
    /// Incarnation of the peer's process.
    pub incarnation: Incarnation,
    /// Heartbeat that was received.
    pub heartbeat: HeartbeatCount,
}

/// Status of another host, for status pages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Newest record of the host.
    pub record: MemberRecord,
    /// Whether its heartbeat advanced recently.
    pub is_live: bool,
    /// Whether its messages arrive here while this host's messages do not arrive there.
    pub is_one_way: bool,
}

/// Liveness of a host, derived from the time since its heartbeat advanced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberLiveness {
    /// Its heartbeat advanced recently.
    Live,
    /// Its heartbeat stalled for longer than the silence timeout, or none was received yet.
    Silent,
    /// Its heartbeat stalled for long enough to treat the host as failed.
    Dead,
    /// It left, or was dead for so long that it no longer counts as part of the fleet.
    Gone,
}

/// Timeouts and safety rules of a [`MemberTable`].
#[derive(Clone, Copy, Debug)]
pub struct MemberOptions {
    /// Time without a heartbeat after which a live host becomes silent, in a full-mesh fleet.
    pub silent_after: Duration,
    /// Addition to the silence timeout for each host beyond the full-mesh size, since heartbeats
    /// are then relayed by other hosts.
    pub silent_per_extra_host: Duration,
    /// Addition to the direct-contact window for each host beyond the full-mesh size.
    pub direct_window_per_extra_host: Duration,
    /// Multiple of the silence timeout after which a host is dead.
    pub dead_factor: u32,
    /// Time after which a dead host no longer counts as part of the fleet.
    pub forget_after: Duration,
    /// Same as `forget_after`, for a listed host from which no heartbeat was ever received.
    pub forget_unheard_after: Duration,
    /// Whether only an advancing heartbeat proves liveness; only tests disable this.
    pub ignores_stale_heartbeats: bool,
    /// Whether a relayed heartbeat counts with its age; only tests disable this.
    pub applies_relayed_age: bool,
    /// Whether incarnations of a host are distinguished; only tests disable this.
    pub compares_incarnations: bool,
}

/// Largest fleet in which every host exchanges directly with every other in each interval.
pub(crate) const FULL_MESH_HOSTS: usize = 8;

impl Default for MemberOptions {
    fn default() -> Self {
        Self {
            silent_after: Duration::from_millis(3500),
            silent_per_extra_host: Duration::from_millis(600),
            direct_window_per_extra_host: Duration::from_millis(2000),
            dead_factor: 2,
            forget_after: Duration::from_secs(600),
            forget_unheard_after: Duration::from_secs(60),
            ignores_stale_heartbeats: true,
            applies_relayed_age: true,
            compares_incarnations: true,
        }
    }
}

/// Members of the fleet, as seen by one host.
///
/// A restarted host is a new incarnation of the same name. Liveness depends only on this host's own
/// clock and the time at which a heartbeat last advanced; clocks of different hosts are never
/// compared.
pub struct MemberTable {
    options: MemberOptions,
    own_record: MemberRecord,
    own_hash: NameHash,
    members: BTreeMap<HostName, KnownMember>,
    names_by_hash: BTreeMap<NameHash, HostName>,
    is_superseded: bool,
}

/// Another host with the contacts from which its liveness is derived.
pub(crate) struct KnownMember {
    pub(crate) record: MemberRecord,
    /// Number of digests in which the record is still to be sent.
    pub(crate) sends_left: u32,
    added_at: Instant,
    /// Whether a heartbeat of any incarnation was received.
    was_heard: bool,
    /// Time at which the heartbeat last advanced, directly or relayed.
    advanced_at: Option<Instant>,
    direct_contact: Option<DirectContact>,
    echo_contact: Option<EchoContact>,
}

/// Newest message received directly from the other host.
#[derive(Clone, Copy)]
struct DirectContact {
    heard_at: Instant,
    heartbeat: HeartbeatCount,
}

/// Newest heartbeat of this host that the other host reports as received directly.
#[derive(Clone, Copy)]
struct EchoContact {
    heartbeat: HeartbeatCount,
    advanced_at: Instant,
}

impl MemberTable {
    /// Creates a table that contains only its own host.
    pub fn new(own_record: MemberRecord, options: MemberOptions) -> Self {
        let own_hash = name_hash(&own_record.host);
        Self {
            options,
            own_record,
            own_hash,
            members: BTreeMap::new(),
            names_by_hash: BTreeMap::new(),
            is_superseded: false,
        }
    }

    /// This host's own record.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own_record
    }

    pub(crate) fn own_record_mut(&mut self) -> &mut MemberRecord {
        &mut self.own_record
    }

    /// Whether a newer incarnation of this host is known to exist.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Adds a host that the platform lists. It becomes live only with its first heartbeat.
    ///
    /// Returns whether the host or its incarnation was new.
    pub fn add_listed_host(&mut self, now: Instant, record: &MemberRecord) -> bool {
        let known = self.members.get(&record.host);
        if known.is_some_and(|member| member.record.incarnation >= record.incarnation) {
            return false;
        }
        if record.host == self.own_record.host {
            self.is_superseded |= record.incarnation > self.own_record.incarnation;
            return false;
        }
        self.insert_member(now, record.clone());
        true
    }

    /// Merges a record from another host. Returns whether it contained new information.
    ///
    /// A record shows that an incarnation exists; only heartbeats make it live.
    pub fn merge_record(&mut self, now: Instant, record: &MemberRecord) -> bool {
        if record.host == self.own_record.host {
            self.is_superseded |= record.incarnation > self.own_record.incarnation;
            return false;
        }
        let compares_incarnations = self.options.compares_incarnations;
        let Some(member) = self.members.get_mut(&record.host) else {
            self.insert_member(now, record.clone());
            return true;
        };
        if compares_incarnations && record.incarnation < member.record.incarnation {
            return false;
        }
        if compares_incarnations && record.incarnation > member.record.incarnation {
            self.insert_member(now, record.clone());
            return true;
        }
        let changed = member.merge_revision(record.revision);
        member.record.address = record.address.clone();
        member.record.domain = record.domain.clone();
        member.merge_state(record.state) || changed
    }

    /// Merges a heartbeat. Returns whether the host's state changed, or `None` if the host is
    /// unknown or the incarnation is newer than the known one.
    pub fn merge_beat(&mut self, now: Instant, beat: &MemberBeat) -> Option<bool> {
        if beat.host == self.own_hash {
            self.is_superseded |= beat.incarnation > self.own_record.incarnation;
            return Some(false);
        }
        let name = self.names_by_hash.get(&beat.host)?;
        let member = self.members.get_mut(name)?;
        if self.options.compares_incarnations && beat.incarnation > member.record.incarnation {
            return None;
        }
        if self.options.compares_incarnations && beat.incarnation < member.record.incarnation {
            return Some(false);
        }
        let advances = beat.heartbeat > member.record.heartbeat;
        if !advances && self.options.ignores_stale_heartbeats {
            return Some(false);
        }
        member.record.heartbeat = member.record.heartbeat.max(beat.heartbeat);
        let age = if self.options.applies_relayed_age { beat.age } else { Duration::ZERO };
        member.advanced_at = member.advanced_at.max(now.checked_sub(age));
        member.was_heard = true;
        Some(member.merge_state(beat.state))
    }

    /// Records a message received directly from a host, with the heartbeat of this host that it
    /// echoes.
    ///
    /// Returns false for a message that is older than one received before or that is not from the
    /// host's current incarnation.
    pub(crate) fn record_direct_contact(
        &mut self,
        now: Instant,
        beat: &MemberBeat,
        echo: HeartbeatEcho,
    ) -> bool {
        let own_incarnation = self.own_record.incarnation;
        let Some(member) =
            self.names_by_hash.get(&beat.host).and_then(|name| self.members.get_mut(name))
        else {
            return false;
        };
        let is_stale =
            member.direct_contact.is_some_and(|contact| contact.heartbeat > beat.heartbeat);
        if is_stale || member.record.incarnation != beat.incarnation {
            return false;
        }
        member.direct_contact = Some(DirectContact { heard_at: now, heartbeat: beat.heartbeat });
        let advances = member.echo_contact.is_none_or(|known| known.heartbeat < echo.heartbeat);
        if advances && echo.incarnation == own_incarnation {
            member.echo_contact = Some(EchoContact { heartbeat: echo.heartbeat, advanced_at: now });
        }
        true
    }

    /// Raises the configuration revision known for a host. Returns whether it was raised.
    pub(crate) fn merge_revision(&mut self, host: &str, revision: ConfigRevision) -> bool {
        self.members.get_mut(host).is_some_and(|member| member.merge_revision(revision))
    }

    /// Records that are still to be disseminated, those with the most sends left first.
    ///
    /// Each returned record uses up one of its sends.
    pub(crate) fn take_pending_records(&mut self, count: usize) -> Vec<MemberRecord> {
        let mut pending: Vec<&mut KnownMember> =
            self.members.values_mut().filter(|member| member.sends_left > 0).collect();
        pending.sort_by_key(|member| std::cmp::Reverse(member.sends_left));
        let mut records = Vec::new();
        for member in pending.into_iter().take(count) {
            member.sends_left -= 1;
            records.push(member.record.clone());
        }
        records
    }

    /// Discards all liveness information; called after this process was paused, since heartbeats
    /// received before the pause prove nothing.
    pub fn reset_contacts(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            member.advanced_at = None;
            member.added_at = now;
            member.direct_contact = None;
            member.echo_contact = None;
        }
    }

    /// Removes members whose heartbeat stalled for twice [`MemberOptions::forget_after`], except
    /// those in `listed`.
    pub fn prune(&mut self, now: Instant, listed: &BTreeSet<HostName>) {
        let limit = self.options.forget_after * 2;
        let members = &mut self.members;
        members.retain(|name, member| member.age(now) < limit || listed.contains(name));
        self.names_by_hash.retain(|_, name| members.contains_key(name));
    }

    /// Liveness of a host; `None` if it is not known.
    pub fn liveness(&self, now: Instant, host: &str) -> Option<MemberLiveness> {
        let member = self.members.get(host)?;
        Some(self.liveness_of(now, member))
    }

    /// Record of a host.
    pub fn record(&self, host: &str) -> Option<&MemberRecord> {
        self.members.get(host).map(|member| &member.record)
    }

    /// Records of the live hosts, excluding this one.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &MemberRecord> {
        let members = self.members.values();
        members
            .filter(move |member| self.liveness_of(now, member) == MemberLiveness::Live)
            .map(|member| &member.record)
    }

    pub(crate) fn own_hash(&self) -> NameHash {
        self.own_hash
    }

    pub(crate) fn live_with_hash(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (NameHash, &MemberRecord)> {
        let members = self.names_by_hash.iter().filter_map(|(&hash, name)| {
            let member = self.members.get(name)?;
            Some((hash, member))
        });
        members
            .filter(move |(_, member)| self.liveness_of(now, member) == MemberLiveness::Live)
            .map(|(hash, member)| (hash, &member.record))
    }

    /// Whether this incarnation of a host is live.
    pub fn is_live(&self, now: Instant, host: &str, incarnation: Incarnation) -> bool {
        let Some(member) = self.members.get(host) else {
            return false;
        };
        member.record.incarnation == incarnation
            && self.liveness_of(now, member) == MemberLiveness::Live
    }

    /// Hosts whose messages arrive here but which have not echoed this host's heartbeat recently.
    pub fn one_way(&self, now: Instant) -> Vec<HostName> {
        let limit = self.direct_window();
        let is_one_way = |member: &&KnownMember| {
            member.heard_within(now, limit) && !member.echoed_within(now, limit)
        };
        self.members.values().filter(is_one_way).map(|member| member.record.host.clone()).collect()
    }

    /// Other hosts, classified for the division of customers' limits. A host counts as live only
    /// with recent direct contact in both directions, since demand reports are not relayed.
    pub fn fleet(&self, now: Instant) -> FleetView {
        let mut fleet = FleetView::default();
        for (host, member) in &self.members {
            let hosts = match self.liveness_of(now, member) {
                MemberLiveness::Live if self.is_mutual(now, member) => &mut fleet.live,
                MemberLiveness::Live | MemberLiveness::Silent => &mut fleet.silent,
                MemberLiveness::Dead => &mut fleet.dead,
                MemberLiveness::Gone => continue,
            };
            hosts.insert(host.clone());
        }
        fleet
    }

    /// Time within which every live host exchanges directly with every other, at the current size
    /// of the fleet.
    pub fn direct_window(&self) -> Duration {
        let extra_hosts = self.members.len().saturating_sub(FULL_MESH_HOSTS - 1) as u32;
        self.options.silent_after + self.options.direct_window_per_extra_host * extra_hosts
    }

    /// Highest configuration revision among live hosts, with a host that has it in force.
    pub fn newest_revision(&self, now: Instant) -> Option<(HostName, ConfigRevision)> {
        let newest = self.live(now).max_by_key(|record| record.revision)?;
        Some((newest.host.clone(), newest.revision))
    }

    /// Time without a heartbeat after which a host is silent, at the current size of the fleet.
    pub fn silent_after(&self) -> Duration {
        let extra_hosts = self.members.len().saturating_sub(FULL_MESH_HOSTS - 1) as u32;
        self.options.silent_after + self.options.silent_per_extra_host * extra_hosts
    }

    /// Time without a heartbeat after which a host is dead, at the current size of the fleet.
    pub fn dead_after(&self) -> Duration {
        self.silent_after() * self.options.dead_factor
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values()
    }

    pub(crate) fn member_mut(&mut self, host: &str) -> Option<&mut KnownMember> {
        self.members.get_mut(host)
    }

    /// Heartbeats of the live hosts, with their ages.
    pub(crate) fn live_beats(&self, now: Instant) -> impl Iterator<Item = (&HostName, MemberBeat)> {
        let live = self
            .members
            .iter()
            .filter(move |(_, member)| self.liveness_of(now, member) == MemberLiveness::Live);
        live.map(move |(host, member)| (host, member.record.beat(member.age(now))))
    }

    pub(crate) fn name_of(&self, hash: NameHash) -> Option<&HostName> {
        self.names_by_hash.get(&hash)
    }

    /// Newest heartbeat received directly from the host, to be echoed to it.
    pub(crate) fn echo_for(&self, host: &str) -> HeartbeatEcho {
        let Some(member) = self.members.get(host) else {
            return HeartbeatEcho::default();
        };
        let Some(contact) = member.direct_contact else {
            return HeartbeatEcho::default();
        };
        HeartbeatEcho { incarnation: member.record.incarnation, heartbeat: contact.heartbeat }
    }

    /// Whether the host has echoed a heartbeat of this process.
    pub(crate) fn has_echoed(&self, host: &str) -> bool {
        self.members.get(host).is_some_and(|member| member.echo_contact.is_some())
    }

    /// Whether direct contact worked in both directions: a message from the host within the limit,
    /// and an echo of a new heartbeat within three times the limit.
    pub(crate) fn is_mutual_within(&self, now: Instant, host: &str, limit: Duration) -> bool {
        let member = self.members.get(host);
        member.is_some_and(|member| {
            member.heard_within(now, limit) && member.echoed_within(now, limit * 3)
        })
    }

    pub(crate) fn liveness_of(&self, now: Instant, member: &KnownMember) -> MemberLiveness {
        let age = member.age(now);
        let dead_after = self.dead_after();
        let forget_after = if member.was_heard {
            self.options.forget_after
        } else {
            self.options.forget_unheard_after
        };
        if member.record.state == HostState::Left || age > dead_after + forget_after {
            return MemberLiveness::Gone;
        }
        if age > dead_after {
            return MemberLiveness::Dead;
        }
        if member.advanced_at.is_none() || age > self.silent_after() {
            return MemberLiveness::Silent;
        }
        MemberLiveness::Live
    }

    fn is_mutual(&self, now: Instant, member: &KnownMember) -> bool {
        let limit = self.direct_window();
        member.heard_within(now, limit) && member.echoed_within(now, limit)
    }

    /// Adds a host or replaces its older incarnation, without any contact so far.
    fn insert_member(&mut self, now: Instant, record: MemberRecord) {
        let record = MemberRecord { heartbeat: 0, ..record };
        self.names_by_hash.insert(name_hash(&record.host), record.host.clone());
        let host = record.host.clone();
        let heard_before = self.members.get(&host).is_some_and(|member| member.was_heard);
        let member = KnownMember {
            record,
            sends_left: 0,
            added_at: now,
            was_heard: heard_before,
            advanced_at: None,
            direct_contact: None,
            echo_contact: None,
        };
        self.members.insert(host, member);
    }
}

impl KnownMember {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.advanced_at.unwrap_or(self.added_at))
    }

    fn heard_within(&self, now: Instant, limit: Duration) -> bool {
        self.direct_contact
            .is_some_and(|contact| now.saturating_duration_since(contact.heard_at) <= limit)
    }

    fn echoed_within(&self, now: Instant, limit: Duration) -> bool {
        self.echo_contact
            .is_some_and(|echo| now.saturating_duration_since(echo.advanced_at) <= limit)
    }

    fn merge_state(&mut self, state: HostState) -> bool {
        let advances = state > self.record.state;
        self.record.state = self.record.state.max(state);
        advances
    }

    fn merge_revision(&mut self, revision: ConfigRevision) -> bool {
        let advances = revision > self.record.revision;
        self.record.revision = self.record.revision.max(revision);
        advances
    }
}

impl MemberRecord {
    /// Heartbeat of the record's host, with the given age.
    pub fn beat(&self, age: Duration) -> MemberBeat {
        MemberBeat {
            host: name_hash(&self.host),
            incarnation: self.incarnation,
            heartbeat: self.heartbeat,
            state: self.state,
            age,
        }
    }
}
