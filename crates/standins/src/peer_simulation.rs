//! Simulation of many hosts that gossip over a network, with partitions, freezes and restarts.

use jacinthrock::{
    GossipAction, GossipCore, GossipOptions, HostName, Incarnation, MemberRecord, PeerDigest,
    digest_bytes,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Time after which a host abandons an exchange without a reply.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Index of a host in the simulation.
pub type HostIndex = usize;

/// Options of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimulationOptions {
    /// Number of hosts.
    pub hosts: usize,
    /// Maximum one-way delay of a message.
    pub longest_delay: Duration,
    /// Gossip options of each host.
    pub gossip: GossipOptions,
    /// Whether to count bytes, which requires encoding every digest.
    pub count_bytes: bool,
}

/// One simulated host; its process may be down or frozen.
pub struct SimulatedHost {
    /// Gossip state of the process; `None` while it is down.
    pub core: Option<GossipCore>,
    /// Incarnation of the process, which grows with every start.
    pub incarnation: Incarnation,
    /// Whether the process is frozen.
    pub is_frozen: bool,
    /// Bytes of digests sent and received.
    pub bytes: u64,
    /// Digests sent and received.
    pub messages: u64,
    /// Time at which the process last started, died, was frozen or was resumed.
    pub changed_at: Instant,
    /// Messages that arrived while the process was frozen, which it handles when resumed.
    deferred_events: Vec<SimulationEvent>,
}

enum SimulationEvent {
    Tick(HostIndex),
    Request { from: HostIndex, incarnation: Incarnation, to: HostIndex, digest: Box<PeerDigest> },
    Reply { from: HostIndex, to: HostIndex, incarnation: Incarnation, digest: Box<PeerDigest> },
    Failure { host: HostIndex, incarnation: Incarnation, peer: HostIndex },
}

/// Simulated hosts, their links and the messages in flight.
pub struct PeerSimulation {
    /// Simulated time.
    pub now: Instant,
    /// Hosts by index.
    pub hosts: Vec<SimulatedHost>,
    /// Partitioned links as (from, to); messages in this direction are lost.
    pub partitioned_links: BTreeSet<(HostIndex, HostIndex)>,
    /// Time at which a link was last partitioned or restored.
    pub partitions_changed_at: Instant,
    options: SimulationOptions,
    rng: ChaCha8Rng,
    events: BTreeMap<(Instant, u64), SimulationEvent>,
    next_event: u64,
}

impl PeerSimulation {
    /// Creates a simulation in which all hosts start at once and know each other from the platform's
    /// list.
    pub fn new(options: SimulationOptions, seed: u64) -> Self {
        let now = Instant::now() + Duration::from_secs(1000);
        let host = |_| SimulatedHost {
            core: None,
            incarnation: 0,
            is_frozen: false,
            bytes: 0,
            messages: 0,
            changed_at: now,
            deferred_events: Vec::new(),
        };
        let mut simulation = Self {
            now,
            hosts: (0..options.hosts).map(host).collect(),
            partitioned_links: BTreeSet::new(),
            partitions_changed_at: now,
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            next_event: 0,
        };
        for host in 0..options.hosts {
            simulation.start(host);
        }
        simulation
    }

    /// Returns the name of a host.
    pub fn name(host: HostIndex) -> HostName {
        format!("router-{host}").into()
    }

    /// Starts or restarts the process of a host as a new incarnation at the same address.
    pub fn start(&mut self, host: HostIndex) {
        let incarnation = self.hosts[host].incarnation + 1;
        let options = self.options.gossip;
        let own_record = member_record(host, incarnation);
        let core = GossipCore::new(self.now, own_record, options, self.rng.random());
        let state = &mut self.hosts[host];
        state.core = Some(core);
        state.incarnation = incarnation;
        state.is_frozen = false;
        state.changed_at = self.now;
        state.deferred_events.clear();
        self.update_listed_hosts(host);
        self.schedule_tick(host);
    }

    /// Updates a host's list of hosts from the platform.
    pub fn update_listed_hosts(&mut self, host: HostIndex) {
        let records: Vec<MemberRecord> = self
            .hosts
            .iter()
            .enumerate()
            .map(|(index, state)| member_record(index, state.incarnation.max(1)))
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
        state.deferred_events.clear();
    }

