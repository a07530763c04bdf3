//! What hosts tell each other: small digests, exchanged with a few peers in each interval.

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

use crate::ids::{ConfigRevision, HostName, ObjectVersion};
use crate::membership::{
    DIRECT_FLEET, HeartbeatEcho, HostState, MemberBeat, MemberLiveness, MemberOptions,
    MemberRecord, MemberTable, NameHash, PeerStatus, name_hash,
};
use crate::quota::{DemandReport, QuotaKeeper, QuotaOptions};

/// Entries of each kind in a digest, so that its size is bounded.
const MAX_BEATS: usize = 16;
const MAX_DIRECT_BEATS: usize = 1;
const MAX_RECORDS: usize = 6;
const MAX_WANTED: usize = 8;
const MAX_DEMANDS: usize = 16;
const MAX_LOADS: usize = 4;
const MAX_MARKS: usize = 8;

/// Host names whose records are asked for at most.
const MAX_UNKNOWN: usize = 64;

/// Rounds in which a new configuration revision is passed on, and the time between two of them.
const URGENT_ROUNDS: u32 = 3;
const URGENT_INTERVAL: Duration = Duration::from_millis(100);

/// Peers told in an urgent round, and asked when this host was away.
const URGENT_FAN_OUT: usize = 3;

/// Age after which a load report is of no use.
const MAX_LOAD_AGE: Duration = Duration::from_secs(10);

/// Hosts in each region that read the state of an endpoint.
const POLLERS_PER_REGION: usize = 2;

/// Timing and protections of a [`GossipCore`].
#[derive(Clone, Copy, Debug)]
pub struct GossipOptions {
    /// Time between two rounds of exchanges.
    pub interval: Duration,
    /// Exchanges begun in each round in a fleet too large to reach every host.
    pub fan_out: usize,
    /// Time without any activity after which this host must have been stopped.
    pub away_after: Duration,
    /// Whether being away is noticed; only tests turn it off.
    pub notice_away: bool,
    /// Membership timing.
    pub members: MemberOptions,
    /// Quota timing.
    pub quotas: QuotaOptions,
}

impl Default for GossipOptions {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            fan_out: 1,
            away_after: Duration::from_secs(3),
            notice_away: true,
            members: MemberOptions::default(),
            quotas: QuotaOptions::default(),
        }
    }
}

/// Load of an endpoint, as one of its pollers read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Hash of the endpoint's name.
    pub endpoint: NameHash,
    /// Requests that it works on.
    pub running: u16,
    /// Requests that wait in it.
    pub waiting: u16,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time since the load was read.
    pub age: Duration,
}

/// The controller's word that an endpoint takes no new work; the highest version counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainMark {
    /// Hash of the endpoint's name.
    pub endpoint: NameHash,
    /// Version of the mark.
    pub version: ObjectVersion,
    /// Whether the endpoint takes no new work.
    pub draining: bool,
}

/// What one host tells another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerDigest {
    /// Heartbeat of the sender.
    pub sender: MemberBeat,
    /// Configuration revision that the sender has in force.
    pub revision: ConfigRevision,
    /// Highest configuration revision that the sender heard of.
    pub newest_revision: ConfigRevision,
    /// Hash of a host that has the highest revision in force.
    pub newest_host: NameHash,
    /// Newest heartbeat that the sender heard from the receiver itself.
    pub echo: HeartbeatEcho,
    /// Whether customers without a report have no demand at the sender.
    pub complete: bool,
    /// Heartbeats of other hosts.
    pub beats: Vec<MemberBeat>,
    /// Records that are new, or that the receiver asked for.
    pub records: Vec<MemberRecord>,
    /// Hosts whose records the sender lacks.
    pub wanted: Vec<NameHash>,
    /// Customers' demand at the sender.
    pub demands: Vec<DemandReport>,
    /// Endpoints' loads.
    pub loads: Vec<LoadReport>,
    /// Drain marks that changed lately.
    pub marks: Vec<DrainMark>,
}

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// Send the digest to the host, and hand its reply or failure back.
    Exchange {
        /// Host to call.
        host: HostName,
        /// IP address and port of the host.
        address: Box<str>,
        /// What to send.
        digest: Box<PeerDigest>,
    },
    /// This host was stopped for about this time and may have been replaced meanwhile.
    Woke(Duration),
}

