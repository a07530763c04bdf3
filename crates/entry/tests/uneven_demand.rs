//! Demand that moves between failure domains: choice of paths, loads and the exchange of loads,
//! without a network. Engines run each stream for its time, whatever their load.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::f64::consts::TAU;
use std::fmt;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::Duration;

use jacinthrock_entry::{
    CardProfile, DownTable, EndpointEntry, EndpointNotices, EndpointTable, EngineProfile,
    ExclusionTable, ExpiringFlags, HealthTable, HostName, LayerSpan, LinkQuota, LoadSum, PathQuery,
    PathStage, PeerLoads, RateTable, RelayCandidate, RelayLoads, RelayPicker, RoutingView,
    StreamGuard, StreamTable, cheapest_path, crossings,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

const DOMAINS: [&str; 3] = ["north", "middle", "south"];
const LAYERS: u16 = 8;
const TOKENS: u32 = 930;
/// Part of what all cards together can serve that callers ask for.
const DEMAND_SHARE: f64 = 0.7;
/// Share of a card's KV memory that streams may take.
const MAX_OCCUPANCY: f64 = 0.95;
const STEP: Duration = Duration::from_millis(20);
/// Steps between two exchanges of a host.
const EXCHANGE_STEPS: u32 = 10;
/// Steps for which a stream runs: 3 s on average.
const STREAM_STEPS: std::ops::Range<u32> = 100..201;
/// Wait of an on-time answer: 0.7 of an objective of 500 ms.
const ON_TIME_STEPS: u32 = 17;
/// Steps until the endpoints have their usual load, which are not counted.
const SETTLE_STEPS: u32 = 300;
const COUNTED_STEPS: u32 = 1_500;
/// Link share from which no stream may cross.
const CLOSED_LINK_SHARE: f64 = 0.75;
const LINK_MBPS: f64 = 3_920.0;
const ACTIVATION_BYTES: f64 = 19_700.0;

/// Numbers of hosts.
const HOST_COUNTS: [usize; 3] = [6, 63, 300];
/// Periods of the demand in seconds.
const PERIODS_S: [f64; 3] = [5.0, 10.0, 20.0];

fn engine() -> EngineProfile {
    let card = |step_factor| CardProfile { memory_mb: 1_000.0, step_factor, prefill_factor: 1.0 };
    EngineProfile {
        layers: LAYERS,
        layer_mb: 10.0,
        token_layer_mb: 0.003,
        step_ms: 0.85,
        request_ms: 0.0,
        context_ms: 0.0,
        prefill_tokens_per_ms: 100.0,
        load_time: Duration::from_millis(500),
        parallel_loads: 4,
        activation_bytes: ACTIVATION_BYTES,
        link_mbps: LINK_MBPS,
        mean_prompt_tokens: 700,
        mean_output_tokens: 230,
        event_tokens: 1,
        cards: [("fast".into(), card(2.0)), ("slow".into(), card(4.0))].into(),
    }
}

/// Two fast and two slow cards for each half of the layers in each domain.
fn endpoints() -> Vec<EndpointEntry> {
    let mut entries = Vec::new();
    for (number, domain) in (0_u16..).zip(DOMAINS.iter().flat_map(|domain| [domain; 8])) {
        let from = number % 2 * 4;
        entries.push(EndpointEntry {
            name: format!("{domain}-{number}").into(),
            service: "guide".into(),
            address: ([10, 0, 0, 1], 1_000 + number).into(),
            domain: (*domain).into(),
            slots: 192,
            is_draining: false,
            orders: 0,
            start_unix_ms: 1,
            card: Some(if number % 4 < 2 { "fast" } else { "slow" }.into()),
            layers: Some(LayerSpan { from, to: from + 4 }),
            under_way: None,
        });
    }
    entries
}

/// What all hosts know alike.
struct SiteTables {
    engine: EngineProfile,
    endpoints: EndpointTable,
    health: HealthTable,
    exclusions: ExclusionTable,
    down_table: DownTable,
    notices: EndpointNotices,
    rates: RateTable,
    flags: ExpiringFlags,
}

struct ReplayHost {
    name: HostName,
    domain: usize,
    /// Host through which this one exchanges loads; none for the holder.
    upstream: Option<usize>,
    streams: Rc<RefCell<StreamTable>>,
    peer_loads: PeerLoads,
    relay_loads: RelayLoads,
    quota: LinkQuota,
}

impl ReplayHost {
    fn own_load(&self) -> LoadSum {
        let streams = self.streams.borrow();
        LoadSum {
            loads: streams.loads().clone(),
            crossing_tokens_per_s: streams.crossing_tokens_per_s(),
            ..LoadSum::default()
        }
    }
}

/// A stream that waits for a path.
struct WaitingCall {
    host: usize,
    arrived: u32,
}

struct RunningCall {
    ends: u32,
    _guard: StreamGuard,
}

/// What has come of the streams that arrived after the settling time.
#[derive(Default, Debug)]
struct ReplayOutcome {
    arrived: u32,
    on_time: u32,
    /// Largest share of the link between domains that streams used.
    link_share: f64,
    /// Proportion of streams that started in another domain than their host's, by exchange.
    remote_shares: Vec<f64>,
}

impl ReplayOutcome {
    fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.arrived)
    }

    /// Largest change of the proportion of remote starts between two exchanges.
    fn largest_change(&self) -> f64 {
        let changes = self.remote_shares.windows(2).map(|pair| (pair[1] - pair[0]).abs());
        changes.fold(0.0, f64::max)
    }

    fn mean_remote_share(&self) -> f64 {
        self.remote_shares.iter().sum::<f64>() / self.remote_shares.len() as f64
    }
}

