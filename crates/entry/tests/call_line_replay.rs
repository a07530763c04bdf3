//! Calls of many hosts that compete for the slots of one endpoint, replayed without a network.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use jacinthrock::{BudgetOptions, RetryBudget};
use jacinthrock_entry::{
    CallEndpoint, CallLine, CallNumber, CallRoom, CountedCalls, DemandMap, DemandMeter,
    EndpointName, LineInputs, LineStep, PriorityDemand, WaitingCall,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// Interval of the exchange of loads, in ms.
const EXCHANGE: u64 = 200;
/// Age of the other hosts' counts when a host gets them, in exchanges.
const TOTAL_DELAY: usize = 1;
/// Slots of each endpoint.
const SLOTS: u32 = 6;
/// Time at which two of the three endpoints are lost, in ms.
const LOSS: u64 = 6_000;
/// Duration of a replay, in ms.
const END: u64 = 36_000;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Load of a replay.
#[derive(Clone, Copy, Debug)]
struct SampleLoad {
    hosts: usize,
    /// Mean duration of a call, in ms.
    call_ms: u64,
    /// Arrivals of each level as a part of what one endpoint can run.
    rates: [f64; 3],
    objective: Duration,
    max_attempts: u32,
    seed: u64,
}

#[derive(Clone, Copy, Debug)]
struct SampleCall {
    waiting: WaitingCall,
    attempts: u32,
    refused_by: [bool; 3],
}

struct SampleHost {
    line: CallLine,
    calls: BTreeMap<CallNumber, SampleCall>,
    budget: RetryBudget,
    open: [u32; 3],
    /// Open calls of the other hosts by the latest total.
    elsewhere: [u32; 3],
    phase: u64,
    exchanged: Instant,
}

/// What came of the calls of one level.
#[derive(Clone, Copy, Debug, Default)]
struct SampleOutcome {
    arrived: u32,
    served: u32,
    on_time: u32,
    refused_at_once: u32,
    refused_sends: u32,
}

struct SampleSite {
    load: SampleLoad,
    rng: ChaCha8Rng,
    names: [EndpointName; 3],
    is_up: [bool; 3],
    hosts: Vec<SampleHost>,
    /// Running calls: end, host, endpoint, call.
    running: Vec<(u64, usize, usize, SampleCall)>,
    /// Reported open calls of each host, the latest first.
    reports: VecDeque<Vec<[u32; 3]>>,
    meter: DemandMeter,
    demands: VecDeque<DemandMap>,
    outcomes: [SampleOutcome; 3],
    start: Instant,
}

impl SampleSite {
    fn new(load: SampleLoad, start: Instant) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
        let slack = (70.0 / load.hosts as f64).round() as u32;
        let options = BudgetOptions { ratio: 0.14, slack, window_buckets: 10, enforced: true };
        let hosts = (0..load.hosts).map(|_| SampleHost {
            line: CallLine::default(),
            calls: BTreeMap::new(),
            budget: RetryBudget::new(options),
            open: [0; 3],
            elsewhere: [0; 3],
            exchanged: start,
            phase: rng.random_range(0..EXCHANGE),
        });
        let hosts: Vec<_> = hosts.collect();
        let reports = std::iter::repeat_n(vec![[0; 3]; load.hosts], TOTAL_DELAY + 1).collect();
        Self {
            load,
            rng,
            names: ["a", "b", "c"].map(Into::into),
            is_up: [true; 3],
            hosts,
            running: Vec::new(),
            reports,
            meter: DemandMeter::default(),
            demands: VecDeque::new(),
            outcomes: Default::default(),
            start,
        }
    }

    fn slots(&self) -> u32 {
        self.is_up.iter().filter(|is_up| **is_up).count() as u32 * SLOTS
    }

    /// Calls that arrive at all hosts, as the hosts know them.
    fn demand(&self) -> Option<PriorityDemand> {
        self.demands.back().and_then(|demands| demands.get("s")).cloned()
    }

    fn inputs<'a>(&self, host: usize, demand: Option<&'a PriorityDemand>) -> LineInputs<'a> {
        let of = &self.hosts[host];
        let up = (0..3).filter(|index| self.is_up[*index]);
        let open_calls = up.map(|index| of.open[index] + of.elsewhere[index]).sum();
        LineInputs { slots: self.slots(), open_calls, hosts: self.load.hosts, demand }
    }

    fn endpoints(&self, host: usize, now: Instant) -> Vec<(usize, CallEndpoint<'_>)> {
        let of = &self.hosts[host];
        let up = (0..3).filter(|index| self.is_up[*index]);
        let age = now.saturating_duration_since(of.exchanged) + ms(EXCHANGE);
        let endpoint = |index: usize| CallEndpoint {
            name: &self.names[index],
            slots: SLOTS,
            own_calls: of.open[index],
            other_calls: Some(CountedCalls { count: of.elsewhere[index], age }),
        };
        up.map(|index| (index, endpoint(index))).collect()
    }

    fn room(&self, host: usize, now: Instant) -> CallRoom {
        let endpoints = self.endpoints(host, now).into_iter().map(|(_, endpoint)| endpoint);
        self.hosts[host].line.room(endpoints, now)
    }

    fn exchange(&mut self, host: usize, now: Instant) {
        let mut elsewhere = [0; 3];
        let reports = self.reports[TOTAL_DELAY].iter().enumerate();
        for (_, report) in reports.filter(|(other, _)| *other != host) {
            (0..3).for_each(|index| elsewhere[index] += report[index]);
        }
        self.reports[0][host] = self.hosts[host].open;
        (self.hosts[host].elsewhere, self.hosts[host].exchanged) = (elsewhere, now);
    }

    fn arrive(&mut self, host: usize, level: u8, at: u64) {
        let now = self.start + ms(at);
        let mut waiting = WaitingCall {
            level,
            is_yielding: false,
            is_resent: false,
            objective: self.load.objective,
            arrived: now,
            joined: now,
            deadline: now + Duration::from_secs(3),
        };
        self.hosts[host].budget.record_first(now, "s", "s");
        self.meter.record_arrived(&"s".into(), level, now);
        let (draw, demand) = (self.rng.random_range(0.0..1.0), self.demand());
        let inputs = self.inputs(host, demand.as_ref());
        waiting.is_yielding = self.hosts[host].line.leaves_slot(level, inputs, draw, now);
        if at >= LOSS {
            self.outcomes[usize::from(level)].arrived += 1;
        }
        self.join(host, SampleCall { waiting, attempts: 0, refused_by: [false; 3] }, at);
    }

    fn join(&mut self, host: usize, call: SampleCall, at: u64) {
        let now = self.start + ms(at);
        let (room, demand) = (self.room(host, now), self.demand());
        let waiting = WaitingCall { joined: now, ..call.waiting };
        let inputs = self.inputs(host, demand.as_ref());
        match self.hosts[host].line.join(waiting, room, inputs) {
            Ok(number) => {
                self.hosts[host].calls.insert(number, SampleCall { waiting, ..call });
            }
            Err(_) if waiting.arrived >= self.start + ms(LOSS) => {
                self.outcomes[usize::from(waiting.level)].refused_at_once += 1;
            }
            Err(_) => {}
        }
        self.look(host, at);
    }

    /// Has all calls of a host look for what they do next until none is sent any more.
    fn look(&mut self, host: usize, at: u64) {
        let now = self.start + ms(at);
        loop {
            let mut has_sent = false;
            let numbers: Vec<_> = self.hosts[host].calls.keys().copied().collect();
            for number in numbers {
                let (room, demand) = (self.room(host, now), self.demand());
                let inputs = self.inputs(host, demand.as_ref());
                let step = self.hosts[host].line.step(number, room, inputs, now);
                match step {
                    LineStep::Wait(_) => continue,
                    LineStep::Refuse(_) => {
                        self.hosts[host].calls.remove(&number);
                    }
                    LineStep::Send | LineStep::SendLast => {
                        if let Some(call) = self.hosts[host].calls.remove(&number) {
                            self.send(host, call, step == LineStep::SendLast, at);
                        }
                        has_sent = true;
                    }
                }
            }
            if !has_sent {
                return;
            }
        }
    }

    fn send(&mut self, host: usize, mut call: SampleCall, is_last: bool, at: u64) {
        let now = self.start + ms(at);
        let demand = self.demand();
        let inputs = self.inputs(host, demand.as_ref());
        let of = &mut self.hosts[host];
        let reserved = of.line.reserved_retries(call.waiting.level, inputs, now);
        let is_reserved = of.budget.remaining_fraction(now, "s") < reserved;
        if call.attempts > 0 && (is_reserved || !of.budget.allow(now, "s", "s")) {
            return;
        }
        let usable = self.endpoints(host, now).into_iter().filter(|(_, endpoint)| {
            let line = &self.hosts[host].line;
            line.has_room(*endpoint, now)
                || (is_last && line.refused_until(endpoint.name, now).is_none())
        });
        let key = |(index, _): &(usize, CallEndpoint<'_>)| {
            (call.refused_by[*index], self.hosts[host].open[*index])
        };
        let Some(index) = usable.min_by_key(key).map(|(index, _)| index) else { return };
        call.attempts += 1;
        let busy = self.running.iter().filter(|(_, _, of, _)| *of == index).count();
        if busy as u32 >= SLOTS {
            self.hosts[host].line.record_refusal(&self.names[index], now);
            call.refused_by[index] = true;
            call.waiting.is_resent = true;
            if call.waiting.arrived >= self.start + ms(LOSS) {
                self.outcomes[usize::from(call.waiting.level)].refused_sends += 1;
            }
            if call.attempts < self.load.max_attempts {
                self.join(host, call, at);
            }
            return;
        }
        let taken = self.load.call_ms as f64 * self.rng.random_range(0.5..1.5);
        self.hosts[host].open[index] += 1;
        self.running.push((at + taken.round() as u64, host, index, call));
    }

    fn finish(&mut self, at: u64) {
        let now = self.start + ms(at);
        let ended = self.running.extract_if(.., |(end, ..)| *end <= at);
        let ended: Vec<_> = ended.collect();
        for (_, host, index, call) in ended {
            self.hosts[host].open[index] -= 1;
            self.hosts[host].line.record_answer(&self.names[index], ms(self.load.call_ms), now);
            if call.waiting.arrived >= self.start + ms(LOSS) {
                let outcome = &mut self.outcomes[usize::from(call.waiting.level)];
                outcome.served += 1;
                let age = now.saturating_duration_since(call.waiting.arrived);
                outcome.on_time += u32::from(age <= self.load.objective);
            }
            self.look(host, at);
        }
    }

    fn lose(&mut self) {
        self.is_up = [true, false, false];
        let lost = self.running.extract_if(.., |(_, _, index, _)| *index > 0);
        for (_, host, index, _) in lost {
            self.hosts[host].open[index] -= 1;
        }
    }

    fn run(mut self) -> [SampleOutcome; 3] {
        let rate = f64::from(SLOTS) / self.load.call_ms as f64;
        for at in 0..END {
            if at == LOSS {
                self.lose();
            }
            self.finish(at);
            if at % EXCHANGE == 0 {
                self.reports.pop_back();
                let latest = self.reports[0].clone();
                self.reports.push_front(latest);
                let counts = self.meter.counts(self.start + ms(at));
                self.demands.push_front(counts);
                self.demands.truncate(TOTAL_DELAY + 2);
            }
            for host in 0..self.load.hosts {
                if at % EXCHANGE == self.hosts[host].phase {
                    self.exchange(host, self.start + ms(at));
                    self.look(host, at);
                } else if !self.hosts[host].calls.is_empty() {
                    self.look(host, at);
                }
            }
            for level in 0..3 {
                if self.rng.random_range(0.0..1.0) < rate * self.load.rates[level] {
                    let host = self.rng.random_range(0..self.load.hosts);
                    self.arrive(host, level as u8, at);
                }
            }
        }
        self.outcomes
    }
}

