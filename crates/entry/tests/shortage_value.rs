//! What a shortage costs callers: admission and queues of this product against order of arrival.
//!
//! Replays a shortage of ten seconds at 63 hosts without a network. Both ways have the same engines,
//! callers and last moments; order of arrival has one queue over all hosts, admits all streams and
//! starts the first.

#[path = "support/streams.rs"]
mod streams;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use jacinthrock_entry::{
    AdmissionTable, DemandMeter, FreeStarts, LevelInputs, LoadAggregator, LoadSum, NewStream,
    ObjectiveQueue, PeerLoads, ReturnSchedule, ServiceName, SiteQueue, WaitingStream,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use streams::{DEADLINE, ms, new_stream};
use tokio::time::Instant;

const HOSTS: usize = 63;
const STEP: Duration = ms(10);
/// Steps between two exchanges of loads.
const EXCHANGE_STEPS: u32 = 20;
/// Streams that the engines run at the same time, and how long each runs: 3 s on average.
const CAPACITY: usize = 1_276;
const STREAM_STEPS: std::ops::Range<u32> = 150..450;
/// Streams that can start per second.
const STARTS_PER_S: f64 = CAPACITY as f64 / 3.0;
/// Streams of each priority per second on a usual day, and their objectives in ms.
const USUAL: [f64; 3] = [112.0, 70.0, 43.0];
const OBJECTIVES_MS: [u64; 3] = [500, 500, 1_000];
/// Value of an answer that is on time, and of one that is late, by priority.
const ON_TIME_VALUE: [f64; 3] = [2.8, 1.4, 0.78];
const LATE_VALUE: [f64; 3] = [0.28, 0.36, 0.29];
/// Steps at which the shortage begins and ends, and those of the whole replay. The last streams of
/// the shortage have returned and ended by then.
const SHORTAGE_STEPS: std::ops::Range<u32> = 1_000..2_000;
const ALL_STEPS: u32 = 3_500;
/// Interval that a host falls back on before the first exchange.
const HOST_INTERVAL: Duration = ms(250);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Order {
    Arrival,
    Product,
}

/// A caller's stream.
#[derive(Clone, Copy)]
struct CallerStream {
    waiting: WaitingStream,
    host: usize,
    is_retried: bool,
    /// Whether its first attempt was in the shortage.
    is_counted: bool,
}

/// What came of the streams that were first sent in the shortage, by priority.
#[derive(Debug, Default)]
struct ShortageOutcome {
    arrived: [u32; 3],
    admitted: [u32; 3],
    on_time: [u32; 3],
    late: [u32; 3],
}

impl ShortageOutcome {
    /// Part of the value of on-time answers to all streams that callers lose.
    fn lost_share(&self) -> f64 {
        let values = (0..3).map(|kind| {
            let late = f64::from(self.late[kind]) * LATE_VALUE[kind];
            f64::from(self.on_time[kind]) * ON_TIME_VALUE[kind] + late
        });
        let all = (0..3).map(|kind| f64::from(self.arrived[kind]) * ON_TIME_VALUE[kind]);
        1.0 - values.sum::<f64>() / all.sum::<f64>()
    }

    fn shares(&self, counts: [u32; 3]) -> [f64; 3] {
        std::array::from_fn(|kind| f64::from(counts[kind]) / f64::from(self.arrived[kind]))
    }
}

/// One entry host.
#[derive(Default)]
struct SampleHost {
    queue: ObjectiveQueue,
    waiting: BTreeMap<u64, CallerStream>,
    meter: DemandMeter,
    table: AdmissionTable,
    returns: ReturnSchedule,
    site: Option<SiteQueue>,
    reported: LoadSum,
}

impl SampleHost {
    /// The stream that takes a free start, if any does.
    fn next(&mut self, free: FreeStarts, now: Instant) -> Option<u64> {
        self.queue.update(now);
        let first = self.queue.first()?;
        let leaves = |stream: &WaitingStream| stream.leaves_start(|| free, self.site.as_ref(), now);
        let mut own = self.waiting.iter().map(|(number, stream)| (*number, &stream.waiting));
        own.find(|(number, stream)| {
            (*number == first || self.queue.goes_past(*number, leaves, now)) && !leaves(stream)
        })
        .map(|(number, _)| number)
    }
}

/// A deployment in a replay.
struct SampleSite {
    order: Order,
    service: ServiceName,
    hosts: Vec<SampleHost>,
    aggregator: LoadAggregator,
    /// Total and usage of the last exchange, which hosts get with the next.
    exchanged: Option<(LoadSum, f64)>,
    /// Steps at which the streams in progress end.
    ends: BinaryHeap<Reverse<u32>>,
    free_starts: FreeStarts,
    /// Refused callers with the step at which they return.
    returns: Vec<(u32, CallerStream)>,
    random: StdRng,
    outcome: ShortageOutcome,
}

impl SampleSite {
    fn new(order: Order, seed: u64) -> Self {
        Self {
            order,
            service: "a".into(),
            hosts: (0..HOSTS).map(|_| SampleHost::default()).collect(),
            aggregator: LoadAggregator::default(),
            exchanged: None,
            ends: BinaryHeap::new(),
            free_starts: FreeStarts::default(),
            returns: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            outcome: ShortageOutcome::default(),
        }
    }

