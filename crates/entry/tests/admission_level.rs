//! Admission of new streams in a shortage, by levels that hosts compute from their common totals.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

use jacinthrock_entry::{
    AdmissionTable, DemandCount, DemandMeter, LayerSpan, LevelInputs, LoadAggregator, LoadSum,
    NewStream, PriorityDemand, ServiceName, StageCapacity, admitted_shares, level_of, queue_usage,
    service_usage,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(20);
/// Steps between two exchanges of loads.
const EXCHANGE_STEPS: u32 = 10;
/// Streams that the engines run at the same time, and how long each of them runs: 3 s on average.
const CAPACITY: usize = 1_276;
const STREAM_STEPS: std::ops::Range<u32> = 75..225;
/// Objective of the kinds, and the wait after which a stream is refused by its queue.
const OBJECTIVE_STEPS: u32 = 25;
const MAX_WAIT_STEPS: u32 = 70;
/// Streams per second of each kind on a usual day; the engines can start 425 per second.
const USUAL: [f64; 3] = [112.0, 70.0, 43.0];

fn service() -> ServiceName {
    "a".into()
}

fn count(arrived_per_s: f64, started_per_s: f64) -> DemandCount {
    DemandCount { arrived_per_s, started_per_s, ..DemandCount::default() }
}

fn new_stream(priority: u8) -> NewStream {
    NewStream {
        priority,
        tokens: 100,
        mean_tokens: 100,
        is_retried: false,
        remaining: Duration::from_secs(20),
    }
}

/// A stream of the simulation, with the steps at which it first arrived and began to wait.
#[derive(Clone, Copy)]
struct SimStream {
    host: usize,
    customer: usize,
    priority: u8,
    arrived: u32,
    waits_since: u32,
    is_retried: bool,
}

/// What has become of the streams of each priority.
#[derive(Default)]
struct SimOutcome {
    arrived: [u32; 3],
    admitted: [u32; 3],
    served: [u32; 3],
    on_time: [u32; 3],
    /// New streams and admitted ones of a flooding customer and of the others, of priority 1.
    by_customer: [(u32, u32); 2],
    /// Shares that the hosts compute at each exchange.
    shares: Vec<Vec<[f64; 3]>>,
}

impl SimOutcome {
    fn served_share(&self) -> f64 {
        f64::from(self.served.iter().sum::<u32>()) / f64::from(self.arrived.iter().sum::<u32>())
    }

    fn on_time_share(&self, priority: usize) -> f64 {
        f64::from(self.on_time[priority]) / f64::from(self.arrived[priority])
    }

    fn admitted_share(&self, priority: usize) -> f64 {
        f64::from(self.admitted[priority]) / f64::from(self.arrived[priority])
    }

    /// Largest deviation of a host's share of a priority from its mean, from `start` seconds on.
    fn deviation(&self, priority: usize, start: usize) -> f64 {
        let shares: Vec<f64> =
            self.shares[start * 5..].iter().flatten().map(|shares| shares[priority]).collect();
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        shares.iter().map(|share| (share - mean).abs()).fold(0.0, f64::max)
    }
}

/// Hosts that admit streams and share engines, without a network. Admitted streams wait in one
/// queue, in the order of the page: those that can be on time by priority, then the others.
struct Shortage {
    hosts: usize,
    /// Seconds with the usual load, and with the load of the shortage.
    usual_s: u32,
    shortage_s: u32,
    factor: f64,
    /// Further streams of priority 1 per second, all of one customer.
    flood_per_s: f64,
    /// Hosts that get no totals.
    cut_off: BTreeSet<usize>,
}

impl Shortage {
    fn new(hosts: usize, factor: f64) -> Self {
        let cut_off = BTreeSet::new();
        Self { hosts, usual_s: 10, shortage_s: 20, factor, flood_per_s: 0.0, cut_off }
    }

    /// Runs the hosts; counts the streams of the shortage.
    fn run(&self) -> SimOutcome {
        let (service, start) = (service(), Instant::now());
        let mut random = StdRng::seed_from_u64(7);
        let mut outcome = SimOutcome::default();
        let mut tables: Vec<_> = (0..self.hosts).map(|_| AdmissionTable::default()).collect();
        let mut meters: Vec<_> = (0..self.hosts).map(|_| DemandMeter::default()).collect();
        let mut aggregator = LoadAggregator::default();
        let mut totals: VecDeque<(f64, PriorityDemand)> = VecDeque::new();
        let mut queue: Vec<SimStream> = Vec::new();
        let mut ends: BinaryHeap<Reverse<u32>> = BinaryHeap::new();
        let mut returns: Vec<(u32, SimStream)> = Vec::new();
        let mut due = [0.0; 4];
        for step in 0..(self.usual_s + self.shortage_s) * 50 {
            let now = start + STEP * step;
            let is_shortage = step >= self.usual_s * 50;
            while ends.peek().is_some_and(|Reverse(end)| *end <= step) {
                ends.pop();
            }
            // A third of the hosts gets two thirds of the streams.
            let pick_host = |random: &mut StdRng| {
                let few = (self.hosts / 3).max(1);
                let is_busy = random.random_range(0.0..1.0) < 2.0 / 3.0;
                random.random_range(if is_busy { 0..few } else { 0..self.hosts })
            };
            let mut arrivals = Vec::new();
            for (kind, due) in due.iter_mut().enumerate() {
                let factor = if is_shortage { self.factor } else { 1.0 };
                let flood = if is_shortage { self.flood_per_s } else { 0.0 };
                let per_s = USUAL.get(kind).map_or(flood, |usual| usual * factor);
                *due += per_s * STEP.as_secs_f64();
                while *due >= 1.0 {
                    *due -= 1.0;
                    let priority = if kind == 3 { 1 } else { kind as u8 };
                    arrivals.push(SimStream {
                        host: pick_host(&mut random),
                        customer: kind / 3,
                        priority,
                        arrived: step,
                        waits_since: step,
                        is_retried: false,
                    });
                }
            }
            returns.retain(|(at, stream)| {
                let is_due = *at <= step;
                if is_due {
                    let host = pick_host(&mut random);
                    arrivals.push(SimStream {
                        host,
                        waits_since: step,
                        is_retried: true,
                        ..*stream
                    });
                }
                !is_due
            });
            for stream in arrivals {
                let kind = usize::from(stream.priority);
                let is_counted = stream.arrived >= self.usual_s * 50;
                let is_first = is_counted && !stream.is_retried;
                if !stream.is_retried {
                    meters[stream.host].record_arrived(&service, stream.priority, now);
                }
                let asked =
                    NewStream { is_retried: stream.is_retried, ..new_stream(stream.priority) };
                let draw = random.random_range(0.0..1.0);
                let admitted = tables[stream.host].admit(&service, &asked, draw, now);
                if is_first {
                    outcome.arrived[kind] += 1;
                    outcome.admitted[kind] += u32::from(admitted.is_ok());
                    if kind == 1 {
                        let (new, taken) = &mut outcome.by_customer[stream.customer];
                        *new += 1;
                        *taken += u32::from(admitted.is_ok());
                    }
                }
                match admitted {
                    Ok(()) => {
                        meters[stream.host].join_queue(&service, stream.priority, now);
                        queue.push(stream);
                    }
                    Err(refusal) => {
                        let delay = refusal.min_delay.mul_f64(random.random_range(1.0..2.0));
                        let steps = delay.div_duration_f64(STEP) as u32;
                        returns.push((step + steps, stream));
                    }
                }
            }
            queue.sort_by_key(|stream| {
                let is_late = step - stream.arrived > OBJECTIVE_STEPS;
                (is_late, stream.priority, stream.arrived)
            });
            let free = CAPACITY.saturating_sub(ends.len()).min(queue.len());
            for stream in queue.drain(..free) {
                meters[stream.host].leave_queue(&service, stream.priority, now);
                let record = match stream.is_retried {
                    true => DemandMeter::record_returned,
                    false => DemandMeter::record_started,
                };
                record(&mut meters[stream.host], &service, stream.priority, now);
                ends.push(Reverse(step + random.random_range(STREAM_STEPS)));
                if stream.arrived >= self.usual_s * 50 {
                    let is_on_time = step - stream.arrived <= OBJECTIVE_STEPS;
                    outcome.served[usize::from(stream.priority)] += 1;
                    outcome.on_time[usize::from(stream.priority)] += u32::from(is_on_time);
                }
            }
            queue.retain(|stream| {
                let is_kept = step - stream.waits_since < MAX_WAIT_STEPS;
                if !is_kept {
                    meters[stream.host].leave_queue(&service, stream.priority, now);
                    if !stream.is_retried {
                        returns.push((step + random.random_range(45..90), *stream));
                    }
                }
                is_kept
            });
            if step % EXCHANGE_STEPS == 0 {
                for (host, meter) in meters.iter_mut().enumerate() {
                    let report = LoadSum { demands: meter.counts(now), ..LoadSum::default() };
                    aggregator.exchange(format!("h{host}").as_str().into(), report, now);
                }
                let demand = aggregator.total(now).demands.get(&service).cloned();
                let usage = ends.len() as f64 / CAPACITY as f64;
                totals.push_front((usage, demand.unwrap_or_default()));
                totals.truncate(3);
                let mut shares = Vec::new();
                for (host, table) in tables.iter_mut().enumerate() {
                    // Totals arrive one or two exchanges late.
                    let late = 1 + host % 2;
                    let known = totals.get(late).filter(|_| !self.cut_off.contains(&host));
                    let inputs = known.map(|(usage, demand)| LevelInputs {
                        usage: *usage,
                        demand,
                        age: STEP * EXCHANGE_STEPS * late as u32,
                    });
                    table.update(&service, inputs, now);
                    let known = table.shares(&service);
                    shares.push([0, 1, 2].map(|level| *known.get(&level).unwrap_or(&1.0)));
                }
                outcome.shares.push(shares);
            }
        }
        outcome
    }
}

/// Each host alone sees few streams. If the share depended on how many hosts there are, growing a
/// deployment would refuse streams that its engines could run.
#[tokio::test(start_paused = true)]
async fn share_served_does_not_depend_on_the_number_of_hosts() {
    let shares = [6, 63, 195, 300].map(|hosts| Shortage::new(hosts, 2.6).run().served_share());
    let lowest = shares.into_iter().fold(f64::INFINITY, f64::min);
    let highest = shares.into_iter().fold(0.0, f64::max);
    println!("served: {shares:.3?}");
    assert!(highest - lowest <= 0.1 * highest, "share served at 6, 63, 195, 300: {shares:?}");
}

/// Without admission, streams of any priority take the last starts, and urgent ones wait behind
/// them.
#[tokio::test(start_paused = true)]
async fn urgent_streams_are_on_time_while_others_can_yield() {
    for hosts in [6, 63, 195, 300] {
        let outcome = Shortage::new(hosts, 2.2).run();
        let on_time = [0, 1, 2].map(|priority| outcome.on_time_share(priority));
        println!("{hosts} hosts: on time {on_time:.3?}");
        assert!(on_time[0] >= 0.99, "{hosts} hosts: on time by priority {on_time:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn no_kind_is_starved_while_the_engines_accept_its_least_share() {
    for factor in [1.0, 1.8, 2.2, 2.6, 3.0, 4.0] {
        let outcome = Shortage::new(63, factor).run();
        let admitted = [0, 1, 2].map(|priority| outcome.admitted_share(priority));
        println!("factor {factor}: admitted {admitted:.3?}");
        for share in admitted {
            assert!(share >= 0.4, "factor {factor}: admitted by priority {admitted:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn everything_is_admitted_below_the_shortage() {
    let outcome = Shortage::new(63, 1.2).run();
    assert_eq!(outcome.admitted, outcome.arrived);
}

/// A level that follows delayed totals too fast admits too many streams and too few in turn.
#[tokio::test(start_paused = true)]
async fn level_does_not_oscillate_under_steady_load() {
    for factor in [1.3, 1.6, 1.7, 1.8, 2.0, 2.2, 2.6, 3.0] {
        let outcome = Shortage { shortage_s: 40, ..Shortage::new(63, factor) }.run();
        // The shortage begins after ten seconds.
        let deviations = [0, 1, 2].map(|priority| outcome.deviation(priority, 20));
        println!("factor {factor}: deviations {deviations:.3?}");
        for deviation in deviations {
            assert!(deviation <= 0.1, "factor {factor}: shares deviate by {deviations:?}");
        }
    }
}

/// A host without totals can't tell a shortage; refusing by what it once knew would cost its callers
/// their streams long after the shortage.
#[tokio::test(start_paused = true)]
async fn host_that_is_cut_off_admits_all_and_disturbs_no_other() {
    let cut_off: BTreeSet<usize> = [40].into();
    let outcome = Shortage { cut_off, ..Shortage::new(63, 2.2) }.run();
    assert!(outcome.shares.iter().all(|shares| shares[40] == [1.0; 3]));
    let on_time = outcome.on_time_share(0);
    assert!(on_time >= 0.99, "{on_time:.3} of the urgent streams are on time");

    let (mut table, now) = (AdmissionTable::default(), Instant::now());
    let demand = [(0, count(100.0, 10.0))].into();
    let inputs = LevelInputs { usage: 1.0, demand: &demand, age: Duration::ZERO };
    table.update(&service(), Some(inputs), now);
    assert!(table.admit(&service(), &new_stream(0), 0.0, now).is_err());
    let later = now + Duration::from_millis(2_500);
    assert!(table.admit(&service(), &new_stream(0), 0.0, later).is_ok());
}

/// Refusals by customer would need a history of each; the level must at least not favour the one
/// that floods.
#[tokio::test(start_paused = true)]
async fn flood_of_one_customer_leaves_the_others_the_same_share() {
    let outcome = Shortage { flood_per_s: 300.0, ..Shortage::new(63, 1.0) }.run();
    let [others, flood] = outcome.by_customer.map(|(new, taken)| f64::from(taken) / f64::from(new));
    println!("admitted of others {others:.3}, of the flood {flood:.3}");
    assert!((others - flood).abs() <= 0.05, "admitted: others {others}, flood {flood}");
    assert!(others >= 0.4, "others get {others}");
    assert!(outcome.on_time_share(0) >= 0.99, "{}", outcome.on_time_share(0));
}

#[test]
fn shares_follow_the_order_of_priorities() {
    let demand = [(0, count(100.0, 50.0)), (1, count(100.0, 50.0)), (2, count(100.0, 80.0))].into();
    // 180 per second at full target usage: 40 for each, and 60 more for the first.
    assert_eq!(admitted_shares(0.9, &demand)[..4], [1.0, 0.4, 0.4, 0.4]);
    let shares = admitted_shares(0.75, &demand);
    assert_eq!(shares[0], 1.0);
    assert!((shares[1] - 0.76).abs() < 1e-9, "{shares:?}");
    assert_eq!(admitted_shares(0.74, &demand)[..3], [1.0; 3]);
}

/// Below full usage, streams that wait show that starts are short at some place.
#[test]
fn waiting_streams_put_a_level_in_force_at_low_usage() {
    let waiting = DemandCount { waiting: 5, ..count(100.0, 40.0) };
    let shares = admitted_shares(0.6, &[(0, waiting)].into());
    assert!((shares[0] - 0.6).abs() < 1e-9, "{shares:?}");
    // Nothing has started yet, so that no rate of the engines is known.
    let cold = DemandCount { waiting: 5, ..count(100.0, 0.0) };
    assert_eq!(admitted_shares(0.1, &[(0, cold)].into())[0], 1.0);
}

/// Guards against a kind of large requests that gets less than 0.4 of its arrivals: larger requests
/// are refused first, but each size keeps that share.
#[tokio::test(start_paused = true)]
async fn each_size_keeps_the_least_share() {
    // At usage 0.9, as many are admitted as have started.
    let refused_by_size = |started_per_s| {
        let (mut table, now) = (AdmissionTable::default(), Instant::now());
        let demand = [(0, count(1_000.0, started_per_s))].into();
        let inputs = LevelInputs { usage: 0.9, demand: &demand, age: Duration::ZERO };
        table.update(&service(), Some(inputs), now);
        [(1, 100), (100, 100), (100, 0), (u32::MAX, 100)].map(|(tokens, mean_tokens)| {
            // Draws between the thousandths do not depend on rounding.
            let draws = (0..1_000).map(|draw| (f64::from(draw) + 0.5) / 1_000.0);
            let stream = NewStream { tokens, mean_tokens, ..new_stream(0) };
            draws.filter(|draw| table.admit(&service(), &stream, *draw, now).is_err()).count()
        })
    };
    assert_eq!(refused_by_size(10.0), [450, 600, 600, 600]);
    assert_eq!(refused_by_size(700.0), [225, 300, 300, 375]);
}

/// A caller returns once at most; refusing it again would lose its request.
#[tokio::test(start_paused = true)]
async fn refused_callers_return_in_time_and_are_admitted() {
    let (mut table, now) = (AdmissionTable::default(), Instant::now());
    let demand = [(0, count(1_000.0, 10.0))].into();
    let age = Duration::from_millis(300);
    table.update(&service(), Some(LevelInputs { usage: 0.95, demand: &demand, age }), now);
    let refusal = table.admit(&service(), &new_stream(0), 0.0, now).expect_err("a refusal");
    assert_eq!((refusal.share, refusal.usage, refusal.age), (0.4, 0.95, age));
    assert_eq!(refusal.min_delay, Duration::from_millis(2_160));
    assert_eq!(
        refusal.to_string(),
        "capacity is short: share 0.400 of level 0 is admitted, usage 0.950, age 300 ms"
    );
    let hurried = NewStream { remaining: Duration::from_secs(3), ..new_stream(0) };
    let refusal = table.admit(&service(), &hurried, 0.0, now).expect_err("a refusal");
    assert!(refusal.min_delay * 2 <= Duration::from_secs(1), "{refusal:?}");
    let retried = NewStream { is_retried: true, ..new_stream(0) };
    assert!(table.admit(&service(), &retried, 0.0, now).is_ok());
}

/// A forged or garbled total must neither block all streams nor lift what bounds them.
#[tokio::test(start_paused = true)]
async fn forged_totals_block_nothing() {
    let odd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0, 1e300, f64::MIN_POSITIVE];
    for usage in odd.into_iter().chain([0.5, 0.9, 2.0]) {
        for arrived_per_s in odd {
            for started_per_s in odd {
                for waiting in [0, u32::MAX] {
                    let forged = DemandCount { waiting, ..count(arrived_per_s, started_per_s) };
                    let demand = [(0, forged), (1, count(10.0, 5.0)), (255, forged)].into();
                    for share in admitted_shares(usage, &demand) {
                        assert!((0.4..=1.0).contains(&share), "{usage} {forged:?}: {share}");
                    }
                }
            }
        }
    }
    let (mut table, now) = (AdmissionTable::default(), Instant::now());
    let demand = [(0, count(100.0, 1.0))].into();
    for age in [Duration::from_millis(2_500), Duration::MAX] {
        table.update(&service(), Some(LevelInputs { usage: 1.0, demand: &demand, age }), now);
        assert!(table.admit(&service(), &new_stream(0), 0.0, now).is_ok(), "{age:?}");
    }
}

/// After a shortage, streams must not be refused while the engines have free starts.
#[tokio::test(start_paused = true)]
async fn level_ends_with_the_shortage() {
    let (mut table, now) = (AdmissionTable::default(), Instant::now());
    let demand = [(0, count(100.0, 10.0))].into();
    let inputs = LevelInputs { usage: 0.95, demand: &demand, age: Duration::ZERO };
    table.update(&service(), Some(inputs), now);
    assert!(table.admit(&service(), &new_stream(0), 0.0, now).is_err());
    table.update(&service(), Some(LevelInputs { usage: 0.7, ..inputs }), now);
    assert!(table.admit(&service(), &new_stream(0), 0.0, now).is_ok());
    // The next shortage begins from there.
    let later = now + Duration::from_secs(2);
    table.update(&service(), Some(inputs), later);
    let share = table.shares(&service())[&0];
    assert!((share - (0.4 + 0.6 / std::f64::consts::E)).abs() < 1e-9, "{share}");
}

/// A holder of the previous version sends totals without demand; hosts must then serve as before.
#[test]
fn everything_is_admitted_by_a_total_without_demand() {
    assert_eq!(admitted_shares(1.0, &PriorityDemand::new()), [1.0; 100]);
    assert_eq!(admitted_shares(1.0, &[(0, count(0.0, 0.0))].into()), [1.0; 100]);
}

/// With more kinds than levels, the last level holds the rest, and each level gets its least share.
#[test]
fn many_priorities_share_a_hundred_levels() {
    let one = admitted_shares(1.0, &[(3, count(100.0, 50.0))].into());
    assert!((one[3] - 0.45).abs() < 1e-9, "{one:?}");
    let kinds: PriorityDemand = (0..200).map(|priority| (priority, count(1.0, 0.6))).collect();
    let shares = admitted_shares(0.9, &kinds);
    // 120 per second: 0.4 for each of 200 kinds, and 0.6 more for 66 of them; 0.4 are left.
    assert_eq!(shares[..66], [1.0; 66]);
    assert!((shares[66] - 0.8).abs() < 1e-9, "{shares:?}");
    assert_eq!(shares[67..], [0.4; 33]);
}

/// The log must not grow with the number of exchanges.
#[tokio::test(start_paused = true)]
async fn changes_are_reported_at_most_once_a_second() {
    let (mut table, start) = (AdmissionTable::default(), Instant::now());
    let mut reports = Vec::new();
    for step in 0..25_u32 {
        let demand = [(0, count(100.0, 90.0 - f64::from(step)))].into();
        let now = start + Duration::from_millis(200) * step;
        let age = Duration::from_millis(250);
        let inputs = LevelInputs { usage: 1.0, demand: &demand, age };
        let changes = table.update(&service(), Some(inputs), now);
        if let Some(change) = changes.first() {
            assert_eq!((change.priority, change.usage, change.age), (0, 1.0, age));
            assert_eq!(change.arrived_per_s, 100.0);
            assert_eq!(change.started_per_s, demand[&0].started_per_s);
            reports.push(step);
        }
    }
    assert_eq!(reports, [0, 5, 10, 15, 20]);
    let restored = table.update(&service(), None, start + Duration::from_secs(6));
    assert_eq!(restored.first().map(|change| change.share), Some(1.0));
    assert!(table.update(&service(), None, start + Duration::from_secs(9)).is_empty());
}

fn stage(from: u16, to: u16, starts: u32, token_layers: u64) -> StageCapacity {
    let span = LayerSpan { from, to };
    let domain = "north".into();
    StageCapacity { domain, span, slots: 100, starts, token_layers, kv_capacity: 1_000.0 }
}

#[test]
fn usage_is_that_of_the_starts_or_of_the_tightest_layer() {
    assert_eq!(service_usage(8, &[]), 0.0);
    assert_eq!(service_usage(8, &[stage(0, 4, 95, 100), stage(4, 8, 0, 500)]), 1.0);
    assert_eq!(service_usage(8, &[stage(0, 4, 19, 100), stage(4, 8, 0, 500)]), 0.5);
    // Layer 3 is held twice, layers 4 to 7 by one card that is nearly full.
    let stages = [stage(0, 4, 19, 100), stage(3, 8, 0, 900)];
    assert!((service_usage(8, &stages) - 0.9).abs() < 1e-9);
    // Nothing holds the last layers, and a card without slots starts nothing.
    let without_slots = StageCapacity { slots: 0, ..stage(0, 4, 3, 100) };
    assert_eq!(service_usage(8, &[without_slots]), 0.1);
}

/// No failure domain has a whole path left and the link between them is full: starts and KV cache are
/// half free, but streams wait longer than an on-time answer allows. Without the queue as a sign, all
/// were admitted and late.
#[test]
fn streams_that_cannot_start_for_another_reason_are_a_shortage() {
    let on_time_wait = Duration::from_millis(350);
    let waiting = |waiting| -> PriorityDemand {
        let counts = DemandCount {
            arrived_per_s: 200.0,
            started_per_s: 100.0,
            waiting,
            ..DemandCount::default()
        };
        [(0, counts)].into()
    };
    assert_eq!(queue_usage(&waiting(0), on_time_wait), 0.0);
    assert!(queue_usage(&waiting(7), on_time_wait) <= 0.2 + 1e-9);
    let long = waiting(70);
    assert_eq!(queue_usage(&long, on_time_wait), 1.0);
    // 100 start per second, of which 0.9 are admitted anew.
    let shares = admitted_shares(queue_usage(&long, on_time_wait), &long);
    assert!((shares[0] - 0.45).abs() < 1e-9, "{}", shares[0]);
    let stopped: PriorityDemand =
        [(0, DemandCount { waiting: 70, ..DemandCount::default() })].into();
    assert_eq!(
        queue_usage(&stopped, on_time_wait),
        0.0,
        "nothing tells at what rate streams start"
    );
}

/// Customers with the same priority compete by the priority of the route, and never before a customer
/// of a higher priority.
#[test]
fn priority_of_the_customer_goes_before_that_of_the_route() {
    let urgent_customer = level_of(0, 2);
    let (urgent_kind, other_kind) = (level_of(1, 0), level_of(1, 2));
    assert!(urgent_customer < urgent_kind && urgent_kind < other_kind);
    let demand: PriorityDemand =
        [urgent_customer, urgent_kind, other_kind].map(|level| (level, count(100.0, 50.0))).into();
    // 150 per second: 40 for each, and 30 more for the first.
    let shares = admitted_shares(0.9, &demand);
    assert!((shares[usize::from(urgent_customer)] - 0.7).abs() < 1e-9);
    assert_eq!([urgent_kind, other_kind].map(|level| shares[usize::from(level)]), [0.4, 0.4]);
}
