//! Hosts of the system, as one of them sees the others.

use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

use crate::ids::{ConfigRevision, DomainName, HostName, Incarnation};
use crate::quota::FleetView;

/// First 64 bits of the SHA-256 of a name: names travel between hosts in this short form.
pub type NameHash = u64;

/// Count of intervals that a host's process has run; judged only by when it rises.
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
    pub live: bool,
    /// Whether it is heard but doesn't hear this host.
    pub one_way: bool,
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
    pub silent_per_host: Duration,
    /// Time added for each further host in which all exchange directly.
    pub direct_per_host: Duration,
    /// A host is dead after this many times the silence.
    pub dead_factor: u32,
    /// A dead host no longer counts in the fleet after this time.
    pub forget_after: Duration,
    /// The same for a host that the platform lists and that was never heard.
    pub forget_unheard_after: Duration,
    /// Whether a heartbeat counts only when it rises; only tests turn it off.
    pub rising_only: bool,
    /// Whether runs of a host's process are told apart; only tests turn it off.
    pub incarnations: bool,
}

/// Fleet size up to which every host exchanges directly with every other in each interval.
pub(crate) const DIRECT_FLEET: usize = 8;

impl Default for MemberOptions {
    fn default() -> Self {
        Self {
            silent_after: Duration::from_millis(3500),
            silent_per_host: Duration::from_millis(600),
            direct_per_host: Duration::from_millis(2000),
            dead_factor: 2,
            forget_after: Duration::from_secs(600),
            forget_unheard_after: Duration::from_secs(60),
            rising_only: true,
            incarnations: true,
        }
    }
}

/// Members of the fleet, from the point of view of one of them.
///
/// A restarted host is a new incarnation of the same name. Liveness is judged by this host's own
/// clock from the last time a heartbeat rose; times of other hosts are never compared.
pub struct MemberTable {
    options: MemberOptions,
    own: MemberRecord,
    own_hash: NameHash,
    members: BTreeMap<HostName, KnownMember>,
    names: BTreeMap<NameHash, HostName>,
    superseded: bool,
}

/// Another host, with when and how it was heard.
pub(crate) struct KnownMember {
    pub(crate) record: MemberRecord,
    pub(crate) sends_left: u32,
    learned: Instant,
    ever_heard: bool,
    risen: Option<Instant>,
    direct: Option<DirectContact>,
    echo: Option<EchoContact>,
}

#[derive(Clone, Copy)]
struct DirectContact {
    at: Instant,
    heartbeat: HeartbeatCount,
}

/// Newest own heartbeat that the other host says it heard from this one.
#[derive(Clone, Copy)]
struct EchoContact {
    heartbeat: HeartbeatCount,
    risen: Instant,
}

impl MemberTable {
    /// A table that knows only its own host.
    pub fn new(own: MemberRecord, options: MemberOptions) -> Self {
        let own_hash = name_hash(&own.host);
        Self {
            options,
            own,
            own_hash,
            members: BTreeMap::new(),
            names: BTreeMap::new(),
            superseded: false,
        }
    }