    fn exchange(&mut self, now: Instant) {
        if let Some((total, usage)) = self.exchanged.take() {
            let demand = total.demands.get(&self.service).cloned().unwrap_or_default();
            let age = STEP * EXCHANGE_STEPS;
            for host in &mut self.hosts {
                let mut peers = PeerLoads::default();
                peers.update(total.clone(), std::mem::take(&mut host.reported), HOSTS, now);
                let elsewhere = peers.other_demands("a", now).expect("a recent total");
                let on_time = peers.other_on_time("a", now).expect("a recent total");
                host.site = Some(SiteQueue::new(&demand, &elsewhere, on_time));
                let inputs = LevelInputs { usage, demand: &demand, age };
                host.table.update(&self.service, Some(inputs), now);
            }
        }
        for (number, host) in self.hosts.iter_mut().enumerate() {
            let on_time = [(self.service.clone(), host.queue.on_time(now))].into();
            let demands = host.meter.counts(now);
            host.reported = LoadSum { demands, on_time, ..LoadSum::default() };
            let name = format!("h{number}").as_str().into();
            self.aggregator.exchange(name, host.reported.clone(), now);
        }
        let usage = self.ends.len() as f64 / CAPACITY as f64;
        self.exchanged = Some((self.aggregator.total(now).clone(), usage));
    }

    fn arrive(&mut self, stream: CallerStream, step: u32, now: Instant) {
        let (priority, kind) = (stream.waiting.priority, usize::from(stream.waiting.priority));
        let is_first = stream.is_counted && !stream.is_retried;
        self.outcome.arrived[kind] += u32::from(is_first);
        let draw = self.random.random_range(0.0..1.0);
        let host = &mut self.hosts[stream.host];
        if !stream.is_retried {
            host.meter.record_arrived(&self.service, priority, now);
        }
        let asked = NewStream {
            priority,
            tokens: 100,
            mean_tokens: 100,
            is_retried: stream.is_retried,
            remaining: stream.waiting.deadline - now,
        };
        let admitted = match self.order {
            Order::Product => host.table.admit("a", &asked, draw, now),
            Order::Arrival => Ok(()),
        };
        if let Err(refusal) = admitted {
            return self.send_back(stream, refusal.min_delay, step);
        }
        self.outcome.admitted[kind] += u32::from(is_first);
        host.queue.update(now);
        let (number, ahead) = host.queue.join(stream.waiting, now);
        let is_full = self.free_starts.count == 0;
        let wait = stream.waiting.expected_wait(ahead, host.site.as_ref(), HOST_INTERVAL, now);
        let is_refused = is_full && !wait.is_zero() && stream.waiting.is_refused(wait, now);
        if self.order == Order::Product && is_refused {
            host.queue.leave(number);
            return self.refuse(stream, step, now);
        }
        host.meter.join_queue(&self.service, priority, now);
        host.waiting.insert(number, stream);
    }

    /// Refuses a stream that its queue can't serve.
    fn refuse(&mut self, stream: CallerStream, step: u32, now: Instant) {
        let host = &mut self.hosts[stream.host];
        host.returns.record_refused(now);
        let remaining = stream.waiting.deadline - now;
        let delay = host.returns.delay(now, remaining);
        let delay = match self.order {
            Order::Product => {
                let (at, site) = (now + delay, host.site.as_ref());
                let returned = WaitingStream { silent_since: at, ..stream.waiting };
                let ahead = host.queue.ahead(returned.order(at));
                let wait = returned.expected_wait(ahead, site, HOST_INTERVAL, at);
                host.returns.delay_with_wait(now, remaining, wait)
            }
            Order::Arrival => delay,
        };
        self.send_back(stream, delay, step);
    }

    /// Has the caller return after its first refusal.
    fn send_back(&mut self, stream: CallerStream, min_delay: Duration, step: u32) {
        if !stream.is_retried {
            let delay = min_delay.mul_f64(self.random.random_range(1.0..2.0));
            self.returns.push((step + delay.div_duration_f64(STEP) as u32, stream));
        }
    }

    fn take_returns(&mut self, step: u32) -> Vec<CallerStream> {
        let due = self.returns.extract_if(.., |(at, _)| *at <= step);
        due.map(|(_, stream)| stream).collect()
    }

    fn drop_overdue(&mut self, step: u32, now: Instant) {
        for index in 0..HOSTS {
            let host = &mut self.hosts[index];
            let overdue = host.waiting.extract_if(.., |_, it| it.waiting.last_moment() <= now);
            for (number, stream) in overdue.collect::<Vec<_>>() {
                let host = &mut self.hosts[index];
                host.queue.leave(number);
                host.meter.leave_queue(&self.service, stream.waiting.priority, now);
                self.refuse(stream, step, now);
            }
        }
    }