impl fmt::Display for ReplayOutcome {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (on_time, link) = (self.on_time_share(), self.link_share);
        let (remote, change) = (self.mean_remote_share(), self.largest_change());
        write!(
            out,
            "{on_time:.3} of {} on time, link share {link:.3}, remote starts {remote:.3}, \
             largest change {change:.3}",
            self.arrived
        )
    }
}

struct DemandReplay {
    site: SiteTables,
    hosts: Vec<ReplayHost>,
    random: StdRng,
    start: Instant,
    waiting: Vec<WaitingCall>,
    running: Vec<RunningCall>,
    /// Streams that started in the present exchange interval, and those of them in another domain.
    started: (u32, u32),
    outcome: ReplayOutcome,
}

impl DemandReplay {
    fn new(host_count: usize) -> Self {
        let start = Instant::now();
        let mut table = EndpointTable::default();
        table.replace(1, endpoints(), start);
        let site = SiteTables {
            engine: engine(),
            endpoints: table,
            health: HealthTable::default(),
            exclusions: ExclusionTable::default(),
            down_table: DownTable::default(),
            notices: EndpointNotices::default(),
            rates: RateTable::new(1),
            flags: ExpiringFlags::default(),
        };
        Self {
            site,
            hosts: (0..host_count).map(|number| replay_host(number, host_count, start)).collect(),
            random: StdRng::seed_from_u64(host_count as u64),
            start,
            waiting: Vec::new(),
            running: Vec::new(),
            started: (0, 0),
            outcome: ReplayOutcome::default(),
        }
    }

    /// Runs streams whose number varies in each domain by a part of its mean.
    fn run(mut self, variation: f64, period_s: f64) -> ReplayOutcome {
        let per_s = DEMAND_SHARE * servable_per_s(&self.site.engine) / DOMAINS.len() as f64;
        let (mut due, mut next) = ([0.0; DOMAINS.len()], [0.0; DOMAINS.len()]);
        for step in 0..SETTLE_STEPS + COUNTED_STEPS {
            self.running.retain(|call| call.ends > step);
            self.exchange(step);
            for domain in 0..DOMAINS.len() {
                let turns = STEP.as_secs_f64() * f64::from(step) / period_s + domain as f64 / 3.0;
                let factor = 1.0 + variation * (TAU * turns).sin();
                due[domain] += per_s * factor * STEP.as_secs_f64();
                while next[domain] < due[domain] {
                    next[domain] -= self.random.random_range(f64::MIN_POSITIVE..1.0).ln();
                    self.add_call(domain, step);
                }
            }
            self.start_calls(step);
            self.observe(step);
        }
        self.outcome
    }

    /// A caller sends a stream to one of the hosts of its domain.
    fn add_call(&mut self, domain: usize, step: u32) {
        let of_domain = (self.hosts.len() - domain).div_ceil(DOMAINS.len());
        let host = self.random.random_range(0..of_domain) * DOMAINS.len() + domain;
        assert_eq!(self.hosts[host].domain, domain);
        self.waiting.push(WaitingCall { host, arrived: step });
        self.outcome.arrived += u32::from(step >= SETTLE_STEPS);
    }

