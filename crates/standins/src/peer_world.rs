//! Many hosts that exchange digests over a simulated network with cuts, freezes and restarts.

use jacinthrock::{
    GossipAction, GossipCore, GossipOptions, HostName, Incarnation, MemberRecord, PeerDigest,
    digest_bytes,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Time after which a caller gives an exchange up.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Index of a host in the world.
pub type HostIndex = usize;

/// How the world is made.
#[derive(Clone, Copy, Debug)]
pub struct SimulationOptions {
    /// Number of hosts.
    pub hosts: usize,
    /// Longest delay of a message, one way.
    pub longest_delay: Duration,
    /// Options of each host.
    pub gossip: GossipOptions,
    /// Whether bytes are counted, which takes an encoding of each digest.
    pub count_bytes: bool,
}

/// One host of the world; its process may be down or stopped.
pub struct SimulatedHost {
    /// Knowledge of the process; `None` while it is down.
    pub core: Option<GossipCore>,
    /// Run of the process.
    pub incarnation: Incarnation,
    /// Whether the process is stopped.
    pub is_frozen: bool,
    /// Bytes of digests sent and received.
    pub bytes: u64,
    /// Digests sent and received.
    pub messages: u64,
    /// Last time that the process started, died, stopped or went on.
    pub changed_at: Instant,
    held_back: Vec<SimulationEvent>,
}

enum SimulationEvent {
    Tick(HostIndex),
    Request { from: HostIndex, incarnation: Incarnation, to: HostIndex, digest: Box<PeerDigest> },
    Reply { from: HostIndex, to: HostIndex, incarnation: Incarnation, digest: Box<PeerDigest> },
    Failure { host: HostIndex, incarnation: Incarnation, peer: HostIndex },
}

/// Hosts, links and what is under way between them.
pub struct PeerSimulation {
    /// Time of the world.
    pub now: Instant,
    /// Hosts by index.
    pub hosts: Vec<SimulatedHost>,
    /// Directions in which messages are lost.
    pub cuts: BTreeSet<(HostIndex, HostIndex)>,
    /// Last time that a cut was made or mended.
    pub cut_changed_at: Instant,
    options: SimulationOptions,
    rng: ChaCha8Rng,
    events: BTreeMap<(Instant, u64), SimulationEvent>,
    next_event: u64,
}

impl PeerSimulation {
    /// A world whose hosts all start now, each knowing the others from the platform.
    pub fn new(options: SimulationOptions, seed: u64) -> Self {
        let now = Instant::now() + Duration::from_secs(1000);
        let host = |_| SimulatedHost {
            core: None,
            incarnation: 0,
            is_frozen: false,
            bytes: 0,
            messages: 0,
            changed_at: now,
            held_back: Vec::new(),
        };
        let mut world = Self {
            now,
            hosts: (0..options.hosts).map(host).collect(),
            cuts: BTreeSet::new(),
            cut_changed_at: now,
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            next_event: 0,
        };
        for host in 0..options.hosts {
            world.start(host);
        }
        world
    }

    /// Name of a host.
    pub fn name(host: HostIndex) -> HostName {
        format!("router-{host}").into()
    }

    /// Starts the process of a host anew, at the same address.
    pub fn start(&mut self, host: HostIndex) {
        let incarnation = self.hosts[host].incarnation + 1;
        let options = self.options.gossip;
        let own = record(host, incarnation);
        let core = GossipCore::new(self.now, own, options, self.rng.random());
        let state = &mut self.hosts[host];
        state.core = Some(core);
        state.incarnation = incarnation;
        state.is_frozen = false;
        state.changed_at = self.now;
        state.held_back.clear();
        self.list_hosts(host);
        self.schedule_tick(host);
    }

    /// Lets a host list the others on the platform.
    pub fn list_hosts(&mut self, host: HostIndex) {
        let records: Vec<MemberRecord> = self
            .hosts
            .iter()
            .enumerate()
            .map(|(index, state)| record(index, state.incarnation.max(1)))
            .collect();
        let now = self.now;
        if let Some(core) = &mut self.hosts[host].core {
            core.set_listed_hosts(now, &records);
        }
    }

    /// Kills the process of a host.
    pub fn kill(&mut self, host: HostIndex) {
        let now = self.now;
        let state = &mut self.hosts[host];
        state.core = None;
        state.is_frozen = false;
        state.changed_at = now;
        state.held_back.clear();
    }

    /// Stops the process of a host, or lets it go on.
    pub fn set_frozen(&mut self, host: HostIndex, is_frozen: bool) {
        let now = self.now;
        let state = &mut self.hosts[host];
        if state.core.is_none() || state.is_frozen == is_frozen {
            return;
        }
        state.is_frozen = is_frozen;
        state.changed_at = now;
        let held_back = std::mem::take(&mut state.held_back);
        for event in held_back {
            self.schedule(now, event);
        }
        self.schedule_tick(host);
    }

    /// Cuts or mends one direction between two hosts.
    pub fn set_cut(&mut self, from: HostIndex, to: HostIndex, cut: bool) {
        let changed =
            if cut { self.cuts.insert((from, to)) } else { self.cuts.remove(&(from, to)) };
        if changed {
            self.cut_changed_at = self.now;
        }
    }

    /// Whether a host's process runs.
    pub fn is_running(&self, host: HostIndex) -> bool {
        self.hosts[host].core.is_some() && !self.hosts[host].is_frozen
    }

    /// Lets the processes of the world act until a time.
    pub fn run_until(&mut self, until: Instant) {
        while let Some(entry) = self.events.first_entry() {
            let &(at, _) = entry.key();
            if at > until {
                break;
            }
            let event = entry.remove();
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = self.now.max(until);
    }

    /// Schedules a host's next round, after something that may have moved it.
    pub fn schedule_tick(&mut self, host: HostIndex) {
        let Some(core) = &self.hosts[host].core else {
            return;
        };
        let due = core.next_tick().max(self.now);
        self.schedule(due, SimulationEvent::Tick(host));
    }

    fn schedule(&mut self, at: Instant, event: SimulationEvent) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Tick(host) => self.tick(host),
            SimulationEvent::Request { from, incarnation, to, digest } => {
                self.request(from, incarnation, to, digest);
            }
            SimulationEvent::Reply { from, to, incarnation, digest } => {
                self.reply(from, to, incarnation, digest);
            }
            SimulationEvent::Failure { host, incarnation, peer } => {
                let state = &mut self.hosts[host];
                if state.incarnation == incarnation
                    && let Some(core) = &mut state.core
                {
                    core.handle_failure(&Self::name(peer));
                }
            }
        }
    }

    fn tick(&mut self, host: HostIndex) {
        let now = self.now;
        let state = &mut self.hosts[host];
        if state.is_frozen {
            return;
        }
        let Some(core) = state.core.as_mut().filter(|core| core.next_tick() <= now) else {
            return;
        };
        let incarnation = state.incarnation;
        for action in core.tick(now) {
            self.perform(host, incarnation, action);
        }
        self.schedule_tick(host);
    }

    fn perform(&mut self, from: HostIndex, incarnation: Incarnation, action: GossipAction) {
        let GossipAction::Exchange { host, digest, .. } = action else {
            return;
        };
        let to = index_of(&host);
        self.count(from, &digest);
        let late = self.now + EXCHANGE_TIMEOUT;
        self.schedule(late, SimulationEvent::Failure { host: from, incarnation, peer: to });
        if !self.cuts.contains(&(from, to)) {
            let at = self.now + self.delay();
            self.schedule(at, SimulationEvent::Request { from, incarnation, to, digest });
        }
    }

    fn request(
        &mut self,
        from: HostIndex,
        incarnation: Incarnation,
        to: HostIndex,
        digest: Box<PeerDigest>,
    ) {
        let now = self.now;
        let state = &mut self.hosts[to];
        if state.is_frozen {
            state.held_back.push(SimulationEvent::Request { from, incarnation, to, digest });
            return;
        }
        let Some(core) = &mut state.core else {
            let failure = SimulationEvent::Failure { host: from, incarnation, peer: to };
            self.schedule(now, failure);
            return;
        };
        let answer = core.handle_request(now, &digest);
        self.count(to, &digest);
        self.count(to, &answer);
        self.schedule_tick(to);
        if !self.cuts.contains(&(to, from)) {
            let at = self.now + self.delay();
            let digest = Box::new(answer);
            self.schedule(at, SimulationEvent::Reply { from: to, to: from, incarnation, digest });
        }
    }

    fn reply(
        &mut self,
        from: HostIndex,
        to: HostIndex,
        incarnation: Incarnation,
        digest: Box<PeerDigest>,
    ) {
        let now = self.now;
        let state = &mut self.hosts[to];
        if state.incarnation != incarnation {
            return;
        }
        if state.is_frozen {
            state.held_back.push(SimulationEvent::Reply { from, to, incarnation, digest });
            return;
        }
        if let Some(core) = &mut state.core {
            core.handle_reply(now, &Self::name(from), &digest);
            self.count(to, &digest);
            self.schedule_tick(to);
        }
    }

    fn count(&mut self, host: HostIndex, digest: &PeerDigest) {
        self.hosts[host].messages += 1;
        if self.options.count_bytes {
            self.hosts[host].bytes += digest_bytes(digest) as u64;
        }
    }

    fn delay(&mut self) -> Duration {
        let longest = self.options.longest_delay.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(0..=longest))
    }
}

fn record(host: HostIndex, incarnation: Incarnation) -> MemberRecord {
    MemberRecord {
        host: PeerSimulation::name(host),
        domain: format!("domain-{}", host % 3).into(),
        address: format!("10.0.{}.{}:7000", host / 250, host % 250).into(),
        incarnation,
        heartbeat: 0,
        revision: 0,
        state: Default::default(),
    }
}

fn index_of(host: &str) -> HostIndex {
    host.strip_prefix("router-").and_then(|index| index.parse().ok()).expect("hosts are numbered")
}
