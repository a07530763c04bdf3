//! Rate limits of endpoints: what hosts know of them, and how many requests all hosts together send.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use jacinthrock_entry::{
    EndpointName, EndpointStart, HostName, PermitPools, RateTable, RelayCandidate, RelayPicker,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

/// Time between two looks at a host of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// Interval of the exchanges of a host.
const EXCHANGE: Duration = Duration::from_millis(200);
/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first answer that names a limit to the time from which it binds.
const SETTLING_TIME: Duration = Duration::from_secs(3);
const NAME: &str = "i-1";

/// A host of the simulation, with its place among the relays.
struct SimulatedHost {
    name: HostName,
    relay: Option<usize>,
    is_holder: bool,
    has_members: bool,
    table: RateTable,
    pools: PermitPools,
    /// Requests per second that it would start at the endpoint.
    demand_per_s: f64,
    next_exchange: Instant,
    is_up: bool,
    hears_holder: bool,
}

/// Hosts that exchange, one endpoint with a limit, and the requests that it got.
struct Simulation {
    hosts: Vec<SimulatedHost>,
    holder: usize,
    now: Instant,
    draws: StdRng,
    limit_per_s: Option<f64>,
    sent: Vec<(Instant, usize)>,
    wanted: usize,
}

fn endpoint(name: &EndpointName) -> EndpointStart<'_> {
    EndpointStart { name, start_unix_ms: 5 }
}

impl Simulation {
    fn new(count: usize, seed: u64, demand_per_s: impl Fn(usize) -> f64) -> Self {
        let (now, mut draws) = (Instant::now(), StdRng::seed_from_u64(seed));
        let name = |number: usize| -> HostName { format!("h{number:03}").into() };
        let candidate = |number: usize| RelayCandidate { host: name(number), capacity: 250 };
        let hosts = (0..count).map(|number| {
            // Hosts of three failure domains exchange within their own.
            let domain = (0..count).filter(|other| other % 3 == number % 3).map(candidate);
            let picker = RelayPicker::default();
            let relay = picker.relay(&name(number), domain.collect(), count, now);
            SimulatedHost {
                name: name(number),
                relay: relay.and_then(|relay| (0..count).find(|other| name(*other) == relay)),
                is_holder: number == count - 1,
                has_members: false,
                table: RateTable::new(number as u64),
                pools: PermitPools::default(),
                demand_per_s: demand_per_s(number),
                next_exchange: now + EXCHANGE.mul_f64(draws.random_range(0.0..1.0)),
                is_up: true,
                hears_holder: true,
            }
        });
        let mut hosts: Vec<_> = hosts.collect();
        let relays: Vec<usize> = hosts.iter().filter_map(|host| host.relay).collect();
        relays.into_iter().for_each(|relay| hosts[relay].has_members = true);
        let holder = count - 1;
        Self { hosts, holder, now, draws, limit_per_s: None, sent: Vec::new(), wanted: 0 }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            for number in 0..self.hosts.len() {
                if self.hosts[number].is_up {
                    self.send(number);
                    if self.now >= self.hosts[number].next_exchange {
                        self.hosts[number].next_exchange += EXCHANGE;
                        self.exchange(number);
                    }
                }
            }
            self.now += STEP;
        }
    }

    /// Sends what callers ask of a host, if the limit leaves it; it goes elsewhere otherwise.
    fn send(&mut self, number: usize) {
        let (name, now, limit) = (NAME.into(), self.now, self.limit_per_s);
        let host = &mut self.hosts[number];
        if !self.draws.random_bool((host.demand_per_s * STEP.as_secs_f64()).min(1.0)) {
            return;
        }
        self.wanted += 1;
        if !host.table.may_send(endpoint(&name), now) {
            host.table.record_held_back(endpoint(&name), now);
            return;
        }
        host.table.take(endpoint(&name), now);
        self.sent.push((now, number));
        match limit {
            Some(per_s) => host.table.observe_limit(endpoint(&name), per_s, now),
            None => host.table.observe_no_limit(endpoint(&name), now, now),
        };
    }

    fn exchange(&mut self, number: usize) {
        let now = self.now;
        if !self.hosts[number].hears_holder {
            let (count, draw) = (self.hosts.len(), self.draws.random_range(0.0..1.0));
            self.hosts[number].table.issue_share(count, draw, now);
            return;
        }
        self.hosts[number].table.end_share();
        let host = self.hosts[number].name.clone();
        let draws = self.hosts[number].table.draws(now);
        let has_own_pool = self.hosts[number].is_holder || self.hosts[number].has_members;
        let draws = if has_own_pool {
            let grants = self.draw(number, &host, &draws);
            grants.iter().for_each(|grant| self.hosts[number].table.grant(grant, now));
            if self.hosts[number].is_holder {
                return;
            }
            self.hosts[number].pools.draws(now)
        } else {
            draws
        };
        let upstream = self.hosts[number].relay.unwrap_or(self.holder);
        if !self.hosts[upstream].is_up {
            return;
        }
        let shared = self.hosts[number].table.shared(now);
        shared.iter().for_each(|rate| {
            self.hosts[upstream].table.apply(rate, now);
        });
        let grants = self.draw(upstream, &host, &draws);
        let shared = self.hosts[upstream].table.shared(now);
        let host = &mut self.hosts[number];
        shared.iter().for_each(|rate| {
            host.table.apply(rate, now);
        });
        for grant in &grants {
            if has_own_pool { host.pools.add(grant, now) } else { host.table.grant(grant, now) }
        }
    }

    fn draw(
        &mut self,
        from: usize,
        host: &HostName,
        draws: &[jacinthrock_entry::PermitDraw],
    ) -> Vec<jacinthrock_entry::PermitGrant> {
        let SimulatedHost { table, pools, is_holder, .. } = &mut self.hosts[from];
        if *is_holder {
            table.limits().for_each(|(start, per_s)| pools.issue(start, per_s, self.now));
        }
        let rounding = self.draws.random_range(0.0..1.0);
        draws.iter().filter_map(|draw| pools.draw(host, draw, rounding, self.now)).collect()
    }

    /// Largest number of requests in a window from a time on.
    fn most_in_window(&self, from: Instant) -> usize {
        let (mut window, mut most) = (VecDeque::new(), 0);
        for (at, _) in self.sent.iter().filter(|(at, _)| *at >= from) {
            window.push_back(*at);
            while window.front().is_some_and(|first| *at - *first >= WINDOW) {
                window.pop_front();
            }
            most = most.max(window.len());
        }
        most
    }

    fn sent_from(&self, from: Instant) -> usize {
        self.sent.iter().filter(|(at, _)| *at >= from).count()
    }
}