    /// Hosts exchange in turn, each once per interval.
    fn exchange(&mut self, step: u32) {
        let now = self.start + STEP * step;
        let host_count = self.hosts.len();
        let due =
            (0..host_count).filter(|host| *host as u32 % EXCHANGE_STEPS == step % EXCHANGE_STEPS);
        for host in due.collect::<Vec<_>>() {
            let own = self.hosts[host].own_load();
            let group = self.hosts[host].relay_loads.group_total(&own, now);
            let Some(upstream) = self.hosts[host].upstream else {
                self.hosts[host].peer_loads.update(group, own, host_count, now);
                continue;
            };
            let name = self.hosts[host].name.clone();
            let relay = &mut self.hosts[upstream];
            let (relay_own, is_holder) = (relay.own_load(), relay.upstream.is_none());
            let age = if is_holder { Duration::ZERO } else { relay.relay_loads.total_age(now) };
            let loads = &mut relay.relay_loads;
            let total = loads.exchange(name, group.clone(), &relay_own, is_holder, now);
            let Some(total) = total else { continue };
            let host = &mut self.hosts[host];
            host.relay_loads.record_total(total.clone(), &group, now);
            host.peer_loads.update(total, own, host_count, now);
            host.peer_loads.set_total_age(age);
        }
    }

    /// Starts the waiting streams that find a path. Those that can't be on time give up.
    fn start_calls(&mut self, step: u32) {
        for call in std::mem::take(&mut self.waiting) {
            let Some(path) = self.find_path(&call, step) else {
                if step - call.arrived < ON_TIME_STEPS {
                    self.waiting.push(call);
                }
                continue;
            };
            self.outcome.on_time += u32::from(call.arrived >= SETTLE_STEPS);
            let domain = DOMAINS[self.hosts[call.host].domain];
            self.started.0 += 1;
            self.started.1 += u32::from(&*path[0].domain != domain);
            let (now, streams) = (self.start + STEP * step, self.hosts[call.host].streams.clone());
            let guard = StreamGuard::new(streams, path.into(), TOKENS, now);
            let ends = step + self.random.random_range(STREAM_STEPS);
            self.running.push(RunningCall { ends, _guard: guard });
        }
    }

    fn find_path(&mut self, call: &WaitingCall, step: u32) -> Option<Vec<PathStage>> {
        let (site, now) = (&self.site, self.start + STEP * step);
        let host_count = self.hosts.len();
        let host = &mut self.hosts[call.host];
        let stream_bytes = f64::from(TOKENS) * ACTIVATION_BYTES;
        let bytes_per_s = LINK_MBPS * 1e6 / 8.0 / host_count as f64;
        let draw = self.random.random_range(0.0..1.0);
        let may_cross = host.quota.allows_crossing(now, bytes_per_s, stream_bytes as u64, draw);
        let streams = host.streams.borrow();
        let of_others = host.peer_loads.crossing_tokens_per_s(now);
        let link_share = match may_cross {
            true => link_share(streams.crossing_tokens_per_s() + of_others),
            false => f64::INFINITY,
        };
        let domain_hosts = (host_count - host.domain).div_ceil(DOMAINS.len());
        let view = RoutingView {
            domain: DOMAINS[host.domain],
            hosts: host_count,
            domain_hosts: domain_hosts as u32,
            endpoints: &site.endpoints,
            health: &site.health,
            exclusions: &site.exclusions,
            down_table: &site.down_table,
            notices: &site.notices,
            rates: &site.rates,
            own_loads: streams.loads(),
            peer_loads: &host.peer_loads,
            suspected: &site.flags,
            overloaded: &site.flags,
        };
        let avoid = BTreeSet::new();
        let query = PathQuery {
            service: "guide",
            tokens: TOKENS,
            starts: None,
            avoid: &avoid,
            ignores_rates: false,
        };
        let random = &mut self.random;
        let stages =
            view.stage_views(&site.engine, &query, now, |range| random.random_range(range));
        let path = cheapest_path(LAYERS, DOMAINS[host.domain], link_share, &stages);
        drop(streams);
        let crossed = path.as_ref().map_or(0, |path| crossings(path));
        host.quota.debit(stream_bytes as u64 * crossed as u64);
        path
    }

    /// Records the use of the link, and the remote starts of an exchange interval once it is over.
    fn observe(&mut self, step: u32) {
        let tokens_per_s =
            self.hosts.iter().map(|host| host.streams.borrow().crossing_tokens_per_s());
        let share = link_share(tokens_per_s.sum());
        if step >= SETTLE_STEPS {
            self.outcome.link_share = self.outcome.link_share.max(share);
        }
        if (step + 1).is_multiple_of(EXCHANGE_STEPS) {
            let (started, remote) = std::mem::take(&mut self.started);
            if step >= SETTLE_STEPS && started > 0 {
                self.outcome.remote_shares.push(f64::from(remote) / f64::from(started));
            }
        }
    }
}

/// Share of the link that a number of tokens per second takes.
fn link_share(tokens_per_s: f64) -> f64 {
    tokens_per_s * ACTIVATION_BYTES * 8.0 / 1e6 / LINK_MBPS
}