    /// Gives free starts to streams until none takes one.
    fn start(&mut self, step: u32, now: Instant) {
        while self.ends.peek().is_some_and(|Reverse(end)| *end <= step) {
            self.ends.pop();
        }
        loop {
            let free = CAPACITY.saturating_sub(self.ends.len());
            self.free_starts.record(free as u64, now);
            if free == 0 {
                return;
            }
            let Some((host, number)) = self.next(step, now) else { return };
            let host = &mut self.hosts[host];
            host.queue.leave(number);
            let Some(stream) = host.waiting.remove(&number) else { return };
            host.meter.leave_queue(&self.service, stream.waiting.priority, now);
            let record = match stream.is_retried {
                true => DemandMeter::record_returned,
                false => DemandMeter::record_started,
            };
            record(&mut host.meter, &self.service, stream.waiting.priority, now);
            host.returns.record_served(now);
            self.ends.push(Reverse(step + self.random.random_range(STREAM_STEPS)));
            if stream.is_counted {
                let is_on_time = now <= stream.waiting.on_time_until();
                let kind = usize::from(stream.waiting.priority);
                self.outcome.on_time[kind] += u32::from(is_on_time);
                self.outcome.late[kind] += u32::from(!is_on_time);
            }
        }
    }

    /// Host and number of the stream that starts next. In the product, the first host that looks
    /// takes a start.
    fn next(&mut self, step: u32, now: Instant) -> Option<(usize, u64)> {
        let free = self.free_starts;
        if self.order == Order::Arrival {
            let waiting = self.hosts.iter().enumerate().flat_map(|(index, host)| {
                host.waiting.iter().map(move |(number, stream)| (index, *number, stream))
            });
            let first = waiting.min_by_key(|(_, _, stream)| stream.waiting.silent_since);
            return first.map(|(index, number, _)| (index, number));
        }
        let from = step as usize * 31;
        (0..HOSTS)
            .map(|offset| (from + offset) % HOSTS)
            .find_map(|index| self.hosts[index].next(free, now).map(|number| (index, number)))
    }
}

/// Replays a shortage in which `factor` times as many streams arrive as can start.
fn replay(order: Order, factor: f64, seed: u64) -> ShortageOutcome {
    let (mut site, start) = (SampleSite::new(order, seed), Instant::now() + DEADLINE);
    let mut due = [0.0; 3];
    for step in 0..ALL_STEPS {
        let now = start + STEP * step;
        if step % EXCHANGE_STEPS == 0 {
            site.exchange(now);
        }
        site.drop_overdue(step, now);
        let is_shortage = SHORTAGE_STEPS.contains(&step);
        for kind in 0..3 {
            let usual: f64 = USUAL.iter().sum();
            let scale = if is_shortage { factor * STARTS_PER_S / usual } else { 1.0 };
            due[kind] += USUAL[kind] * scale * STEP.as_secs_f64();
            while due[kind] >= 1.0 {
                due[kind] -= 1.0;
                let stream = CallerStream {
                    waiting: new_stream(kind as u8, OBJECTIVES_MS[kind], now),
                    host: site.random.random_range(0..HOSTS),
                    is_retried: false,
                    is_counted: is_shortage,
                };
                site.arrive(stream, step, now);
            }
        }
        for stream in site.take_returns(step) {
            let host = site.random.random_range(0..HOSTS);
            let waiting = WaitingStream { silent_since: now, ..stream.waiting };
            site.arrive(CallerStream { waiting, host, is_retried: true, ..stream }, step, now);
        }
        site.start(step, now);
    }
    site.outcome
}

/// Replays a shortage in both ways, and checks what callers lose and which streams are admitted.
fn check_shortage(factor: f64) {
    for seed in 0..3 {
        let [arrival, product] =
            [Order::Arrival, Order::Product].map(|order| replay(order, factor, seed));
        for (name, outcome) in [("arrival", &arrival), ("product", &product)] {
            let [on_time, late, admitted] =
                [outcome.on_time, outcome.late, outcome.admitted].map(|it| outcome.shares(it));
            let lost = outcome.lost_share();
            println!(
                "{factor} seed {seed} {name}: lost {lost:.3}, on time {on_time:.2?}, \
                 late {late:.2?}, admitted {admitted:.2?}"
            );
        }
        assert!(
            product.lost_share() < arrival.lost_share(),
            "factor {factor}, seed {seed}: {product:?}, in order of arrival {arrival:?}"
        );
        for share in product.shares(product.admitted) {
            assert!(share >= 0.4, "factor {factor}, seed {seed}: {product:?}");
        }
    }
}

/// Guards against an admission and a queue that cost callers more than none would: streams that are
/// refused although they could be on time, or delayed behind ones of less value. Here a fifth more
/// streams arrive than can start.
#[tokio::test(start_paused = true)]
async fn callers_lose_less_than_in_order_of_arrival_at_a_fifth_too_many() {
    check_shortage(1.2);
}

/// The same with half more streams than can start.
#[tokio::test(start_paused = true)]
async fn callers_lose_less_than_in_order_of_arrival_at_half_too_many() {
    check_shortage(1.5);
}

/// The same with twice as many streams as can start.
#[tokio::test(start_paused = true)]
async fn callers_lose_less_than_in_order_of_arrival_at_twice_as_many() {
    check_shortage(2.0);
}
