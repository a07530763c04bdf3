//! Seeded schedules of a deployment in which requests with one prompt part crash the endpoints.

use jacinthrock_entry::{EndpointStart, PoisonReport, PoisonTable, PromptPart};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Step of the simulated clock, in ms.
const STEP_MS: u64 = 5;
/// Interval of a host's exchanges, in ms.
const EXCHANGE_MS: u64 = 200;
/// Delay of a report or a reply between hosts, in ms.
const LINK_MS: u64 = 10;
/// Bound on the time in which the deployment must know a poison part, in ms.
const STABLE_MS: u64 = 3_000;
/// Bound on the requests with the part that reach endpoints after that.
const MAX_LATE_SENDS: usize = 3;
/// Time before the first poison request, in ms.
const WARM_UP_MS: u64 = 4_000;
/// Time from the first poison request to the end, in ms.
const STORM_MS: u64 = 14_000;
/// Time in which an endpoint is back after a crash, in ms.
const RESTART_MS: u64 = 3_000;
/// Maximum number of endpoints that a request is sent to.
const MAX_SENDS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Deployment {
    hosts: usize,
    /// Hosts that exchange through one relay; none if all exchange with the holder.
    group: Option<usize>,
    endpoints: usize,
    sound_per_s: f64,
    poison_per_s: f64,
    poison_parts: usize,
    /// Mean time between ordinary crashes, in ms; each third one ends three endpoints.
    ordinary_ms: f64,
    is_warm: bool,
}

const SMALL: Deployment = Deployment {
    hosts: 6,
    group: None,
    endpoints: 10,
    sound_per_s: 50.0,
    poison_per_s: 3.0,
    poison_parts: 1,
    ordinary_ms: 4_000.0,
    is_warm: true,
};

#[derive(Clone, Debug)]
struct Stream {
    host: usize,
    parts: Vec<PromptPart>,
    is_poison: bool,
    /// Hash of the last part.
    request: u64,
    sends: u32,
    begins_ms: u64,
}

#[derive(Debug)]
struct Endpoint {
    start_ms: u64,
    is_up: bool,
    streams: Vec<Stream>,
}

#[derive(Debug)]
enum Event {
    Break { endpoint: usize, start_ms: u64, stream: Stream },
    Confirm { endpoint: usize, start_ms: u64, host: usize },
    Restart { endpoint: usize },
    Report { from: usize, to: usize, report: PoisonReport, is_reply: bool },
}

#[derive(Debug, Default)]
struct Outcome {
    sound: usize,
    sound_refused: usize,
    sound_answered: usize,
    poison_refused: usize,
    crashes: BTreeMap<PromptPart, Vec<u64>>,
    poison_sends: BTreeMap<PromptPart, Vec<u64>>,
}

impl Outcome {
    /// Sends of each poison part later than `STABLE_MS` after its fifth crash.
    fn late_sends(&self) -> Vec<usize> {
        let parts = self.poison_sends.iter();
        let late = parts.map(|(part, sends)| {
            let fifth = self.crashes.get(part).and_then(|times| times.get(4));
            let is_late = |at: &&u64| fifth.is_some_and(|fifth| **at > fifth + STABLE_MS);
            sends.iter().filter(is_late).count()
        });
        late.collect()
    }
}

struct Simulation {
    deployment: Deployment,
    draw: StdRng,
    origin: Instant,
    now_ms: u64,
    tables: Vec<PoisonTable>,
    endpoints: Vec<Endpoint>,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    outcome: Outcome,
}