/// Streams per second that all cards together can run, up to the share of their memory that streams
/// may take.
fn servable_per_s(engine: &EngineProfile) -> f64 {
    let capacity = |entry: EndpointEntry| {
        let card = entry.card.and_then(|card| engine.cards.get(&card)).expect("a card");
        engine.kv_capacity(card, 4) * MAX_OCCUPANCY
    };
    let token_layers: f64 = endpoints().into_iter().map(capacity).sum();
    let mean_steps = f64::from(STREAM_STEPS.start + STREAM_STEPS.end - 1) / 2.0;
    token_layers / f64::from(LAYERS) / f64::from(TOKENS) / (mean_steps * STEP.as_secs_f64())
}

fn host_name(number: usize) -> HostName {
    format!("h{number:03}").into()
}

fn replay_host(number: usize, host_count: usize, now: Instant) -> ReplayHost {
    let domain = number % DOMAINS.len();
    let of_domain = (domain..host_count).step_by(DOMAINS.len());
    let candidates: Vec<_> =
        of_domain.map(|number| RelayCandidate { host: host_name(number), capacity: 100 }).collect();
    let relay = RelayPicker::default().relay(&host_name(number), candidates, host_count, now);
    let relay = relay.map(|relay| relay[1..].parse().expect("the number of a host"));
    ReplayHost {
        name: host_name(number),
        domain,
        // The first host holds the placement lease.
        upstream: relay.or((number > 0).then_some(0)),
        streams: Rc::default(),
        peer_loads: PeerLoads::default(),
        relay_loads: RelayLoads::default(),
        quota: LinkQuota::default(),
    }
}

/// Outcomes at one number of hosts.
struct SiteOutcomes {
    even: ReplayOutcome,
    /// Under demand that varies by half, by period.
    uneven: [ReplayOutcome; 3],
}

/// Runs the replays once for each number of hosts; the tests check their outcomes.
fn outcomes(host_count: usize) -> &'static SiteOutcomes {
    static OUTCOMES: [OnceLock<SiteOutcomes>; 3] = [const { OnceLock::new() }; 3];
    let at = HOST_COUNTS.iter().position(|count| *count == host_count).expect("a known number");
    OUTCOMES[at].get_or_init(|| SiteOutcomes {
        even: DemandReplay::new(host_count).run(0.0, PERIODS_S[0]),
        uneven: PERIODS_S.map(|period_s| DemandReplay::new(host_count).run(0.5, period_s)),
    })
}

/// Checks the outcome of each period.
fn check_periods(host_count: usize, check: impl Fn(&ReplayOutcome) -> bool) {
    let outcomes = outcomes(host_count);
    let mut failed = Vec::new();
    println!("{host_count} hosts, even demand: {}", outcomes.even);
    for (period_s, outcome) in PERIODS_S.into_iter().zip(&outcomes.uneven) {
        let seen = format!("{host_count} hosts, period {period_s} s: {outcome}");
        println!("{seen}");
        if !check(outcome) {
            failed.push(seen);
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Domains whose demand exceeds their cards must use those of others in time.
fn check_on_time(host_count: usize) {
    let even = outcomes(host_count).even.on_time_share();
    check_periods(host_count, |outcome| (outcome.on_time_share() - even).abs() <= 0.1 * even);
}

/// Paths between domains must not close the link to streams that have no other path.
fn check_link(host_count: usize) {
    check_periods(host_count, |outcome| outcome.link_share < CLOSED_LINK_SHARE);
}

/// Hosts that know the same loads must not all change the domain at the same exchange.
fn check_changes(host_count: usize) {
    check_periods(host_count, |outcome| outcome.largest_change() <= 0.3);
}

#[test]
fn streams_are_on_time_with_6_hosts() {
    check_on_time(6);
}

#[test]
fn streams_are_on_time_with_63_hosts() {
    check_on_time(63);
}

#[test]
fn streams_are_on_time_with_300_hosts() {
    check_on_time(300);
}

#[test]
fn link_stays_open_with_6_hosts() {
    check_link(6);
}

#[test]
fn link_stays_open_with_63_hosts() {
    check_link(63);
}

#[test]
fn link_stays_open_with_300_hosts() {
    check_link(300);
}

#[test]
fn remote_starts_do_not_flap_with_6_hosts() {
    check_changes(6);
}

#[test]
fn remote_starts_do_not_flap_with_63_hosts() {
    check_changes(63);
}

#[test]
fn remote_starts_do_not_flap_with_300_hosts() {
    check_changes(300);
}