/// Most requests in a window that a limit and a small burst allow: half of the room that the rule
/// leaves beyond the limit.
fn allowed(per_s: f64) -> f64 {
    1.25 * per_s * WINDOW.as_secs_f64() + 2.5
}

/// Plays demand far above a limit and returns the most requests in a window, and the share of the
/// limit that was used.
fn play(count: usize, per_s: f64, seed: u64, demand_per_s: impl Fn(usize) -> f64) -> (usize, f64) {
    let mut simulation = Simulation::new(count, seed, demand_per_s);
    simulation.run(Duration::from_secs(2));
    simulation.limit_per_s = Some(per_s);
    simulation.run(SETTLING_TIME);
    let from = simulation.now;
    let time = Duration::from_secs(40);
    simulation.run(time);
    let used = simulation.sent_from(from) as f64 / (per_s * time.as_secs_f64());
    (simulation.most_in_window(from), used)
}

#[test]
fn hosts_together_use_a_limit_and_keep_to_it_whatever_their_number() {
    for count in [1, 6, 30, 100, 195] {
        for per_s in [2.0, 9.0, 30.0] {
            // A third of the hosts are in the endpoint's failure domain.
            let demand =
                |number: usize| if number.is_multiple_of(3) { 180.0 / count as f64 } else { 0.0 };
            let (most, used) = play(count, per_s, 7, demand);
            println!("{count} hosts, {per_s} a second: {most} in 4 s, {used:.2} used");
            assert!(most as f64 <= allowed(per_s), "{count} hosts, {per_s}: {most}");
            assert!(used >= 0.85, "{count} hosts, {per_s} a second: {used:.2} used");
        }
    }
}

#[test]
fn few_requests_a_second_are_neither_exceeded_nor_left_out() {
    for count in [6, 195] {
        let (most, used) = play(count, 0.2, 3, |_| 60.0 / count as f64);
        println!("{count} hosts: {most} in 4 s, {used:.2} used");
        assert!(most as f64 <= allowed(0.2), "{count} hosts: {most}");
        assert!(used >= 0.5, "{count} hosts: {used:.2} used");
    }
}

