//! Gossip protocol: hosts exchange small digests with a few peers in each interval.

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

use crate::ids::{ConfigRevision, HostName, ObjectVersion};
use crate::membership::{
    FULL_MESH_HOSTS, HeartbeatEcho, HostState, MemberBeat, MemberLiveness, MemberOptions,
    MemberRecord, MemberTable, NameHash, PeerStatus, name_hash,
};
use crate::quota::{DemandReport, QuotaAllocator, QuotaOptions};

/// Maximum entries of each kind in a digest, which bounds its size.
const MAX_BEATS: usize = 16;
const MAX_FULL_MESH_BEATS: usize = 1;
const MAX_RECORDS: usize = 6;
const MAX_WANTED: usize = 8;
const MAX_DEMANDS: usize = 16;
const MAX_LOADS: usize = 4;
const MAX_MARKS: usize = 8;

/// Maximum number of unknown hosts whose records are requested.
const MAX_WANTED_HOSTS: usize = 64;

/// Extra rounds after urgent news, such as a new configuration revision, and the time between two
/// of them.
const URGENT_ROUNDS: u32 = 3;
const URGENT_INTERVAL: Duration = Duration::from_millis(100);

/// Peers contacted in an urgent round, including the rounds after a pause of this process.
const URGENT_FAN_OUT: usize = 3;

/// Age after which a load report is discarded.
const MAX_LOAD_AGE: Duration = Duration::from_secs(10);

/// Hosts in each region that poll an endpoint.
const POLLERS_PER_REGION: usize = 2;

/// Timing and protections of a [`GossipCore`].
#[derive(Clone, Copy, Debug)]
pub struct GossipOptions {
    /// Time between two rounds of exchanges.
    pub interval: Duration,
    /// Peers contacted in each round in a fleet too large for a full mesh.
    pub fan_out: usize,
    /// Time without any activity after which this process is taken to have been paused.
    pub pause_threshold: Duration,
    /// Whether pauses of this process are detected; only tests disable this.
    pub detects_pauses: bool,
    /// Timeouts and protections of the membership table.
    pub members: MemberOptions,
    /// Timing and protections of the customers' limits.
    pub quotas: QuotaOptions,
}

impl Default for GossipOptions {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            fan_out: 1,
            pause_threshold: Duration::from_secs(3),
            detects_pauses: true,
            members: MemberOptions::default(),
            quotas: QuotaOptions::default(),
        }
    }
}

/// Load of an endpoint, as read by one of its pollers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Hash of the endpoint's name.
    pub endpoint: NameHash,
    /// Requests that it is processing.
    pub running: u16,
    /// Requests in its queue.
    pub waiting: u16,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Time since the load was read.
    pub age: Duration,
}

/// The controller's decision whether an endpoint is draining; the highest version wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainMark {
    /// Hash of the endpoint's name.
    pub endpoint: NameHash,
    /// Version of the decision.
    pub version: ObjectVersion,
    /// Whether the endpoint must get no new work.
    pub draining: bool,
}

/// State that one host sends to another in an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerDigest {
    /// Heartbeat of the sender.
    pub sender: MemberBeat,
    /// Configuration revision that the sender has in force.
    pub revision: ConfigRevision,
    /// Highest configuration revision known to the sender.
    pub newest_revision: ConfigRevision,
    /// Hash of a host that has the highest revision in force.
    pub newest_host: NameHash,
    /// Newest heartbeat that the sender received directly from the receiver.
    pub echo: HeartbeatEcho,
    /// Whether `demands` covers all customers, so that those without a report have no demand at the
    /// sender.
    pub complete: bool,
    /// Heartbeats of other hosts.
    pub beats: Vec<MemberBeat>,
    /// Records that changed recently or that the receiver requested.
    pub records: Vec<MemberRecord>,
    /// Hosts whose records the sender requests.
    pub wanted: Vec<NameHash>,
    /// Demand of customers at the sender.
    pub demands: Vec<DemandReport>,
    /// Loads of endpoints.
    pub loads: Vec<LoadReport>,
    /// Drain marks that changed recently, and at times an older one for hosts that joined later.
    pub marks: Vec<DrainMark>,
}

/// Action that the caller of [`GossipCore`] must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// Send the digest to the host, then call [`GossipCore::handle_reply`] or
    /// [`GossipCore::handle_failure`].
    Exchange {
        /// Host to call.
        host: HostName,
        /// IP address and port of the host.
        address: Box<str>,
        /// Digest to send.
        digest: Box<PeerDigest>,
    },
    /// This process was paused for about this time and may have been replaced meanwhile.
    Resumed(Duration),
}