    /// Freezes the process of a host, or resumes it.
    pub fn set_frozen(&mut self, host: HostIndex, is_frozen: bool) {
        let now = self.now;
        let state = &mut self.hosts[host];
        if state.core.is_none() || state.is_frozen == is_frozen {
            return;
        }
        state.is_frozen = is_frozen;
        state.changed_at = now;
        let deferred_events = std::mem::take(&mut state.deferred_events);
        for event in deferred_events {
            self.schedule(now, event);
        }
        self.schedule_tick(host);
    }

    /// Partitions or restores one direction of the link between two hosts.
    pub fn set_partitioned(&mut self, from: HostIndex, to: HostIndex, is_partitioned: bool) {
        let changed = if is_partitioned {
            self.partitioned_links.insert((from, to))
        } else {
            self.partitioned_links.remove(&(from, to))
        };
        if changed {
            self.partitions_changed_at = self.now;
        }
    }

    /// Returns whether a host's process is neither down nor frozen.
    pub fn is_running(&self, host: HostIndex) -> bool {
        self.hosts[host].core.is_some() && !self.hosts[host].is_frozen
    }

    /// Runs the simulation until a time.
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

    /// Schedules a host's next gossip round; call it after anything that may have changed the time
    /// of that round.
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
                self.deliver_request(from, incarnation, to, digest);
            }
            SimulationEvent::Reply { from, to, incarnation, digest } => {
                self.deliver_reply(from, to, incarnation, digest);
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
            self.start_exchange(host, incarnation, action);
        }
        self.schedule_tick(host);
    }

    fn start_exchange(&mut self, from: HostIndex, incarnation: Incarnation, action: GossipAction) {
        let GossipAction::Exchange { host, digest, .. } = action else {
            return;
        };
        let to = host_index(&host);
        self.count_digest(from, &digest);
        let timeout_at = self.now + EXCHANGE_TIMEOUT;
        self.schedule(timeout_at, SimulationEvent::Failure { host: from, incarnation, peer: to });
        if !self.partitioned_links.contains(&(from, to)) {
            let at = self.now + self.random_delay();
            self.schedule(at, SimulationEvent::Request { from, incarnation, to, digest });
        }
    }

    fn deliver_request(
        &mut self,
        from: HostIndex,
        incarnation: Incarnation,
        to: HostIndex,
        digest: Box<PeerDigest>,
    ) {
        let now = self.now;
        let state = &mut self.hosts[to];
        if state.is_frozen {
            state.deferred_events.push(SimulationEvent::Request { from, incarnation, to, digest });
            return;
        }
        let Some(core) = &mut state.core else {
            let failure = SimulationEvent::Failure { host: from, incarnation, peer: to };
            self.schedule(now, failure);
            return;
        };
        let reply = core.handle_request(now, &digest);
        self.count_digest(to, &digest);
        self.count_digest(to, &reply);
        self.schedule_tick(to);
        if !self.partitioned_links.contains(&(to, from)) {
            let at = self.now + self.random_delay();
            let digest = Box::new(reply);
            self.schedule(at, SimulationEvent::Reply { from: to, to: from, incarnation, digest });
        }
    }

    fn deliver_reply(
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
            state.deferred_events.push(SimulationEvent::Reply { from, to, incarnation, digest });
            return;
        }
        if let Some(core) = &mut state.core {
            core.handle_reply(now, &Self::name(from), &digest);
            self.count_digest(to, &digest);
            self.schedule_tick(to);
        }
    }

    fn count_digest(&mut self, host: HostIndex, digest: &PeerDigest) {
        self.hosts[host].messages += 1;
        if self.options.count_bytes {
            self.hosts[host].bytes += digest_bytes(digest) as u64;
        }
    }

    fn random_delay(&mut self) -> Duration {
        let longest = self.options.longest_delay.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(0..=longest))
    }
}

fn member_record(host: HostIndex, incarnation: Incarnation) -> MemberRecord {
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

fn host_index(host: &str) -> HostIndex {
    host.strip_prefix("router-")
        .and_then(|index| index.parse().ok())
        .expect("host name is router-INDEX")
}