/// One host's knowledge of the others and its part of the exchange; free of I/O.
pub struct GossipCore {
    options: GossipOptions,
    rng: ChaCha8Rng,
    table: MemberTable,
    keeper: QuotaKeeper,
    last_active: Instant,
    last_round: Instant,
    urgent_at: Option<Instant>,
    urgent_rounds: u32,
    cycle: VecDeque<HostName>,
    exchanging: BTreeSet<HostName>,
    listed: BTreeSet<HostName>,
    wanted: BTreeSet<NameHash>,
    asked: BTreeMap<HostName, Vec<NameHash>>,
    demands: Vec<DemandReport>,
    loads: BTreeMap<NameHash, KnownLoad>,
    cursors: BTreeMap<HostName, DigestCursor>,
    marks: BTreeMap<NameHash, KnownMark>,
    away_count: u64,
}

#[derive(Clone, Copy)]
struct KnownLoad {
    running: u16,
    waiting: u16,
    leaving: bool,
    read_at: Instant,
    own: bool,
}

/// Where the next digest to one receiver goes on, among what does not fit into one digest.
#[derive(Clone, Copy, Default)]
struct DigestCursor {
    load: NameHash,
    demand: usize,
}

struct KnownMark {
    mark: DrainMark,
    sends_left: u32,
}

impl GossipCore {
    /// A host that knows no other; the seed decides whom it calls when.
    pub fn new(now: Instant, own: MemberRecord, options: GossipOptions, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let phase = options.interval.mul_f64(rng.random());
        Self {
            keeper: QuotaKeeper::new(now, options.quotas, rng.random()),
            table: MemberTable::new(own, options.members),
            options,
            rng,
            last_active: now,
            last_round: now.checked_sub(phase).unwrap_or(now),
            urgent_at: None,
            urgent_rounds: 0,
            cycle: VecDeque::new(),
            exchanging: BTreeSet::new(),
            listed: BTreeSet::new(),
            wanted: BTreeSet::new(),
            asked: BTreeMap::new(),
            demands: Vec::new(),
            loads: BTreeMap::new(),
            cursors: BTreeMap::new(),
            marks: BTreeMap::new(),
            away_count: 0,
        }
    }

    /// Members as this host sees them.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Customers' limits on this host.
    pub fn keeper(&self) -> &QuotaKeeper {
        &self.keeper
    }

    /// Customers' limits on this host, to be changed or taken from.
    pub fn keeper_mut(&mut self) -> &mut QuotaKeeper {
        &mut self.keeper
    }

    /// Times that this host noticed that it had been stopped.
    pub fn away_count(&self) -> u64 {
        self.away_count
    }