impl Simulation {
    fn new(deployment: Deployment, seed: u64) -> Self {
        let origin = Instant::now();
        let endpoint = |_| Endpoint { start_ms: 0, is_up: true, streams: Vec::new() };
        Self {
            deployment,
            draw: StdRng::seed_from_u64(seed),
            origin,
            now_ms: 0,
            tables: (0..deployment.hosts).map(|_| PoisonTable::new(origin)).collect(),
            endpoints: (0..deployment.endpoints).map(endpoint).collect(),
            events: BTreeMap::new(),
            event_count: 0,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let poison_from = if self.deployment.is_warm { WARM_UP_MS } else { 0 };
        while self.now_ms < poison_from + STORM_MS {
            self.now_ms += STEP_MS;
            self.play_events();
            self.begin_answers();
            if self.happens(self.deployment.sound_per_s) {
                let stream = self.sound_stream();
                self.send(stream);
            }
            if self.now_ms >= poison_from && self.happens(self.deployment.poison_per_s) {
                let stream = self.poison_stream();
                self.send(stream);
            }
            if self.happens(1_000.0 / self.deployment.ordinary_ms) {
                let count = if self.draw.random_ratio(1, 3) { 3 } else { 1 };
                for _ in 0..count {
                    let endpoint = self.draw.random_range(0..self.endpoints.len());
                    self.crash(endpoint);
                }
            }
            self.exchange();
        }
        self.outcome
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_millis(self.now_ms)
    }

    /// Whether something that happens at a rate happens in this step.
    fn happens(&mut self, per_s: f64) -> bool {
        let chance = per_s * STEP_MS as f64 / 1_000.0;
        self.draw.random_bool(chance.min(1.0))
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now_ms + delay_ms, self.event_count), event);
    }

    /// Shared parts of a sound prompt: a first part by a skewed draw, one of the customer, at times
    /// one of a session.
    fn sound_parts(&mut self) -> Vec<PromptPart> {
        let skewed = self.draw.random_range(0.0_f64..1.0).powi(3);
        let first = (skewed * 60.0) as usize;
        let customer = self.draw.random_range(0..10);
        let mut parts = vec![format!("f{first}").into(), format!("c{customer}").into()];
        if self.draw.random_ratio(1, 2) {
            parts.push(format!("s{}", self.draw.random_range(0..400)).into());
        }
        parts
    }

    fn sound_stream(&mut self) -> Stream {
        self.outcome.sound += 1;
        let parts = self.sound_parts();
        self.stream(parts, false)
    }

    fn poison_stream(&mut self) -> Stream {
        let number = self.draw.random_range(0..self.deployment.poison_parts);
        let mut parts = self.sound_parts();
        let place = self.draw.random_range(1..=parts.len());
        parts.insert(place, format!("bad{number}").into());
        self.stream(parts, true)
    }

    fn stream(&mut self, parts: Vec<PromptPart>, is_poison: bool) -> Stream {
        let host = self.draw.random_range(0..self.deployment.hosts);
        Stream { host, parts, is_poison, request: self.draw.random(), sends: 0, begins_ms: 0 }
    }

    fn send(&mut self, mut stream: Stream) {
        let now = self.now();
        let is_holder = stream.host == 0;
        if self.tables[stream.host].verdict(&stream.parts, is_holder, now).is_some() {
            match stream.is_poison {
                true => self.outcome.poison_refused += 1,
                false => self.outcome.sound_refused += 1,
            }
            return;
        }
        let up: Vec<_> = (0..self.endpoints.len()).filter(|i| self.endpoints[*i].is_up).collect();
        if up.is_empty() || stream.sends == MAX_SENDS {
            return;
        }
        let endpoint = up[self.draw.random_range(0..up.len())];
        if stream.is_poison {
            let part = poison_part(&stream);
            self.outcome.poison_sends.entry(part).or_default().push(self.now_ms);
        }
        stream.sends += 1;
        stream.begins_ms = self.now_ms + self.draw.random_range(80..900);
        self.endpoints[endpoint].streams.push(stream);
    }

    fn begin_answers(&mut self) {
        for endpoint in 0..self.endpoints.len() {
            let now_ms = self.now_ms;
            let streams = &mut self.endpoints[endpoint].streams;
            let begun: Vec<_> = streams.extract_if(.., |s| s.begins_ms <= now_ms).collect();
            for stream in begun {
                if stream.is_poison {
                    let part = poison_part(&stream);
                    self.outcome.crashes.entry(part).or_default().push(now_ms);
                    self.endpoints[endpoint].streams.push(stream);
                    self.crash(endpoint);
                    break;
                }
                self.outcome.sound_answered += 1;
                let now = self.now();
                self.tables[stream.host].record_answer(&stream.parts, now);
            }
        }
    }

    fn crash(&mut self, endpoint: usize) {
        let crashed = &mut self.endpoints[endpoint];
        if !std::mem::replace(&mut crashed.is_up, false) {
            return;
        }
        let start_ms = crashed.start_ms;
        for stream in std::mem::take(&mut crashed.streams) {
            let delay = self.draw.random_range(0..40);
            self.schedule(delay, Event::Break { endpoint, start_ms, stream });
        }
        for host in 0..self.deployment.hosts {
            let delay = self.draw.random_range(20..450);
            self.schedule(delay, Event::Confirm { endpoint, start_ms, host });
        }
        self.schedule(RESTART_MS, Event::Restart { endpoint });
    }

    fn exchange(&mut self) {
        for host in 1..self.deployment.hosts {
            if (self.now_ms + host as u64 * 35) % EXCHANGE_MS >= STEP_MS {
                continue;
            }
            let relay = self.deployment.group.map(|size| host / size * size);
            let to = relay.filter(|relay| *relay != host).unwrap_or_default();
            self.tell(host, to, false);
        }
    }

    fn tell(&mut self, from: usize, to: usize, is_reply: bool) {
        let now = self.now();
        let report = self.tables[from].report(now);
        self.schedule(LINK_MS, Event::Report { from, to, report, is_reply });
    }

    fn play_events(&mut self) {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let event = entry.remove();
            self.play(event);
        }
    }

    fn play(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Break { endpoint, start_ms, stream } => {
                let name = format!("i-{endpoint}").into();
                let start = EndpointStart { name: &name, start_unix_ms: start_ms };
                self.tables[stream.host].record_break(start, &stream.parts, stream.request, now);
                self.send(stream);
            }
            Event::Confirm { endpoint, start_ms, host } => {
                let name = format!("i-{endpoint}").into();
                let start = EndpointStart { name: &name, start_unix_ms: start_ms };
                self.tables[host].confirm_end(start, now);
            }
            Event::Restart { endpoint } => {
                let endpoint = &mut self.endpoints[endpoint];
                (endpoint.is_up, endpoint.start_ms) = (true, self.now_ms);
            }
            Event::Report { from, to, report, is_reply } => {
                self.tables[to].apply(report, now);
                if !is_reply {
                    self.tell(to, from, true);
                }
            }
        }
    }
}

