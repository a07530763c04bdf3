//! Hosts of the system, as one of them sees the others.

use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

use crate::ids::{ConfigRevision, DomainName, HostName, Incarnation};
use crate::quota::FleetView;

/// First 64 bits of the SHA-256 of a name: names travel between hosts in this short form.
pub type NameHash = u64;

/// Count of intervals that a host's process has run; judged only by when it advances.
pub type HeartbeatCount = u32;

/// Hashes a name for the exchange between hosts.
///
/// ```
/// assert_ne!(jacinthrock::name_hash("router-1"), jacinthrock::name_hash("router-2"));
/// ```
pub fn name_hash(name: &str) -> NameHash {
    let digest = Sha256::digest(name.as_bytes());
    u64::from_le_bytes(digest[..8].try_into().expect("a digest has more than 8 bytes"))
}

/// What a host says that it does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostState {
    /// Takes requests.
    #[default]
    Serving,
    /// Finishes what it has.
    Draining,
    /// Has left; its heartbeat won't rise again.
    Left,
}

/// A host's process with everything that others know about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// IP address and port for peers.
    pub address: Box<str>,
    /// Run of the process.
    pub incarnation: Incarnation,
    /// Newest heartbeat.
    pub heartbeat: HeartbeatCount,
    /// Configuration revision in force.
    pub revision: ConfigRevision,
    /// What the host does.
    pub state: HostState,
}

/// The part of a record that changes all the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberBeat {
    /// Hash of the host's name.
    pub host: NameHash,
    /// Run of the process.
    pub incarnation: Incarnation,
    /// Newest heartbeat.
    pub heartbeat: HeartbeatCount,
    /// What the host does.
    pub state: HostState,
    /// Time since the heartbeat rose, so that passing it on does not make it newer.
    pub age: Duration,
}

/// Newest heartbeat that one host heard from another itself; all 0 for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatEcho {
    /// Run of the process that was heard.
    pub incarnation: Incarnation,
    /// Heartbeat that was heard.
    pub heartbeat: HeartbeatCount,
}

/// Another host, for status pages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// What the host says about itself.
    pub record: MemberRecord,
    /// Whether it was heard lately.
    pub is_live: bool,
    /// Whether it is heard but doesn't hear this host.
    pub is_one_way: bool,
}

/// How lately a host was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberLiveness {
    /// Its heartbeat rose lately.
    Live,
    /// Its heartbeat did not rise for a short while, or it was never heard.
    Silent,
    /// Its heartbeat did not rise for long enough to count it out.
    Dead,
    /// It left, or was dead for so long that it no longer counts.
    Gone,
}

/// Times after which a host that is not heard changes its liveness.
#[derive(Clone, Copy, Debug)]
pub struct MemberOptions {
    /// Silence of a live host in a fleet in which every host hears every other directly.
    pub silent_after: Duration,
    /// Silence added for each further host, as heartbeats then travel through others.
    pub silent_per_extra_host: Duration,
    /// Time added for each further host in which all exchange directly.
    pub direct_window_per_extra_host: Duration,
    /// A host is dead after this many times the silence.
    pub dead_factor: u32,
    /// A dead host no longer counts in the fleet after this time.
    pub forget_after: Duration,
    /// The same for a host that the platform lists and that was never heard.
    pub forget_unheard_after: Duration,
    /// Whether a heartbeat counts only when it advances; only tests turn it off.
    pub ignores_stale_heartbeats: bool,
    /// Whether the age of a heartbeat counts when it is passed on; only tests turn it off.
    pub applies_relayed_age: bool,
    /// Whether runs of a host's process are told apart; only tests turn it off.
    pub compares_incarnations: bool,
}

/// Fleet size up to which every host exchanges directly with every other in each interval.
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

/// Members of the fleet, from the point of view of one of them.
///
/// A restarted host is a new incarnation of the same name. Liveness is judged by this host's own
/// clock from the last time a heartbeat rose; times of other hosts are never compared.
pub struct MemberTable {
    options: MemberOptions,
    own_record: MemberRecord,
    own_hash: NameHash,
    members: BTreeMap<HostName, KnownMember>,
    names_by_hash: BTreeMap<NameHash, HostName>,
    is_superseded: bool,
}