/// Outcomes of several replays together.
fn replay(load: SampleLoad) -> [SampleOutcome; 3] {
    let mut sums = [SampleOutcome::default(); 3];
    for seed in 1..=5 {
        let outcomes = SampleSite::new(SampleLoad { seed, ..load }, Instant::now()).run();
        for (sum, outcome) in sums.iter_mut().zip(outcomes) {
            sum.arrived += outcome.arrived;
            sum.served += outcome.served;
            sum.on_time += outcome.on_time;
            sum.refused_at_once += outcome.refused_at_once;
            sum.refused_sends += outcome.refused_sends;
        }
    }
    sums
}

/// Checks the shares of the page: 0.9 of priority 0 on time, a quarter of each priority served.
fn check_shares(load: SampleLoad) {
    let outcomes = replay(load);
    let share = |count: u32, of: &SampleOutcome| f64::from(count) / f64::from(of.arrived);
    for (level, of) in outcomes.iter().enumerate() {
        println!(
            "{} hosts, calls of {} ms, {:?}: level {level} on time {:.3}, served {:.3}, refused at \
             once {:.3}, sends refused {:.3}",
            load.hosts,
            load.call_ms,
            load.rates,
            share(of.on_time, of),
            share(of.served, of),
            share(of.refused_at_once, of),
            share(of.refused_sends, of)
        );
    }
    assert!(share(outcomes[0].on_time, &outcomes[0]) >= 0.9, "{load:?}: {outcomes:?}");
    for of in &outcomes {
        assert!(share(of.served, of) >= 0.25, "{load:?}: {outcomes:?}");
    }
}

