//! Seeded schedules of a deployment in which requests with one prompt part crash the endpoints.

#[path = "support/poison.rs"]
mod poison;

use jacinthrock_entry::{CrashSuspect, RequestTag};
use rand::Rng;

use poison::{CrashSchedule, CrashSite, MAX_LATE_SENDS, SiteDelays};

/// Time before the first poison request, in ms.
const WARM_UP_MS: u64 = 4_000;
/// Time from the first poison request to the end, in ms.
const STORM_MS: u64 = 14_000;
const DELAYS: SiteDelays = SiteDelays { link_ms: 10, restart_ms: 3_000 };
/// Maximum number of endpoints that a request is sent to.
const MAX_SENDS: u32 = 3;
/// Number of the crash from which the time runs in which all hosts must know of the part.
const KNOWN_CRASHES: usize = 5;

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
    parts: Vec<CrashSuspect>,
    is_poison: bool,
    /// Hash of the last part.
    request: RequestTag,
    sends: u32,
    begins_ms: u64,
}

/// A host learns that a stream broke off.
#[derive(Debug)]
struct BreakEvent {
    endpoint: usize,
    start_ms: u64,
    stream: Stream,
}

#[derive(Debug, Default)]
struct Outcome {
    sound: usize,
    sound_refused: usize,
    sound_answered: usize,
    poison_refused: usize,
}

struct Simulation {
    deployment: Deployment,
    site: CrashSite<Stream, BreakEvent>,
    outcome: Outcome,
}

impl Simulation {
    fn new(deployment: Deployment, seed: u64) -> Self {
        let mut site = CrashSite::new(seed, deployment.hosts, DELAYS);
        site.add_endpoints(deployment.endpoints);
        Self { deployment, site, outcome: Outcome::default() }
    }

    /// Time of the first poison request, in ms.
    fn poison_from(&self) -> u64 {
        if self.deployment.is_warm { WARM_UP_MS } else { 0 }
    }

    /// Shared parts of a sound prompt: a first part by a skewed draw, one of the customer, at times
    /// one of a session.
    fn sound_parts(&mut self) -> Vec<CrashSuspect> {
        let skewed = self.site.draw.random_range(0.0_f64..1.0).powi(3);
        let first = (skewed * 60.0) as usize;
        let customer = self.site.draw.random_range(0..10);
        let mut parts = vec![format!("f{first}").into(), format!("c{customer}").into()];
        if self.site.draw.random_ratio(1, 2) {
            parts.push(format!("s{}", self.site.draw.random_range(0..400)).into());
        }
        parts
    }

    fn sound_stream(&mut self) -> Stream {
        self.outcome.sound += 1;
        let parts = self.sound_parts();
        self.stream(parts, false)
    }

    fn poison_stream(&mut self) -> Stream {
        let number = self.site.draw.random_range(0..self.deployment.poison_parts);
        let mut parts = self.sound_parts();
        let place = self.site.draw.random_range(1..=parts.len());
        parts.insert(place, format!("bad{number}").into());
        self.stream(parts, true)
    }

    fn stream(&mut self, parts: Vec<CrashSuspect>, is_poison: bool) -> Stream {
        let host = self.site.draw_host();
        Stream { host, parts, is_poison, request: self.site.draw.random(), sends: 0, begins_ms: 0 }
    }

    fn send(&mut self, mut stream: Stream) {
        if self.site.is_refused(stream.host, &stream.parts) {
            match stream.is_poison {
                true => self.outcome.poison_refused += 1,
                false => self.outcome.sound_refused += 1,
            }
            return;
        }
        let up = self.site.free_endpoints(usize::MAX);
        if up.is_empty() || stream.sends == MAX_SENDS {
            return;
        }
        let endpoint = up[self.site.draw.random_range(0..up.len())];
        if stream.is_poison {
            self.site.record_send(poison_part(&stream));
        }
        stream.sends += 1;
        stream.begins_ms = self.site.now_ms + self.site.draw.random_range(80..900);
        self.site.endpoints[endpoint].calls.push(stream);
    }

    fn begin_answers(&mut self) {
        for endpoint in 0..self.site.endpoints.len() {
            let now_ms = self.site.now_ms;
            let streams = &mut self.site.endpoints[endpoint].calls;
            let begun: Vec<_> = streams.extract_if(.., |s| s.begins_ms <= now_ms).collect();
            for stream in begun {
                if stream.is_poison {
                    self.site.record_cause(poison_part(&stream));
                    self.site.endpoints[endpoint].calls.push(stream);
                    self.crash(endpoint);
                    break;
                }
                self.outcome.sound_answered += 1;
                self.site.record_answer(stream.host, &stream.parts);
            }
        }
    }

    fn crash(&mut self, endpoint: usize) {
        let Some((start_ms, streams)) = self.site.end_endpoint(endpoint) else { return };
        for stream in streams {
            let delay = self.site.draw.random_range(0..40);
            self.site.schedule(delay, BreakEvent { endpoint, start_ms, stream });
        }
        for host in 0..self.deployment.hosts {
            let delay = self.site.draw.random_range(20..450);
            self.site.confirm_later(delay, (endpoint, start_ms), host);
        }
        self.site.restart_later(endpoint);
    }
}

impl CrashSchedule for Simulation {
    type Call = Stream;
    type Event = BreakEvent;

    fn site(&mut self) -> &mut CrashSite<Stream, BreakEvent> {
        &mut self.site
    }

    fn play(&mut self, event: BreakEvent) {
        let BreakEvent { endpoint, start_ms, stream } = event;
        let start = (endpoint, start_ms);
        self.site.record_break(start, stream.host, &stream.parts, stream.request);
        self.send(stream);
    }

    fn step(&mut self) {
        self.begin_answers();
        if self.site.happens(self.deployment.sound_per_s) {
            let stream = self.sound_stream();
            self.send(stream);
        }
        let is_poisoned = self.site.now_ms >= self.poison_from();
        if is_poisoned && self.site.happens(self.deployment.poison_per_s) {
            let stream = self.poison_stream();
            self.send(stream);
        }
        if self.site.happens(1_000.0 / self.deployment.ordinary_ms) {
            let count = if self.site.draw.random_ratio(1, 3) { 3 } else { 1 };
            for _ in 0..count {
                let endpoint = self.site.draw_endpoint();
                self.crash(endpoint);
            }
        }
        let group = self.deployment.group;
        self.site.exchange(|host| {
            let relay = group.map(|size| host / size * size);
            relay.filter(|relay| *relay != host).unwrap_or_default()
        });
    }
}

fn poison_part(stream: &Stream) -> CrashSuspect {
    let part = stream.parts.iter().find(|part| part.starts_with("bad"));
    part.expect("a poison part").clone()
}

/// Plays a schedule and checks the bounds; returns the outcome.
fn check(deployment: Deployment, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(deployment, seed);
    simulation.run_until(simulation.poison_from() + STORM_MS);
    let Simulation { site, outcome, .. } = simulation;
    let case = format!("{deployment:?}, seed {seed}: {outcome:?}, {:?}", site.times);
    assert!(site.times.late_sends(KNOWN_CRASHES) <= MAX_LATE_SENDS, "{case}");
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
