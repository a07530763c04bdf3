//! Simulated hosts and endpoints, for schedules of requests that crash endpoints.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock_entry::{CrashSuspect, EndpointStart, PoisonReport, PoisonTable, RequestTag};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

/// Step of the simulated clock, in ms.
pub(crate) const STEP_MS: u64 = 5;
/// Interval of a host's exchanges, in ms.
pub(crate) const EXCHANGE_MS: u64 = 200;
/// Bound on the time in which all hosts must know what crashes endpoints, in ms.
pub(crate) const STABLE_MS: u64 = 3_000;
/// Bound on the requests with one poison that reach endpoints after that.
pub(crate) const MAX_LATE_SENDS: usize = 3;

pub(crate) fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub(crate) fn suspects(ids: &[&str]) -> Vec<CrashSuspect> {
    ids.iter().map(|id| (*id).into()).collect()
}

/// Whether a request with these suspects is refused by a host that does not hold the placement
/// lease.
pub(crate) fn is_refused(table: &mut PoisonTable, ids: &[&str], now: Instant) -> bool {
    table.verdict(&suspects(ids), false, now).refusal().is_some()
}

/// Delays of a site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SiteDelays {
    /// Delay of a report or a reply between hosts, in ms.
    pub(crate) link_ms: u64,
    /// Time in which an endpoint is back after a crash, in ms.
    pub(crate) restart_ms: u64,
}

/// An endpoint with the calls under way there.
#[derive(Debug)]
pub(crate) struct Endpoint<C> {
    pub(crate) start_ms: u64,
    pub(crate) is_up: bool,
    pub(crate) calls: Vec<C>,
}

#[derive(Debug)]
enum SiteEvent<E> {
    Confirm {
        endpoint: usize,
        start_ms: u64,
        host: usize,
    },
    Restart {
        endpoint: usize,
    },
    Report {
        from: usize,
        to: usize,
        report: PoisonReport,
        is_reply: bool,
    },
    /// An event of the schedule.
    Own(E),
}

/// Times in ms at which each poison was sent to endpoints, and at which it crashed them.
#[derive(Debug, Default)]
pub(crate) struct PoisonTimes {
    pub(crate) crashes: BTreeMap<CrashSuspect, Vec<u64>>,
    pub(crate) sends: BTreeMap<CrashSuspect, Vec<u64>>,
}

impl PoisonTimes {
    /// Most sends of a poison later than `STABLE_MS` after its crash of the given number.
    pub(crate) fn late_sends(&self, crash_number: usize) -> usize {
        let late = self.sends.iter().map(|(poison, sends)| {
            let times = self.crashes.get(poison);
            let crashed_at = times.and_then(|times| times.get(crash_number - 1));
            let is_late = |at: &&u64| crashed_at.is_some_and(|time| **at > time + STABLE_MS);
            sends.iter().filter(is_late).count()
        });
        late.max().unwrap_or(0)
    }
}

/// Hosts and endpoints under a simulated clock, with calls `C` and the schedule's events `E`. Host 0
/// holds the placement lease.
pub(crate) struct CrashSite<C, E> {
    pub(crate) draw: StdRng,
    pub(crate) now_ms: u64,
    pub(crate) tables: Vec<PoisonTable>,
    pub(crate) endpoints: Vec<Endpoint<C>>,
    pub(crate) times: PoisonTimes,
    origin: Instant,
    delays: SiteDelays,
    events: BTreeMap<(u64, u64), SiteEvent<E>>,
    event_count: u64,
}

impl<C, E> CrashSite<C, E> {
    pub(crate) fn new(seed: u64, hosts: usize, delays: SiteDelays) -> Self {
        let origin = Instant::now();
        Self {
            draw: StdRng::seed_from_u64(seed),
            now_ms: 0,
            tables: (0..hosts).map(|_| PoisonTable::new(origin)).collect(),
            endpoints: Vec::new(),
            times: PoisonTimes::default(),
            origin,
            delays,
            events: BTreeMap::new(),
            event_count: 0,
        }
    }

    pub(crate) fn add_endpoints(&mut self, count: usize) {
        let endpoint = |_| Endpoint { start_ms: 0, is_up: true, calls: Vec::new() };
        self.endpoints.extend((0..count).map(endpoint));
    }

    pub(crate) fn now(&self) -> Instant {
        self.origin + Duration::from_millis(self.now_ms)
    }

    /// Whether something that happens at a rate happens in this step.
    pub(crate) fn happens(&mut self, per_s: f64) -> bool {
        self.draw.random_bool((per_s * STEP_MS as f64 / 1_000.0).min(1.0))
    }

    pub(crate) fn draw_host(&mut self) -> usize {
        self.draw.random_range(0..self.tables.len())
    }

    pub(crate) fn draw_endpoint(&mut self) -> usize {
        self.draw.random_range(0..self.endpoints.len())
    }