/// Load at which priority 0 alone takes half of what the remaining endpoint can run.
fn half_load(hosts: usize) -> SampleLoad {
    SampleLoad { hosts, call_ms: 60, rates: [0.5; 3], objective: ms(500), max_attempts: 2, seed: 0 }
}

/// The same with calls that take longer than an exchange.
fn slow_load(hosts: usize) -> SampleLoad {
    SampleLoad { call_ms: 330, objective: ms(1_000), ..half_load(hosts) }
}

/// Before, a call of any priority took the last free slot, and waited for 200 ms at most.
#[tokio::test(start_paused = true)]
async fn urgent_calls_are_on_time_at_6_hosts() {
    check_shares(half_load(6));
    check_shares(SampleLoad { rates: [0.3, 0.6, 0.6], ..half_load(6) });
}

/// Guards against a rule that needs several calls of one host to order them.
#[tokio::test(start_paused = true)]
async fn urgent_calls_are_on_time_at_63_hosts() {
    check_shares(half_load(63));
    check_shares(SampleLoad { rates: [0.3, 0.6, 0.6], ..half_load(63) });
}

/// Guards against a rule that fits only calls that end before the counts of other hosts arrive.
#[tokio::test(start_paused = true)]
async fn urgent_slow_calls_are_on_time_at_6_hosts() {
    check_shares(slow_load(6));
}

/// Guards against a rule that learns of a shortage only from refusals of many own calls.
#[tokio::test(start_paused = true)]
async fn urgent_slow_calls_are_on_time_at_63_hosts() {
    check_shares(slow_load(63));
}