/// Gossip state of one host: members, customers' limits, endpoint loads and drain marks.
///
/// Performs no I/O: the caller sends the digests and passes in the replies.
pub struct GossipCore {
    options: GossipOptions,
    rng: ChaCha8Rng,
    table: MemberTable,
    allocator: QuotaAllocator,
    last_active: Instant,
    last_round: Instant,
    next_urgent_round: Option<Instant>,
    urgent_rounds_left: u32,
    cycle: VecDeque<HostName>,
    exchanging: BTreeSet<HostName>,
    listed_hosts: BTreeSet<HostName>,
    /// Unknown hosts whose records this host requests.
    wanted: BTreeSet<NameHash>,
    /// Records that each peer requested in its last digest.
    wanted_by: BTreeMap<HostName, Vec<NameHash>>,
    demands: Vec<DemandReport>,
    loads: BTreeMap<NameHash, KnownLoad>,
    cursors: BTreeMap<HostName, DigestCursor>,
    marks: BTreeMap<NameHash, KnownMark>,
    pause_count: u64,
}

#[derive(Clone, Copy)]
struct KnownLoad {
    running: u16,
    waiting: u16,
    leaving: bool,
    read_at: Instant,
    /// Whether this host polled the endpoint itself.
    is_own: bool,
}

/// Position at which the next digest to a receiver continues, where the loads and demands do not
/// fit into one digest.
#[derive(Clone, Copy, Default)]
struct DigestCursor {
    load: NameHash,
    demand: usize,
}

struct KnownMark {
    mark: DrainMark,
    /// Number of digests in which the mark is still to be sent.
    sends_left: u32,
}

impl GossipCore {
    /// Creates the state of a host that knows no other. The seed determines which peers it contacts
    /// and when.
    pub fn new(now: Instant, own_record: MemberRecord, options: GossipOptions, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let phase = options.interval.mul_f64(rng.random());
        Self {
            allocator: QuotaAllocator::new(now, options.quotas, rng.random()),
            table: MemberTable::new(own_record, options.members),
            options,
            rng,
            last_active: now,
            last_round: now.checked_sub(phase).unwrap_or(now),
            next_urgent_round: None,
            urgent_rounds_left: 0,
            cycle: VecDeque::new(),
            exchanging: BTreeSet::new(),
            listed_hosts: BTreeSet::new(),
            wanted: BTreeSet::new(),
            wanted_by: BTreeMap::new(),
            demands: Vec::new(),
            loads: BTreeMap::new(),
            cursors: BTreeMap::new(),
            marks: BTreeMap::new(),
            pause_count: 0,
        }
    }

    /// Members as this host sees them.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Customers' limits on this host.
    pub fn allocator(&self) -> &QuotaAllocator {
        &self.allocator
    }

    /// Customers' limits on this host, for changes and admission of requests.
    pub fn allocator_mut(&mut self) -> &mut QuotaAllocator {
        &mut self.allocator
    }

    /// Number of detected pauses of this process.
    pub fn pause_count(&self) -> u64 {
        self.pause_count
    }