    /// Endpoints that are up and have less than a number of calls under way.
    pub(crate) fn free_endpoints(&self, slots: usize) -> Vec<usize> {
        let endpoints = self.endpoints.iter().enumerate();
        let free = endpoints.filter(|(_, endpoint)| endpoint.is_up && endpoint.calls.len() < slots);
        free.map(|(index, _)| index).collect()
    }

    pub(crate) fn schedule(&mut self, delay_ms: u64, event: E) {
        self.push_event(delay_ms, SiteEvent::Own(event));
    }

    /// Whether a host refuses a request with these suspects.
    pub(crate) fn is_refused(&mut self, host: usize, suspects: &[CrashSuspect]) -> bool {
        let now = self.now();
        self.tables[host].verdict(suspects, host == 0, now).refusal().is_some()
    }

    pub(crate) fn record_send(&mut self, poison: CrashSuspect) {
        self.times.sends.entry(poison).or_default().push(self.now_ms);
    }

    /// Records that a poison is the cause of a crash.
    pub(crate) fn record_cause(&mut self, poison: CrashSuspect) {
        self.times.crashes.entry(poison).or_default().push(self.now_ms);
    }

    pub(crate) fn record_answer(&mut self, host: usize, suspects: &[CrashSuspect]) {
        let now = self.now();
        self.tables[host].record_answer(suspects, now);
    }

    pub(crate) fn record_break(
        &mut self,
        (endpoint, start_ms): (usize, u64),
        host: usize,
        suspects: &[CrashSuspect],
        request: RequestTag,
    ) {
        let (name, now) = (format!("i-{endpoint}").into(), self.now());
        let start = EndpointStart { name: &name, start_unix_ms: start_ms };
        self.tables[host].record_break(start, suspects, request, now);
    }

    /// Ends an endpoint that is up; returns its start and the calls that it cuts.
    pub(crate) fn end_endpoint(&mut self, endpoint: usize) -> Option<(u64, Vec<C>)> {
        let ended = &mut self.endpoints[endpoint];
        let was_up = std::mem::replace(&mut ended.is_up, false);
        was_up.then(|| (ended.start_ms, std::mem::take(&mut ended.calls)))
    }

    /// Lets a host learn that an endpoint's start has ended.
    pub(crate) fn confirm_later(
        &mut self,
        delay_ms: u64,
        (endpoint, start_ms): (usize, u64),
        host: usize,
    ) {
        self.push_event(delay_ms, SiteEvent::Confirm { endpoint, start_ms, host });
    }

    pub(crate) fn restart_later(&mut self, endpoint: usize) {
        self.push_event(self.delays.restart_ms, SiteEvent::Restart { endpoint });
    }

    /// Starts the exchanges that are due, each of a host with the one that `partner` names.
    pub(crate) fn exchange(&mut self, partner: impl Fn(usize) -> usize) {
        for host in 1..self.tables.len() {
            if (self.now_ms + host as u64 * 35) % EXCHANGE_MS < STEP_MS {
                self.send_report(host, partner(host), false);
            }
        }
    }

    fn send_report(&mut self, from: usize, to: usize, is_reply: bool) {
        let now = self.now();
        let report = self.tables[from].report(now);
        self.push_event(self.delays.link_ms, SiteEvent::Report { from, to, report, is_reply });
    }

    fn push_event(&mut self, delay_ms: u64, event: SiteEvent<E>) {
        self.event_count += 1;
        self.events.insert((self.now_ms + delay_ms, self.event_count), event);
    }

    /// Plays the events that are due up to the next one of the schedule, which is returned.
    fn next_event(&mut self) -> Option<E> {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let event = entry.remove();
            let now = self.now();
            match event {
                SiteEvent::Own(event) => return Some(event),
                SiteEvent::Confirm { endpoint, start_ms, host } => {
                    let name = format!("i-{endpoint}").into();
                    let start = EndpointStart { name: &name, start_unix_ms: start_ms };
                    self.tables[host].confirm_end(start, now);
                }
                SiteEvent::Restart { endpoint } => {
                    let endpoint = &mut self.endpoints[endpoint];
                    (endpoint.is_up, endpoint.start_ms) = (true, self.now_ms);
                }
                SiteEvent::Report { from, to, report, is_reply } => {
                    self.tables[to].apply(report, now);
                    if !is_reply {
                        self.send_report(to, from, true);
                    }
                }
            }
        }
        None
    }
}

/// A schedule of calls at a site.
pub(crate) trait CrashSchedule {
    type Call;
    type Event;

    fn site(&mut self) -> &mut CrashSite<Self::Call, Self::Event>;

    /// Plays an event that this schedule has set.
    fn play(&mut self, event: Self::Event);

    /// Ends calls, makes new ones and starts exchanges.
    fn step(&mut self);

    /// Plays the schedule up to a time.
    fn run_until(&mut self, end_ms: u64) {
        while self.site().now_ms < end_ms {
            self.site().now_ms += STEP_MS;
            while let Some(event) = self.site().next_event() {
                self.play(event);
            }
            self.step();
        }
    }
}