fn poison_part(stream: &Stream) -> PromptPart {
    let part = stream.parts.iter().find(|part| part.starts_with("bad"));
    part.expect("a poison part").clone()
}

/// Plays a schedule and checks the bounds; returns the outcome.
fn check(deployment: Deployment, seed: u64) -> Outcome {
    let outcome = Simulation::new(deployment, seed).run();
    let case = format!("{deployment:?}, seed {seed}: {outcome:?}");
    assert!(outcome.late_sends().iter().all(|late| *late <= MAX_LATE_SENDS), "{case}");
    let refused = outcome.sound_refused as f64 / outcome.sound as f64;
    assert!(refused < 0.01, "{refused} of the sound requests refused: {case}");
    outcome
}

#[test]
fn poison_requests_stop_at_six_hosts() {
    for seed in 0..6 {
        let poison_per_s = [3.0, 6.0, 10.0][seed as usize % 3];
        let outcome = check(Deployment { poison_per_s, ..SMALL }, seed);
        assert!(outcome.poison_refused > 10, "{outcome:?}");
    }
}

#[test]
fn poison_requests_stop_at_forty_hosts() {
    let large = Deployment { hosts: 40, endpoints: 30, sound_per_s: 120.0, ..SMALL };
    check(Deployment { poison_per_s: 10.0, ..large }, 0);
    check(Deployment { poison_per_s: 5.0, group: Some(8), ..large }, 1);
}

#[test]
fn two_poison_parts_stop() {
    for seed in 0..6 {
        check(Deployment { poison_parts: 2, poison_per_s: 8.0, ..SMALL }, seed);
    }
}

/// Nothing was answered before the first crash.
#[test]
fn poison_requests_from_the_start_stop() {
    for seed in 0..6 {
        check(Deployment { is_warm: false, poison_per_s: 6.0, ..SMALL }, seed);
    }
}

/// All endpoints are soon down at once, and crash again as they come back.
#[test]
fn poison_requests_stop_at_few_endpoints() {
    for seed in 0..6 {
        check(Deployment { endpoints: 4, poison_per_s: 10.0, ..SMALL }, seed);
    }
}

#[test]
fn ordinary_crashes_alone_refuse_nobody() {
    for seed in 0..6 {
        let day = Deployment { poison_per_s: 0.0, ordinary_ms: 700.0, ..SMALL };
        assert_eq!(check(day, seed).sound_refused, 0);
    }
}