    /// Notices a stop of this host before anything is decided on old knowledge.
    pub fn note_time(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_active);
        self.last_active = self.last_active.max(now);
        if gap <= self.options.away_after || !self.options.notice_away {
            return None;
        }
        self.away_count += 1;
        self.table.woke(now);
        self.keeper.woke(now);
        self.keeper.set_fleet(now, self.table.fleet(now));
        self.exchanging.clear();
        self.hurry(now);
        Some(gap)
    }

    /// Time at which [`GossipCore::tick`] is due.
    pub fn next_tick(&self) -> Instant {
        let round = self.last_round + self.options.interval;
        self.urgent_at.map_or(round, |urgent| urgent.min(round))
    }

    /// Learns of hosts that the platform lists.
    pub fn learn(&mut self, now: Instant, records: &[MemberRecord]) {
        for record in records {
            self.table.learn(now, record);
        }
        self.listed = records.iter().map(|record| record.host.clone()).collect();
        self.refresh(now);
    }

    /// Begins a round if one is due.
    pub fn tick(&mut self, now: Instant) -> Vec<GossipAction> {
        let woke = self.note_time(now).map(GossipAction::Woke);
        let mut actions: Vec<GossipAction> = woke.into_iter().collect();
        let elapsed = now.saturating_duration_since(self.last_round);
        let targets = if elapsed >= self.options.interval {
            self.begin_round(now, elapsed)
        } else {
            self.begin_urgent_round(now)
        };
        for host in targets {
            actions.extend(self.exchange_with(now, &host));
        }
        actions
    }

    /// Takes another host's digest and gives this host's in return.
    pub fn receive(&mut self, now: Instant, digest: &PeerDigest) -> PeerDigest {
        self.note_time(now);
        self.absorb(now, digest);
        let sender = self.table.name_of(digest.sender.host).cloned();
        self.digest_for(now, sender.as_deref())
    }

    /// Takes the reply to an exchange that this host began.
    pub fn reply(&mut self, now: Instant, host: &str, digest: &PeerDigest) {
        self.note_time(now);
        self.exchanging.remove(host);
        self.absorb(now, digest);
    }

    /// Learns that an exchange failed.
    pub fn failed(&mut self, host: &str) {
        self.exchanging.remove(host);
    }

    /// Sets the configuration revision that this host has in force, and tells others soon.
    pub fn announce_revision(&mut self, now: Instant, revision: ConfigRevision) {
        let own = self.table.own_mut();
        if revision <= own.revision {
            return;
        }
        own.revision = revision;
        self.hurry(now);
    }

    /// Sets what this host does, and tells others soon.
    pub fn set_state(&mut self, now: Instant, state: HostState) {
        let own = self.table.own_mut();
        own.state = own.state.max(state);
        own.heartbeat += 1;
        self.hurry(now);
    }

    /// Says farewell to a few hosts: the last exchanges of this process.
    pub fn leave(&mut self, now: Instant) -> Vec<GossipAction> {
        self.set_state(now, HostState::Left);
        let targets = self.random_live(now, DIRECT_FLEET);
        targets.iter().filter_map(|host| self.exchange_with(now, host)).collect()
    }

    /// Notes the load of an endpoint that this host read.
    pub fn record_load(
        &mut self,
        now: Instant,
        endpoint: &str,
        running: u32,
        waiting: u32,
        leaving: bool,
    ) {
        let load = KnownLoad {
            running: running.min(u32::from(u16::MAX)) as u16,
            waiting: waiting.min(u32::from(u16::MAX)) as u16,
            leaving,
            read_at: now,
            own: true,
        };
        self.loads.insert(name_hash(endpoint), load);
    }

    /// Newest load known of an endpoint, with its age.
    pub fn load_of(&self, now: Instant, endpoint: &str) -> Option<LoadReport> {
        let hash = name_hash(endpoint);
        let load = self.loads.get(&hash)?;
        let report = load.report(now, hash);
        (report.age <= MAX_LOAD_AGE).then_some(report)
    }

    /// Marks an endpoint as draining or not, under a version, and tells others.
    pub fn set_drain_mark(&mut self, endpoint: &str, version: ObjectVersion, draining: bool) {
        self.take_mark(DrainMark { endpoint: name_hash(endpoint), version, draining });
    }

    /// Whether the controller marked the endpoint as draining.
    pub fn is_draining(&self, endpoint: &str) -> bool {
        self.marks.get(&name_hash(endpoint)).is_some_and(|known| known.mark.draining)
    }

    /// Whether this host is one of the few in its region that read the state of the endpoint.
    pub fn is_poller_of(&self, now: Instant, endpoint: &str) -> bool {
        let own = self.table.own();
        let region = region_of(&own.domain);
        let endpoint = name_hash(endpoint);
        let own_weight = poll_weight(endpoint, self.table.own_hash());
        let peers = self.table.live_with_hash(now).filter(|(_, record)| {
            region_of(&record.domain) == region && record.state == HostState::Serving
        });
        let ahead = peers.filter(|&(hash, _)| poll_weight(endpoint, hash) > own_weight);
        ahead.count() < POLLERS_PER_REGION
    }

    /// Every other host that is known.
    pub(crate) fn status(&self, now: Instant) -> Vec<PeerStatus> {
        let one_way: BTreeSet<HostName> = self.table.one_way(now).into_iter().collect();
        let members = self.table.members();
        members
            .map(|member| PeerStatus {
                record: member.record.clone(),
                live: self.table.liveness_of(now, member) == MemberLiveness::Live,
                one_way: one_way.contains(&member.record.host),
            })
            .collect()
    }

    fn begin_round(&mut self, now: Instant, elapsed: Duration) -> Vec<HostName> {
        self.last_round = now;
        self.table.own_mut().heartbeat += 1;
        self.demands = self.keeper.publish(now, elapsed);
        self.refresh(now);
        self.loads.retain(|_, load| now.saturating_duration_since(load.read_at) <= MAX_LOAD_AGE);
        let mut targets =
            if self.is_direct() { self.unheard_peers(now) } else { self.next_in_cycle(now) };
        targets.extend(self.random_lost(now));
        targets
    }

    fn begin_urgent_round(&mut self, now: Instant) -> Vec<HostName> {
        if self.urgent_at.is_none_or(|urgent| urgent > now) {
            return Vec::new();
        }
        self.urgent_rounds = self.urgent_rounds.saturating_sub(1);
        self.urgent_at = (self.urgent_rounds > 0).then(|| now + URGENT_INTERVAL);
        self.random_live(now, URGENT_FAN_OUT)
    }

    fn hurry(&mut self, now: Instant) {
        self.urgent_rounds = URGENT_ROUNDS;
        self.urgent_at = Some(now);
    }

    /// Recomputes what depends on the fleet.
    fn refresh(&mut self, now: Instant) {
        self.table.prune(now, &self.listed);
        let table = &self.table;
        self.cursors.retain(|host, _| table.record(host).is_some());
        let direct = self.table.direct_window();
        let spread = self.options.interval * 2;
        let silence = self.options.members.silent_after;
        let publishing = self.demands.len().div_ceil(MAX_DEMANDS).max(1) as u32;
        let lag = direct.saturating_sub(silence) + spread * publishing;
        let join_wait = lag + self.options.interval / 2;
        self.keeper.set_window(direct + lag + self.options.interval / 2, join_wait);
        self.keeper.set_fleet(now, self.table.fleet(now));
    }

    fn is_direct(&self) -> bool {
        self.table.members().count() < DIRECT_FLEET
    }

    /// Peers that this host did not hear of lately, or that don't hear it.
    fn unheard_peers(&self, now: Instant) -> Vec<HostName> {
        let recent = self.options.interval.mul_f64(0.75);
        let counts = |host: &HostName| {
            let liveness = self.table.liveness(now, host);
            matches!(liveness, Some(MemberLiveness::Live | MemberLiveness::Silent))
        };
        let hosts = self.table.members().map(|member| member.record.host.clone());
        hosts
            .filter(counts)
            .filter(|host| !self.table.is_mutual_within(now, host, recent))
            .collect()
    }

    /// The next peers of a shuffled cycle through all of them.
    fn next_in_cycle(&mut self, now: Instant) -> Vec<HostName> {
        let mut targets = Vec::new();
        while targets.len() < self.options.fan_out {
            if self.cycle.is_empty() && !self.refill_cycle(now) {
                break;
            }
            let Some(host) = self.cycle.pop_front() else {
                break;
            };
            targets.push(host);
            if self.cycle.is_empty() {
                break;
            }
        }
        targets
    }

    fn refill_cycle(&mut self, now: Instant) -> bool {
        let mut hosts: Vec<HostName> = self
            .table
            .members()
            .filter(|member| self.table.liveness_of(now, member) <= MemberLiveness::Silent)
            .map(|member| member.record.host.clone())
            .collect();
        hosts.shuffle(&mut self.rng);
        self.cycle = hosts.into();
        !self.cycle.is_empty()
    }

    /// One host that is not heard, so that groups that were cut find each other again.
    fn random_lost(&mut self, now: Instant) -> Option<HostName> {
        let lost: Vec<&HostName> = self
            .table
            .members()
            .filter(|member| self.table.liveness_of(now, member) > MemberLiveness::Silent)
            .map(|member| &member.record.host)
            .collect();
        lost.choose(&mut self.rng).map(|host| (*host).clone())
    }

    fn random_live(&mut self, now: Instant, count: usize) -> Vec<HostName> {
        let live: Vec<HostName> = self
            .table
            .members()
            .filter(|member| self.table.liveness_of(now, member) <= MemberLiveness::Silent)
            .map(|member| member.record.host.clone())
            .collect();
        live.choose_multiple(&mut self.rng, count).cloned().collect()
    }

    fn exchange_with(&mut self, now: Instant, host: &str) -> Option<GossipAction> {
        let address = self.table.record(host)?.address.clone();
        if !self.exchanging.insert(host.into()) {
            return None;
        }
        let digest = Box::new(self.digest_for(now, Some(host)));
        Some(GossipAction::Exchange { host: host.into(), address, digest })
    }

    fn absorb(&mut self, now: Instant, digest: &PeerDigest) {
        let newest = self.newest_known(now);
        for record in &digest.records {
            if self.table.merge_record(now, record) {
                self.spread_member(&record.host);
            }
            self.wanted.remove(&name_hash(&record.host));
        }
        for beat in std::iter::once(&digest.sender).chain(&digest.beats) {
            self.absorb_beat(now, beat);
        }
        self.absorb_sender(now, digest);
        if let Some(host) = self.table.name_of(digest.newest_host).cloned() {
            self.table.take_revision(&host, digest.newest_revision);
        }
        if self.newest_known(now) > newest {
            self.hurry(now);
        }
        for load in &digest.loads {
            self.take_load(now, load);
        }
        for &mark in &digest.marks {
            self.take_mark(mark);
        }
    }

    fn absorb_beat(&mut self, now: Instant, beat: &MemberBeat) {
        match self.table.merge_beat(now, beat) {
            None if self.wanted.len() < MAX_UNKNOWN => {
                self.wanted.insert(beat.host);
            }
            Some(true) => {
                if let Some(host) = self.table.name_of(beat.host).cloned() {
                    self.spread_member(&host);
                }
            }
            _ => {}
        }
    }

    /// Takes what the sender says about itself, unless a later digest of it came before.
    fn absorb_sender(&mut self, now: Instant, digest: &PeerDigest) {
        let Some(host) = self.table.name_of(digest.sender.host).cloned() else {
            return;
        };
        if !self.table.note_direct(now, &digest.sender, digest.echo) {
            return;
        }
        if self.table.take_revision(&host, digest.revision) {
            self.spread_member(&host);
        }
        self.keeper.record_demands(&host, &digest.demands, digest.complete);
        self.asked.insert(host, digest.wanted.clone());
    }

    fn newest_known(&self, now: Instant) -> ConfigRevision {
        self.newest_holder(now).1
    }

    fn newest_holder(&self, now: Instant) -> (NameHash, ConfigRevision) {
        let own = (self.table.own_hash(), self.table.own().revision);
        let heard = self.table.newest_revision(now);
        let heard = heard.map(|(host, revision)| (name_hash(&host), revision));
        heard.filter(|heard| heard.1 > own.1).unwrap_or(own)
    }

    fn spread_member(&mut self, host: &str) {
        let sends = self.rumour_sends();
        if let Some(member) = self.table.member_mut(host) {
            member.sends_left = sends;
        }
    }

    /// Times that a host passes news on, enough to reach the whole fleet.
    fn rumour_sends(&self) -> u32 {
        let hosts = self.table.members().count() as u32 + 1;
        4 + 2 * hosts.ilog2()
    }

    fn take_load(&mut self, now: Instant, report: &LoadReport) {
        let Some(read_at) = now.checked_sub(report.age) else {
            return;
        };
        if self.loads.get(&report.endpoint).is_some_and(|known| known.read_at >= read_at) {
            return;
        }
        let LoadReport { running, waiting, leaving, .. } = *report;
        let load = KnownLoad { running, waiting, leaving, read_at, own: false };
        self.loads.insert(report.endpoint, load);
    }

    fn take_mark(&mut self, mark: DrainMark) {
        let known = self.marks.get(&mark.endpoint);
        if known.is_some_and(|known| known.mark.version >= mark.version) {
            return;
        }
        let sends_left = self.rumour_sends();
        self.marks.insert(mark.endpoint, KnownMark { mark, sends_left });
    }

    fn digest_for(&mut self, now: Instant, receiver: Option<&str>) -> PeerDigest {
        let demands = self.choose_demands(receiver);
        let (newest_host, newest_revision) = self.newest_holder(now);
        PeerDigest {
            sender: self.table.own().beat(Duration::ZERO),
            revision: self.table.own().revision,
            newest_revision,
            newest_host,
            echo: receiver.map(|host| self.table.echo_for(host)).unwrap_or_default(),
            complete: self.demands.len() <= MAX_DEMANDS,
            beats: self.choose_beats(now, receiver),
            records: self.choose_records(receiver),
            wanted: self.wanted.iter().copied().take(MAX_WANTED).collect(),
            demands,
            loads: self.choose_loads(now, receiver),
            marks: self.choose_marks(),
        }
    }

    fn choose_beats(&mut self, now: Instant, receiver: Option<&str>) -> Vec<MemberBeat> {
        let limit = if self.is_direct() { MAX_DIRECT_BEATS } else { MAX_BEATS };
        let others = self.table.live_beats(now).filter(|(host, _)| Some(&***host) != receiver);
        let beats: Vec<MemberBeat> = others.map(|(_, beat)| beat).collect();
        beats.choose_multiple(&mut self.rng, limit).copied().collect()
    }

    fn choose_records(&mut self, receiver: Option<&str>) -> Vec<MemberRecord> {
        let mut records = Vec::new();
        if receiver.is_none_or(|host| !self.table.knows_us(host)) {
            records.push(self.table.own().clone());
        }
        let asked = receiver.and_then(|host| self.asked.remove(host)).unwrap_or_default();
        for hash in asked {
            let record = self.table.name_of(hash).and_then(|host| self.table.record(host));
            records.extend(record.cloned());
        }
        let room = MAX_RECORDS.saturating_sub(records.len());
        records.extend(self.table.take_rumours(room));
        records.truncate(MAX_RECORDS + MAX_WANTED);
        records
    }

    /// The customers with the highest demand, and the others in turn.
    fn choose_demands(&mut self, receiver: Option<&str>) -> Vec<DemandReport> {
        if self.demands.len() <= MAX_DEMANDS {
            return self.demands.clone();
        }
        let mut cursor = self.cursor_of(receiver);
        let (top, rest) = self.demands.split_at(MAX_DEMANDS / 2);
        let turns = rest.iter().cycle().skip(cursor.demand % rest.len());
        let chosen = top.iter().chain(turns.take(rest.len().min(MAX_DEMANDS / 2)));
        let chosen = chosen.copied().collect();
        cursor.demand = (cursor.demand + MAX_DEMANDS / 2) % rest.len();
        self.set_cursor(receiver, cursor);
        chosen
    }

    fn cursor_of(&self, receiver: Option<&str>) -> DigestCursor {
        receiver.and_then(|host| self.cursors.get(host)).copied().unwrap_or_default()
    }

    fn set_cursor(&mut self, receiver: Option<&str>, cursor: DigestCursor) {
        if let Some(host) = receiver {
            self.cursors.insert(host.into(), cursor);
        }
    }

    /// Loads in turn; in a small fleet only those that this host read itself.
    fn choose_loads(&mut self, now: Instant, receiver: Option<&str>) -> Vec<LoadReport> {
        let own_only = self.is_direct();
        let mut cursor = self.cursor_of(receiver);
        let after = self.loads.range(cursor.load.saturating_add(1)..);
        let around = after.chain(self.loads.range(..=cursor.load));
        let chosen = around.filter(|(_, load)| load.own || !own_only).take(MAX_LOADS);
        let reports: Vec<_> = chosen.map(|(&hash, load)| load.report(now, hash)).collect();
        if let Some(last) = reports.last() {
            cursor.load = last.endpoint;
            self.set_cursor(receiver, cursor);
        }
        reports
    }

    fn choose_marks(&mut self) -> Vec<DrainMark> {
        let fresh = self.marks.values_mut().filter(|known| known.sends_left > 0).take(MAX_MARKS);
        let mut chosen = Vec::new();
        for known in fresh {
            known.sends_left -= 1;
            chosen.push(known.mark);
        }
        chosen.extend(self.old_mark());
        chosen
    }

    /// One mark that was spread before, for hosts that joined since.
    fn old_mark(&mut self) -> Option<DrainMark> {
        let spread = |known: &&KnownMark| known.mark.draining && known.sends_left == 0;
        let marks: Vec<DrainMark> =
            self.marks.values().filter(spread).map(|known| known.mark).collect();
        marks.choose(&mut self.rng).copied()
    }
}

impl KnownLoad {
    fn report(&self, now: Instant, endpoint: NameHash) -> LoadReport {
        let Self { running, waiting, leaving, read_at, .. } = *self;
        let age = now.saturating_duration_since(read_at);
        LoadReport { endpoint, running, waiting, leaving, age }
    }
}

/// Region of a failure domain: the part of its name before the first `/`, if it has one.
fn region_of(domain: &str) -> &str {
    domain.split_once('/').map_or("", |(region, _)| region)
}

/// Weight of a host for an endpoint by rendezvous hashing.
fn poll_weight(endpoint: NameHash, host: NameHash) -> u64 {
    let mixed = (endpoint ^ host.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 32)
}