    /// This host's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    pub(crate) fn own_mut(&mut self) -> &mut MemberRecord {
        &mut self.own
    }

    /// Whether a later process runs under this host's name.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Learns that a host may exist, from the platform; it counts as live only once heard.
    pub fn learn(&mut self, now: Instant, record: &MemberRecord) -> bool {
        let known = self.members.get(&record.host);
        if known.is_some_and(|member| member.record.incarnation >= record.incarnation) {
            return false;
        }
        if record.host == self.own.host {
            self.superseded |= record.incarnation > self.own.incarnation;
            return false;
        }
        let record = MemberRecord { heartbeat: 0, ..record.clone() };
        self.replace(now, record, None);
        true
    }

    /// Merges a record from another host. Returns whether it told anything new.
    pub fn merge_record(&mut self, now: Instant, record: &MemberRecord) -> bool {
        if record.host == self.own.host {
            self.superseded |= record.incarnation > self.own.incarnation;
            return false;
        }
        let told_apart = self.options.incarnations;
        let Some(member) = self.members.get_mut(&record.host) else {
            self.replace(now, record.clone(), Some(now));
            return true;
        };
        if told_apart && record.incarnation < member.record.incarnation {
            return false;
        }
        if told_apart && record.incarnation > member.record.incarnation {
            self.replace(now, record.clone(), Some(now));
            return true;
        }
        let changed = member.take_revision(record.revision);
        member.record.address = record.address.clone();
        member.record.domain = record.domain.clone();
        let beat = record.beat();
        self.merge_beat(now, &beat).unwrap_or(false) || changed
    }

    /// Merges a heartbeat. Returns `None` if the host or its incarnation is not known.
    pub fn merge_beat(&mut self, now: Instant, beat: &MemberBeat) -> Option<bool> {
        if beat.host == self.own_hash {
            self.superseded |= beat.incarnation > self.own.incarnation;
            return Some(false);
        }
        let name = self.names.get(&beat.host)?;
        let member = self.members.get_mut(name)?;
        if self.options.incarnations && beat.incarnation > member.record.incarnation {
            return None;
        }
        if self.options.incarnations && beat.incarnation < member.record.incarnation {
            return Some(false);
        }
        let rises = beat.heartbeat > member.record.heartbeat;
        if !rises && self.options.rising_only {
            return Some(false);
        }
        member.record.heartbeat = member.record.heartbeat.max(beat.heartbeat);
        member.risen = Some(now);
        member.ever_heard = true;
        let changed = member.record.state != beat.state;
        member.record.state = member.record.state.max(beat.state);
        Some(changed)
    }

    /// Notes that a message came from the host itself, with the heartbeat of this host that it
    /// says it heard.
    ///
    /// Returns whether the message is the newest of the host's present incarnation.
    pub(crate) fn note_direct(
        &mut self,
        now: Instant,
        beat: &MemberBeat,
        echo: HeartbeatEcho,
    ) -> bool {
        let own = self.own.incarnation;
        let Some(member) = self.names.get(&beat.host).and_then(|name| self.members.get_mut(name))
        else {
            return false;
        };
        let late = member.direct.is_some_and(|contact| contact.heartbeat > beat.heartbeat);
        if late || member.record.incarnation != beat.incarnation {
            return false;
        }
        member.direct = Some(DirectContact { at: now, heartbeat: beat.heartbeat });
        let rises = member.echo.is_none_or(|known| known.heartbeat < echo.heartbeat);
        if rises && echo.incarnation == own {
            member.echo = Some(EchoContact { heartbeat: echo.heartbeat, risen: now });
        }
        true
    }

    /// Takes a revision that the host itself announced. Returns whether it is a new one.
    pub(crate) fn take_revision(&mut self, host: &str, revision: ConfigRevision) -> bool {
        self.members.get_mut(host).is_some_and(|member| member.take_revision(revision))
    }

    /// Records that still have to be passed on, those passed on least first.
    pub(crate) fn take_rumours(&mut self, count: usize) -> Vec<MemberRecord> {
        let mut fresh: Vec<&mut KnownMember> =
            self.members.values_mut().filter(|member| member.sends_left > 0).collect();
        fresh.sort_by_key(|member| std::cmp::Reverse(member.sends_left));
        let mut records = Vec::new();
        for member in fresh.into_iter().take(count) {
            member.sends_left -= 1;
            records.push(member.record.clone());
        }
        records
    }

    /// Forgets how lately others were heard: called after this host was away.
    pub fn woke(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            member.risen = None;
            member.learned = now;
            member.direct = None;
            member.echo = None;
        }
    }

    /// Drops members that no longer count and were not heard for twice as long.
    pub fn prune(&mut self, now: Instant, listed: &BTreeSet<HostName>) {
        let limit = self.options.forget_after * 2;
        let members = &mut self.members;
        members.retain(|name, member| member.age(now) < limit || listed.contains(name));
        self.names.retain(|_, name| members.contains_key(name));
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
        let members = self.names.iter().filter_map(|(&hash, name)| {
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
        let deaf = |member: &&KnownMember| {
            member.heard_within(now, limit) && !member.echoed_within(now, limit)
        };
        self.members.values().filter(deaf).map(|member| member.record.host.clone()).collect()
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
        let further = self.members.len().saturating_sub(DIRECT_FLEET - 1) as u32;
        self.options.silent_after + self.options.direct_per_host * further
    }

    /// Highest configuration revision among live hosts, with a host that has it.
    pub fn newest_revision(&self, now: Instant) -> Option<(HostName, ConfigRevision)> {
        let newest = self.live(now).max_by_key(|record| record.revision)?;
        Some((newest.host.clone(), newest.revision))
    }

    /// Silence after which a host is no longer live, at the present size of the fleet.
    pub fn silent_after(&self) -> Duration {
        let further = self.members.len().saturating_sub(DIRECT_FLEET - 1) as u32;
        self.options.silent_after + self.options.silent_per_host * further
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

    pub(crate) fn name_of(&self, hash: NameHash) -> Option<&HostName> {
        self.names.get(&hash)
    }

    /// Newest heartbeat heard from the host itself, to be echoed to it.
    pub(crate) fn echo_for(&self, host: &str) -> HeartbeatEcho {
        let Some(member) = self.members.get(host) else {
            return HeartbeatEcho::default();
        };
        let Some(contact) = member.direct else {
            return HeartbeatEcho::default();
        };
        HeartbeatEcho { incarnation: member.record.incarnation, heartbeat: contact.heartbeat }
    }

    pub(crate) fn knows_us(&self, host: &str) -> bool {
        self.members.get(host).is_some_and(|member| member.echo.is_some())
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
        let forget_after = if member.ever_heard {
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
        if member.risen.is_none() || age > self.silent_after() {
            return MemberLiveness::Silent;
        }
        MemberLiveness::Live
    }

    fn is_mutual(&self, now: Instant, member: &KnownMember) -> bool {
        let limit = self.direct_window();
        member.heard_within(now, limit) && member.echoed_within(now, limit)
    }

    fn replace(&mut self, now: Instant, record: MemberRecord, risen: Option<Instant>) {
        self.names.insert(name_hash(&record.host), record.host.clone());
        let host = record.host.clone();
        let heard_before = self.members.get(&host).is_some_and(|member| member.ever_heard);
        let member = KnownMember {
            record,
            sends_left: 0,
            learned: now,
            ever_heard: heard_before || risen.is_some(),
            risen,
            direct: None,
            echo: None,
        };
        self.members.insert(host, member);
    }
}

impl KnownMember {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.risen.unwrap_or(self.learned))
    }

    fn heard_within(&self, now: Instant, limit: Duration) -> bool {
        self.direct.is_some_and(|contact| now.saturating_duration_since(contact.at) <= limit)
    }

    fn echoed_within(&self, now: Instant, limit: Duration) -> bool {
        self.echo.is_some_and(|echo| now.saturating_duration_since(echo.risen) <= limit)
    }

    fn take_revision(&mut self, revision: ConfigRevision) -> bool {
        let rises = revision > self.record.revision;
        self.record.revision = self.record.revision.max(revision);
        rises
    }
}

impl MemberRecord {
    /// The part of the record that changes all the time.
    pub fn beat(&self) -> MemberBeat {
        MemberBeat {
            host: name_hash(&self.host),
            incarnation: self.incarnation,
            heartbeat: self.heartbeat,
            state: self.state,
        }
    }
}