/// Another host, with when and how it was heard.
pub(crate) struct KnownMember {
    pub(crate) record: MemberRecord,
    pub(crate) sends_left: u32,
    added_at: Instant,
    was_heard: bool,
    advanced_at: Option<Instant>,
    direct_contact: Option<DirectContact>,
    echo_contact: Option<EchoContact>,
}

#[derive(Clone, Copy)]
struct DirectContact {
    heard_at: Instant,
    heartbeat: HeartbeatCount,
}

/// Newest own heartbeat that the other host says it heard from this one.
#[derive(Clone, Copy)]
struct EchoContact {
    heartbeat: HeartbeatCount,
    advanced_at: Instant,
}

impl MemberTable {
    /// A table that knows only its own host.
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

    /// Whether a later process runs under this host's name.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Learns that a host may exist, from the platform; it counts as live only once heard.
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

    /// Merges a record from another host. Returns whether it told anything new.
    ///
    /// A record tells that a run of a process exists; only its heartbeats make it live.
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

    /// Merges a heartbeat. Returns `None` if the host or its incarnation is not known.
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

    /// Notes that a message came from the host itself, with the heartbeat of this host that it
    /// says it heard.
    ///
    /// Returns whether the message is the newest of the host's present incarnation.
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

    /// Takes a revision that the host itself announced. Returns whether it is a new one.
    pub(crate) fn merge_revision(&mut self, host: &str, revision: ConfigRevision) -> bool {
        self.members.get_mut(host).is_some_and(|member| member.merge_revision(revision))
    }

    /// Records that still have to be passed on, those passed on least first.
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

    /// Forgets how lately others were heard: called after this host was away.
    pub fn reset_contacts(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            member.advanced_at = None;
            member.added_at = now;
            member.direct_contact = None;
            member.echo_contact = None;
        }
    }

    /// Drops members that no longer count and were not heard for twice as long.
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

    /// Records of the hosts heard lately, this one left out.
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

    /// Whether this incarnation of a host was heard lately.
    pub fn is_live(&self, now: Instant, host: &str, incarnation: Incarnation) -> bool {
        let Some(member) = self.members.get(host) else {
            return false;
        };
        member.record.incarnation == incarnation
            && self.liveness_of(now, member) == MemberLiveness::Live
    }

    /// Live hosts that send to this one but don't hear it.
    pub fn one_way(&self, now: Instant) -> Vec<HostName> {
        let limit = self.direct_window();
        let is_one_way = |member: &&KnownMember| {
            member.heard_within(now, limit) && !member.echoed_within(now, limit)
        };
        self.members.values().filter(is_one_way).map(|member| member.record.host.clone()).collect()
    }

    /// Other hosts, by how they count when limits are divided: as live only those that this host
    /// and they hear directly of each other, since demands travel directly.
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

    /// Time in which every live host exchanges directly with every other.
    pub fn direct_window(&self) -> Duration {
        let extra_hosts = self.members.len().saturating_sub(FULL_MESH_HOSTS - 1) as u32;
        self.options.silent_after + self.options.direct_window_per_extra_host * extra_hosts
    }

    /// Highest configuration revision among live hosts, with a host that has it.
    pub fn newest_revision(&self, now: Instant) -> Option<(HostName, ConfigRevision)> {
        let newest = self.live(now).max_by_key(|record| record.revision)?;
        Some((newest.host.clone(), newest.revision))
    }

    /// Silence after which a host is no longer live, at the present size of the fleet.
    pub fn silent_after(&self) -> Duration {
        let extra_hosts = self.members.len().saturating_sub(FULL_MESH_HOSTS - 1) as u32;
        self.options.silent_after + self.options.silent_per_extra_host * extra_hosts
    }

    /// Silence after which a host is dead, at the present size of the fleet.
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

    /// Newest heartbeat heard from the host itself, to be echoed to it.
    pub(crate) fn echo_for(&self, host: &str) -> HeartbeatEcho {
        let Some(member) = self.members.get(host) else {
            return HeartbeatEcho::default();
        };
        let Some(contact) = member.direct_contact else {
            return HeartbeatEcho::default();
        };
        HeartbeatEcho { incarnation: member.record.incarnation, heartbeat: contact.heartbeat }
    }

    pub(crate) fn has_echoed(&self, host: &str) -> bool {
        self.members.get(host).is_some_and(|member| member.echo_contact.is_some())
    }

    /// Whether this host and the other heard each other directly within the limit.
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
    /// The part of the record that changes all the time, with the age of its heartbeat.
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