/// Demand comes back to all hosts at once after a pause.
#[test]
fn demand_that_begins_at_all_hosts_at_once_keeps_to_the_limit() {
    for count in [6, 195] {
        let mut simulation = Simulation::new(count, 5, |_| 120.0 / count as f64);
        simulation.limit_per_s = Some(9.0);
        simulation.run(SETTLING_TIME);
        let from = simulation.now;
        for _ in 0..4 {
            let demands: Vec<f64> = simulation
                .hosts
                .iter_mut()
                .map(|host| std::mem::take(&mut host.demand_per_s))
                .collect();
            simulation.run(Duration::from_secs(6));
            for (host, demand) in simulation.hosts.iter_mut().zip(demands) {
                host.demand_per_s = demand;
            }
            simulation.run(Duration::from_secs(5));
        }
        let most = simulation.most_in_window(from);
        println!("{count} hosts: {most} in 4 s");
        assert!(most as f64 <= allowed(9.0), "{count} hosts: {most}");
    }
}

/// The holder stops; the others issue their shares until another one holds, and it gives out nothing
/// that was given out before.
#[test]
fn change_of_the_holder_keeps_to_the_limit() {
    for count in [6, 30, 195] {
        let mut simulation = Simulation::new(count, 11, |_| 120.0 / count as f64);
        simulation.limit_per_s = Some(9.0);
        simulation.run(SETTLING_TIME);
        let from = simulation.now;
        for round in 0..5 {
            let next = count - 2 - round % (count - 2);
            simulation.hosts[simulation.holder].is_up = false;
            simulation.run(Duration::from_millis(1_500));
            simulation.hosts.iter_mut().for_each(|host| host.hears_holder = false);
            simulation.run(Duration::from_millis(1_500));
            let old = simulation.holder;
            simulation.hosts[old].is_holder = false;
            simulation.hosts[next].is_holder = true;
            simulation.hosts[next].relay = None;
            simulation.holder = next;
            for host in &mut simulation.hosts {
                host.hears_holder = true;
            }
            // A host that starts knows nothing yet.
            let process = 1_000 + round as u64;
            let restarted = &mut simulation.hosts[old];
            (restarted.table, restarted.pools) = (RateTable::new(process), PermitPools::default());
            (restarted.is_up, restarted.next_exchange) = (true, simulation.now);
            simulation.run(Duration::from_secs(4));
        }
        let most = simulation.most_in_window(from);
        let bound = 1.5 * 9.0 * WINDOW.as_secs_f64() + 5.0;
        println!("{count} hosts: {most} in 4 s");
        assert!(most as f64 <= bound, "{count} hosts: {most}");
    }
}

/// Half of the hosts do not hear the others: they send their shares only.
#[test]
fn hosts_that_are_cut_off_keep_to_their_share() {
    for count in [6, 30, 195] {
        let mut simulation = Simulation::new(count, 13, |_| 120.0 / count as f64);
        simulation.limit_per_s = Some(9.0);
        simulation.run(SETTLING_TIME);
        let from = simulation.now;
        simulation.hosts.iter_mut().skip(1).step_by(2).for_each(|host| {
            host.hears_holder = host.is_holder;
        });
        simulation.run(Duration::from_secs(30));
        let mut by_host = BTreeMap::new();
        for (_, host) in simulation.sent.iter().filter(|(at, _)| *at >= from) {
            *by_host.entry(simulation.hosts[*host].hears_holder).or_insert(0) += 1;
        }
        let cut = by_host.get(&false).copied().unwrap_or(0);
        println!("{count} hosts: {by_host:?}, {} in 4 s", simulation.most_in_window(from));
        assert!(f64::from(cut) <= 1.2 * 9.0 * 30.0 / 2.0, "{count} hosts: {by_host:?}");
        let bound = 1.5 * 9.0 * WINDOW.as_secs_f64() + 5.0;
        assert!(simulation.most_in_window(from) as f64 <= bound);
    }
}

/// The limit ends, and all hosts learn of it from the next answer.
#[test]
fn end_of_a_limit_is_found_out_and_told() {
    for count in [6, 195] {
        let mut simulation = Simulation::new(count, 17, |_| 120.0 / count as f64);
        simulation.limit_per_s = Some(2.0);
        simulation.run(Duration::from_secs(6));
        simulation.limit_per_s = None;
        simulation.run(Duration::from_secs(3));
        let from = simulation.now;
        simulation.run(Duration::from_secs(4));
        let rate = simulation.sent_from(from) as f64 / 4.0;
        assert!(rate > 100.0, "{count} hosts: {rate} a second");
    }
}