    /// Detects a pause of this process since the last activity and discards what it made stale.
    ///
    /// Called before any decision, so that none is based on stale state. Returns the length of a
    /// detected pause.
    pub fn record_activity(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_active);
        self.last_active = self.last_active.max(now);
        if gap <= self.options.pause_threshold || !self.options.detects_pauses {
            return None;
        }
        self.pause_count += 1;
        self.table.reset_contacts(now);
        self.allocator.reset_after_pause(now);
        self.allocator.set_fleet(now, self.table.fleet(now));
        self.exchanging.clear();
        self.start_urgent_rounds(now);
        Some(gap)
    }

    /// Time at which [`GossipCore::tick`] is due.
    pub fn next_tick(&self) -> Instant {
        let round = self.last_round + self.options.interval;
        self.next_urgent_round.map_or(round, |urgent| urgent.min(round))
    }

    /// Sets the hosts that the platform lists.
    pub fn set_listed_hosts(&mut self, now: Instant, records: &[MemberRecord]) {
        for record in records {
            self.table.add_listed_host(now, record);
        }
        self.listed_hosts = records.iter().map(|record| record.host.clone()).collect();
        self.refresh(now);
    }

    /// Begins a regular or urgent round if one is due.
    pub fn tick(&mut self, now: Instant) -> Vec<GossipAction> {
        let resumed = self.record_activity(now).map(GossipAction::Resumed);
        let mut actions: Vec<GossipAction> = resumed.into_iter().collect();
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

    /// Applies a digest from another host and returns this host's digest as the reply.
    pub fn handle_request(&mut self, now: Instant, digest: &PeerDigest) -> PeerDigest {
        self.record_activity(now);
        self.apply_digest(now, digest);
        let sender = self.table.name_of(digest.sender.host).cloned();
        self.digest_for(now, sender.as_deref())
    }

    /// Applies the reply to an exchange that this host began.
    pub fn handle_reply(&mut self, now: Instant, host: &str, digest: &PeerDigest) {
        self.record_activity(now);
        self.exchanging.remove(host);
        self.apply_digest(now, digest);
    }

    /// Ends a failed exchange, so that the host can be contacted again.
    pub fn handle_failure(&mut self, host: &str) {
        self.exchanging.remove(host);
    }

    /// Raises the configuration revision that this host has in force and starts urgent rounds.
    pub fn announce_revision(&mut self, now: Instant, revision: ConfigRevision) {
        let own_record = self.table.own_record_mut();
        if revision <= own_record.revision {
            return;
        }
        own_record.revision = revision;
        self.start_urgent_rounds(now);
    }

    /// Advances this host's lifecycle state and starts urgent rounds.
    pub fn set_state(&mut self, now: Instant, state: HostState) {
        let own_record = self.table.own_record_mut();
        own_record.state = own_record.state.max(state);
        own_record.heartbeat += 1;
        self.start_urgent_rounds(now);
    }

    /// Marks this host as left and returns its last exchanges, with a few random hosts.
    pub fn leave(&mut self, now: Instant) -> Vec<GossipAction> {
        self.set_state(now, HostState::Left);
        let targets = self.random_live(now, FULL_MESH_HOSTS);
        targets.iter().filter_map(|host| self.exchange_with(now, host)).collect()
    }

    /// Records the load of an endpoint that this host polled.
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
            is_own: true,
        };
        self.loads.insert(name_hash(endpoint), load);
    }

    /// Newest known load of an endpoint, with its age.
    pub fn load_of(&self, now: Instant, endpoint: &str) -> Option<LoadReport> {
        let hash = name_hash(endpoint);
        let load = self.loads.get(&hash)?;
        let report = load.report(now, hash);
        (report.age <= MAX_LOAD_AGE).then_some(report)
    }

    /// Sets an endpoint's drain mark and disseminates it, unless a mark with the same or a higher
    /// version is known.
    pub fn set_drain_mark(&mut self, endpoint: &str, version: ObjectVersion, draining: bool) {
        self.apply_mark(DrainMark { endpoint: name_hash(endpoint), version, draining });
    }

    /// Whether the controller marked the endpoint as draining.
    pub fn is_draining(&self, endpoint: &str) -> bool {
        self.marks.get(&name_hash(endpoint)).is_some_and(|known| known.mark.draining)
    }

    /// Whether this host is one of the few in its region that poll the endpoint.
    pub fn is_poller_of(&self, now: Instant, endpoint: &str) -> bool {
        let own_record = self.table.own_record();
        let region = region_of(&own_record.domain);
        let endpoint = name_hash(endpoint);
        let own_weight = poll_weight(endpoint, self.table.own_hash());
        let peers = self.table.live_with_hash(now).filter(|(_, record)| {
            region_of(&record.domain) == region && record.state == HostState::Serving
        });
        let ahead = peers.filter(|&(hash, _)| poll_weight(endpoint, hash) > own_weight);
        ahead.count() < POLLERS_PER_REGION
    }

    /// Status of every other known host.
    pub(crate) fn status(&self, now: Instant) -> Vec<PeerStatus> {
        let one_way: BTreeSet<HostName> = self.table.one_way(now).into_iter().collect();
        let members = self.table.members();
        members
            .map(|member| PeerStatus {
                record: member.record.clone(),
                is_live: self.table.liveness_of(now, member) == MemberLiveness::Live,
                is_one_way: one_way.contains(&member.record.host),
            })
            .collect()
    }

    fn begin_round(&mut self, now: Instant, elapsed: Duration) -> Vec<HostName> {
        self.last_round = now;
        self.table.own_record_mut().heartbeat += 1;
        self.demands = self.allocator.publish(now, elapsed);
        self.refresh(now);
        self.loads.retain(|_, load| now.saturating_duration_since(load.read_at) <= MAX_LOAD_AGE);
        let mut targets = if self.is_full_mesh() {
            self.peers_without_contact(now)
        } else {
            self.next_in_cycle(now)
        };
        targets.extend(self.random_unreachable(now));
        targets
    }

    fn begin_urgent_round(&mut self, now: Instant) -> Vec<HostName> {
        if self.next_urgent_round.is_none_or(|urgent| urgent > now) {
            return Vec::new();
        }
        self.urgent_rounds_left = self.urgent_rounds_left.saturating_sub(1);
        self.next_urgent_round = (self.urgent_rounds_left > 0).then(|| now + URGENT_INTERVAL);
        self.random_live(now, URGENT_FAN_OUT)
    }

    /// Schedules the first urgent round for now.
    fn start_urgent_rounds(&mut self, now: Instant) {
        self.urgent_rounds_left = URGENT_ROUNDS;
        self.next_urgent_round = Some(now);
    }

    /// Prunes members and recomputes the quota timing and the fleet view, which depend on them.
    fn refresh(&mut self, now: Instant) {
        self.table.prune(now, &self.listed_hosts);
        let table = &self.table;
        self.cursors.retain(|host, _| table.record(host).is_some());
        let direct_window = self.table.direct_window();
        let exchange_time = self.options.interval * 2;
        let silent_after = self.options.members.silent_after;
        let publish_rounds = self.demands.len().div_ceil(MAX_DEMANDS).max(1) as u32;
        let lag = direct_window.saturating_sub(silent_after) + exchange_time * publish_rounds;
        let join_wait = lag + self.options.interval / 2;
        self.allocator.set_window(direct_window + lag + self.options.interval / 2, join_wait);
        self.allocator.set_fleet(now, self.table.fleet(now));
    }

    fn is_full_mesh(&self) -> bool {
        self.table.members().count() < FULL_MESH_HOSTS
    }

    /// Live and silent peers without recent direct contact in both directions.
    fn peers_without_contact(&self, now: Instant) -> Vec<HostName> {
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

    /// Next peers of a shuffled cycle through all live and silent ones.
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

    /// Random dead or gone host, contacted so that the sides of a healed network partition find each
    /// other again.
    fn random_unreachable(&mut self, now: Instant) -> Option<HostName> {
        let unreachable: Vec<&HostName> = self
            .table
            .members()
            .filter(|member| self.table.liveness_of(now, member) > MemberLiveness::Silent)
            .map(|member| &member.record.host)
            .collect();
        unreachable.choose(&mut self.rng).map(|host| (*host).clone())
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

    fn apply_digest(&mut self, now: Instant, digest: &PeerDigest) {
        let newest = self.newest_known_revision(now);
        for record in &digest.records {
            if self.table.merge_record(now, record) {
                self.queue_record(&record.host);
            }
            self.wanted.remove(&name_hash(&record.host));
        }
        for beat in std::iter::once(&digest.sender).chain(&digest.beats) {
            self.apply_beat(now, beat);
        }
        self.apply_sender(now, digest);
        if let Some(host) = self.table.name_of(digest.newest_host).cloned() {
            self.table.merge_revision(&host, digest.newest_revision);
        }
        if self.newest_known_revision(now) > newest {
            self.start_urgent_rounds(now);
        }
        for load in &digest.loads {
            self.apply_load(now, load);
        }
        for &mark in &digest.marks {
            self.apply_mark(mark);
        }
    }

    fn apply_beat(&mut self, now: Instant, beat: &MemberBeat) {
        match self.table.merge_beat(now, beat) {
            None if self.wanted.len() < MAX_WANTED_HOSTS => {
                self.wanted.insert(beat.host);
            }
            Some(true) => {
                if let Some(host) = self.table.name_of(beat.host).cloned() {
                    self.queue_record(&host);
                }
            }
            _ => {}
        }
    }

    /// Applies the sender's own state, unless a newer digest from it has arrived before.
    fn apply_sender(&mut self, now: Instant, digest: &PeerDigest) {
        let Some(host) = self.table.name_of(digest.sender.host).cloned() else {
            return;
        };
        if !self.table.record_direct_contact(now, &digest.sender, digest.echo) {
            return;
        }
        if self.table.merge_revision(&host, digest.revision) {
            self.queue_record(&host);
        }
        self.allocator.record_demands(&host, &digest.demands, digest.complete);
        self.wanted_by.insert(host, digest.wanted.clone());
    }

    fn newest_known_revision(&self, now: Instant) -> ConfigRevision {
        self.newest_revision_host(now).1
    }

    fn newest_revision_host(&self, now: Instant) -> (NameHash, ConfigRevision) {
        let own = (self.table.own_hash(), self.table.own_record().revision);
        let heard = self.table.newest_revision(now);
        let heard = heard.map(|(host, revision)| (name_hash(&host), revision));
        heard.filter(|heard| heard.1 > own.1).unwrap_or(own)
    }

    /// Schedules the dissemination of a host's record.
    fn queue_record(&mut self, host: &str) {
        let sends = self.sends_per_update();
        if let Some(member) = self.table.member_mut(host) {
            member.sends_left = sends;
        }
    }

    /// Number of digests in which a host sends each update. Grows with the logarithm of the fleet
    /// size, which is enough to reach every host.
    fn sends_per_update(&self) -> u32 {
        let hosts = self.table.members().count() as u32 + 1;
        4 + 2 * hosts.ilog2()
    }

    fn apply_load(&mut self, now: Instant, report: &LoadReport) {
        let Some(read_at) = now.checked_sub(report.age) else {
            return;
        };
        if self.loads.get(&report.endpoint).is_some_and(|known| known.read_at >= read_at) {
            return;
        }
        let LoadReport { running, waiting, leaving, .. } = *report;
        let load = KnownLoad { running, waiting, leaving, read_at, is_own: false };
        self.loads.insert(report.endpoint, load);
    }

    fn apply_mark(&mut self, mark: DrainMark) {
        let known = self.marks.get(&mark.endpoint);
        if known.is_some_and(|known| known.mark.version >= mark.version) {
            return;
        }
        let sends_left = self.sends_per_update();
        self.marks.insert(mark.endpoint, KnownMark { mark, sends_left });
    }

    fn digest_for(&mut self, now: Instant, receiver: Option<&str>) -> PeerDigest {
        let demands = self.choose_demands(receiver);
        let (newest_host, newest_revision) = self.newest_revision_host(now);
        PeerDigest {
            sender: self.table.own_record().beat(Duration::ZERO),
            revision: self.table.own_record().revision,
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
        let limit = if self.is_full_mesh() { MAX_FULL_MESH_BEATS } else { MAX_BEATS };
        let others = self.table.live_beats(now).filter(|(host, _)| Some(&***host) != receiver);
        let beats: Vec<MemberBeat> = others.map(|(_, beat)| beat).collect();
        beats.choose_multiple(&mut self.rng, limit).copied().collect()
    }

    fn choose_records(&mut self, receiver: Option<&str>) -> Vec<MemberRecord> {
        let mut records = Vec::new();
        if receiver.is_none_or(|host| !self.table.has_echoed(host)) {
            records.push(self.table.own_record().clone());
        }
        let requested = receiver.and_then(|host| self.wanted_by.remove(host)).unwrap_or_default();
        for hash in requested {
            let record = self.table.name_of(hash).and_then(|host| self.table.record(host));
            records.extend(record.cloned());
        }
        let room = MAX_RECORDS.saturating_sub(records.len());
        records.extend(self.table.take_pending_records(room));
        records.truncate(MAX_RECORDS + MAX_WANTED);
        records
    }

    /// Reports of the customers with the highest demand, and of the others in rotation.
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

    /// Load reports in rotation; in a full mesh only those of endpoints that this host polled.
    fn choose_loads(&mut self, now: Instant, receiver: Option<&str>) -> Vec<LoadReport> {
        let own_only = self.is_full_mesh();
        let mut cursor = self.cursor_of(receiver);
        let after = self.loads.range(cursor.load.saturating_add(1)..);
        let around = after.chain(self.loads.range(..=cursor.load));
        let chosen = around.filter(|(_, load)| load.is_own || !own_only).take(MAX_LOADS);
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
        chosen.extend(self.random_spread_mark());
        chosen
    }

    /// Random drain mark that has used up its sends, for hosts that joined since.
    fn random_spread_mark(&mut self) -> Option<DrainMark> {
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

/// Region of a failure domain: the part of its name before the first `/`, empty without one.
fn region_of(domain: &str) -> &str {
    domain.split_once('/').map_or("", |(region, _)| region)
}

/// Rendezvous-hashing weight of a host as a poller of an endpoint.
fn poll_weight(endpoint: NameHash, host: NameHash) -> u64 {
    let mixed = (endpoint ^ host.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 32)
}