#[tokio::test(start_paused = true)]
async fn answers_to_earlier_requests_do_not_end_a_limit() {
    let (mut table, name) = (RateTable::new(1), NAME.into());
    let sent_at = Instant::now();
    tokio::time::advance(STEP).await;
    table.observe_limit(endpoint(&name), 9.0, Instant::now());
    tokio::time::advance(STEP).await;
    assert_eq!(table.observe_no_limit(endpoint(&name), sent_at, Instant::now()), None);
    assert_eq!(table.limit_per_s(endpoint(&name)), Some(9.0));
    let sent_at = Instant::now();
    tokio::time::advance(STEP).await;
    assert!(table.observe_no_limit(endpoint(&name), sent_at, Instant::now()).is_some());
    assert_eq!(table.limit_per_s(endpoint(&name)), None);
}

#[tokio::test(start_paused = true)]
async fn limits_belong_to_one_start_of_an_endpoint() {
    let (mut table, name) = (RateTable::new(1), NAME.into());
    let now = Instant::now();
    table.observe_limit(endpoint(&name), 9.0, now);
    let later = EndpointStart { name: &name, start_unix_ms: 6 };
    assert!(table.may_send(later, now));
    table.take(later, now);
    assert_eq!(table.limit_per_s(later), None);
    assert_eq!(table.observe_limit(endpoint(&name), 9.0, now), None);
    assert!(table.may_send(later, now));
}

#[tokio::test(start_paused = true)]
async fn observations_that_come_back_end_nothing() {
    let (mut table, mut other, name) = (RateTable::new(1), RateTable::new(2), NAME.into());
    table.observe_limit(endpoint(&name), 9.0, Instant::now());
    let named = table.shared(Instant::now());
    tokio::time::advance(STEP).await;
    assert!(table.observe_no_limit(endpoint(&name), Instant::now(), Instant::now()).is_some());
    named.iter().for_each(|rate| {
        other.apply(rate, Instant::now() + EXCHANGE);
    });
    for rate in other.shared(Instant::now() + EXCHANGE) {
        table.apply(&rate, Instant::now() + EXCHANGE);
    }
    assert_eq!(table.limit_per_s(endpoint(&name)), None);
}

#[tokio::test(start_paused = true)]
async fn absurd_limits_leave_some_requests() {
    let name: EndpointName = NAME.into();
    for per_s in [0.0, 1e300] {
        let mut simulation = Simulation::new(6, 19, |_| 10.0);
        simulation.limit_per_s = Some(per_s);
        simulation.run(Duration::from_secs(3));
        let from = simulation.now;
        simulation.run(Duration::from_secs(60));
        let sent = simulation.sent_from(from);
        let expected = if per_s > 0.0 { 3_000..4_200 } else { 1..6 };
        assert!(expected.contains(&sent), "{per_s}: {sent}");
        assert_eq!(simulation.hosts[0].table.limit_per_s(endpoint(&name)), Some(per_s));
    }
}

#[tokio::test(start_paused = true)]
async fn limits_that_change_in_each_answer_are_logged_once_a_second() {
    let (mut table, name) = (RateTable::new(1), NAME.into());
    let mut logged = 0;
    for number in 0..200 {
        tokio::time::advance(STEP).await;
        let per_s = 2.0 + f64::from(number % 2);
        let change = table.observe_limit(endpoint(&name), per_s, Instant::now());
        logged += u32::from(change.is_some_and(|change| change.is_logged));
    }
    assert_eq!(logged, 2);
}

#[tokio::test(start_paused = true)]
async fn share_of_a_huge_limit_is_no_more_than_callers_want() {
    let (mut table, name) = (RateTable::new(1), NAME.into());
    table.observe_limit(endpoint(&name), 1e6, Instant::now());
    for _ in 0..5 {
        table.issue_share(6, 0.5, Instant::now());
        tokio::time::advance(EXCHANGE).await;
    }
    let held: u32 = table.draws(Instant::now()).iter().map(|draw| draw.held).sum();
    assert!(held < 10, "{held} permits without any caller");
    assert!(table.may_send(endpoint(&name), Instant::now()));
}
