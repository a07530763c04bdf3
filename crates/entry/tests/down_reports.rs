//! Endpoints that hosts find down and tell one another of.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthrock_entry::{
    DownReport, DownTable, EndpointEntry, HostName, RelayCandidate, RelayPicker,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

/// Streams per second at all hosts.
const STREAMS_PER_S: f64 = 225.0;
/// Stages of a path, and endpoints that can be each of them.
const STAGES: usize = 14;
const HOLDERS: usize = 7;
/// Endpoints that end at the same moment.
const LOST: usize = 13;
/// Interval at which the streams in progress at a host bring events: four streams a second that last
/// 4 s have an event every 70 ms each.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which all hosts know: member, relay, holder, relay, member.
const SPREAD_TIME: Duration = Duration::from_millis(800);
/// Time after which the registry no longer lists the lost endpoints.
const LISTED_TIME: Duration = Duration::from_millis(2_600);

fn entry(name: &str, start_unix_ms: u64) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        service: "guide".into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "north".into(),
        slots: 192,
        is_draining: false,
        orders: 0,
        start_unix_ms,
        card: None,
        layers: None,
        under_way: None,
    }
}

struct SimulatedHost {
    table: DownTable,
    down: BTreeSet<usize>,
    /// Host that it exchanges with; none on the holder.
    upstream: Option<usize>,
    has_members: bool,
    next_exchange: Duration,
}

struct Fleet {
    start: Instant,
    endpoints: Vec<EndpointEntry>,
    hosts: Vec<SimulatedHost>,
    rng: StdRng,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let names: Vec<HostName> = (0..count).map(|host| format!("host-{host}").into()).collect();
        let mut hosts: Vec<SimulatedHost> = (0..count)
            .map(|host| {
                let own_domain = (0..count).filter(|other| other % 3 == host % 3);
                let candidates = own_domain
                    .map(|other| RelayCandidate { host: names[other].clone(), capacity: 100 });
                let picker = RelayPicker::default();
                let relay = picker.relay(&names[host], candidates.collect(), count, Instant::now());
                let relay = relay.and_then(|relay| names.iter().position(|name| *name == relay));
                SimulatedHost {
                    table: DownTable::default(),
                    down: BTreeSet::new(),
                    upstream: (host > 0).then(|| relay.unwrap_or(0)),
                    has_members: false,
                    next_exchange: EXCHANGE_INTERVAL.mul_f64(rng.random()),
                }
            })
            .collect();
        for upstream in hosts.iter().filter_map(|host| host.upstream).collect::<Vec<_>>() {
            hosts[upstream].has_members = true;
        }
        let endpoints = (0..STAGES * HOLDERS).map(|number| entry(&format!("e{number}"), 1));
        Self { start: Instant::now(), endpoints: endpoints.collect(), hosts, rng }
    }

    /// A path over endpoints that a host does not know to be lost, where there are others.
    fn choose_path(&mut self, host: usize, now: Instant) -> Vec<usize> {
        let SimulatedHost { table, down, .. } = &self.hosts[host];
        let mut path = Vec::new();
        for stage in 0..STAGES {
            let holders: Vec<_> = (stage * HOLDERS..(stage + 1) * HOLDERS).collect();
            let is_good = |holder: &&usize| {
                !down.contains(*holder) && !table.is_reported(&self.endpoints[**holder], now)
            };
            let good: Vec<_> = holders.iter().filter(is_good).copied().collect();
            let chosen = good.choose(&mut self.rng).or_else(|| holders.choose(&mut self.rng));
            path.extend(chosen);
        }
        path
    }

    fn exchange(&mut self, host: usize, now: Instant) {
        let Some(upstream) = self.hosts[host].upstream else { return };
        let count = self.hosts.len();
        let (endpoints, hosts) = (&self.endpoints, &mut self.hosts);
        let find = |name: &str| endpoints.iter().find(|entry| &*entry.name == name).cloned();
        let reports = hosts[host].table.reports(hosts[host].has_members, count, now);
        hosts[upstream].table.apply(reports, find, count, now);
        let reports = hosts[upstream].table.reports(true, count, now);
        hosts[host].table.apply(reports, find, count, now);
    }

    /// Plays the time until the registry no longer lists the lost endpoints; returns the sends after
    /// `SPREAD_TIME`, and those of them to a path with a lost endpoint.
    fn run(&mut self) -> (u32, u32) {
        const STEP: Duration = Duration::from_millis(1);
        let lost: BTreeSet<_> = (0..LOST).map(|number| number * HOLDERS).collect();
        let (mut sends, mut failed) = (0, 0);
        let mut time = Duration::ZERO;
        while time < LISTED_TIME {
            let now = self.start + time;
            for host in 0..self.hosts.len() {
                if time.as_millis().is_multiple_of(EVENT_INTERVAL.as_millis()) {
                    let endpoint = self.rng.random_range(1..HOLDERS);
                    let entry = &self.endpoints[endpoint];
                    self.hosts[host].table.record_reply(entry, now);
                }
                if self.hosts[host].next_exchange <= time {
                    self.hosts[host].next_exchange += EXCHANGE_INTERVAL;
                    self.exchange(host, now);
                }
            }
            if self.rng.random_bool(STREAMS_PER_S * STEP.as_secs_f64()) {
                let host = self.rng.random_range(0..self.hosts.len());
                let path = self.choose_path(host, now);
                let is_counted = time >= SPREAD_TIME;
                sends += u32::from(is_counted);
                let own = &mut self.hosts[host];
                match path.iter().find(|endpoint| lost.contains(endpoint)) {
                    Some(endpoint) => {
                        failed += u32::from(is_counted);
                        own.down.insert(*endpoint);
                        own.table.record_down(&self.endpoints[*endpoint], now);
                    }
                    None => {
                        let first = path.first().expect("a path has stages");
                        own.table.record_reply(&self.endpoints[*first], now);
                    }
                }
            }
            time += STEP;
        }
        (sends, failed)
    }
}

/// The end of 13 engines at once, before the registry drops them: without reports, each host finds
/// each of them by a stream that fails.
#[tokio::test(start_paused = true)]
async fn few_streams_are_sent_to_lost_endpoints_once_hosts_have_exchanged_findings() {
    for count in [16, 63, 300] {
        let (mut sends, mut failed) = (0, 0);
        for seed in 0..5 {
            let (new_sends, new_failed) = Fleet::new(count, seed).run();
            sends += new_sends;
            failed += new_failed;
        }
        let share = f64::from(failed) / f64::from(sends);
        println!("{count} hosts: {failed} of {sends} sends");
        assert!(share <= 0.01, "{count} hosts: {failed} of {sends} sends");
    }
}

/// Small deployments are served as before.
#[tokio::test(start_paused = true)]
async fn fifteen_hosts_exchange_no_findings() {
    let (mut table, lost, now) = (DownTable::default(), entry("a", 1), Instant::now());
    table.record_down(&lost, now);
    table.record_reply(&entry("b", 1), now);
    assert!(table.reports(true, 15, now).is_empty());
    let report = table.reports(true, 16, now);
    assert_eq!(report.len(), 1);
    assert!(DownTable::default().apply(report, |_| Some(lost.clone()), 15, now).is_empty());
}

/// A host that has lost its links finds every endpoint down, and must not have the others avoid them.
#[tokio::test(start_paused = true)]
async fn host_without_replies_reports_nothing() {
    let (mut table, now) = (DownTable::default(), Instant::now());
    table.record_reply(&entry("e1", 1), now);
    let later = now + Duration::from_millis(1);
    (0..98).for_each(|number| table.record_down(&entry(&format!("e{number}"), 1), later));
    assert!(table.reports(true, 63, later + Duration::from_secs(1)).is_empty());
}

/// A finding holds for one start of an endpoint, until it replies or 3 s have passed.
#[tokio::test(start_paused = true)]
async fn findings_end_with_a_reply_a_new_start_or_their_time() {
    let (lost, now) = (entry("a", 1), Instant::now());
    let report = |age_ms| DownReport { endpoint: "a".into(), start_unix_ms: 1, age_ms };
    let find = |_: &str| Some(lost.clone());
    let mut table = DownTable::default();
    assert_eq!(table.apply(vec![report(0)], find, 63, now).len(), 1);
    assert!(table.apply(vec![report(0)], find, 63, now).is_empty(), "it is known");
    assert!(table.is_reported(&lost, now));
    assert!(!table.is_reported(&entry("a", 2), now), "another start");
    assert!(!table.is_reported(&lost, now + Duration::from_secs(3)));
    let later = now + Duration::from_millis(100);
    table.record_reply(&lost, later);
    assert!(!table.is_reported(&lost, later));
    assert!(table.apply(vec![report(200)], find, 63, later).is_empty(), "it has replied since");
    let after = later + Duration::from_millis(100);
    assert_eq!(table.apply(vec![report(50)], find, 63, after).len(), 1, "found down after that");
    let restarted = |_: &str| Some(entry("a", 2));
    assert!(DownTable::default().apply(vec![report(0)], restarted, 63, now).is_empty());
}

/// Hosts pass findings back and forth, each with some delay; none may live longer for that.
#[tokio::test(start_paused = true)]
async fn findings_are_not_prolonged_by_passing_them_on() {
    let (lost, start) = (entry("a", 1), Instant::now());
    let find = |_: &str| Some(lost.clone());
    let mut tables = [DownTable::default(), DownTable::default()];
    tables[0].record_down(&lost, start);
    tables[0].record_reply(&entry("b", 1), start);
    let mut now = start;
    for round in 0..60 {
        let reports = tables[round % 2].reports(true, 63, now);
        now += Duration::from_millis(100);
        tables[(round + 1) % 2].apply(reports, find, 63, now);
        let is_known = tables.iter().any(|table| table.is_reported(&lost, now));
        assert!(now < start + Duration::from_millis(3_600) || !is_known, "{:?}", now - start);
    }
}

/// Forged reports: unknown endpoints, huge ages and too many of them take neither memory nor effect.
#[tokio::test(start_paused = true)]
async fn forged_reports_are_bounded() {
    let (now, lost) = (Instant::now(), entry("e1", 1));
    let mut table = DownTable::default();
    let forged = (0..100_000).map(|number| DownReport {
        endpoint: format!("e{number}").into(),
        start_unix_ms: 1,
        age_ms: 0,
    });
    let find = |name: &str| Some(entry(name, 1));
    assert!(table.apply(forged.collect(), find, 63, now).len() <= 64);
    assert!(table.reports(true, 63, now).len() <= 64);
    let old = DownReport { endpoint: "e1".into(), start_unix_ms: 1, age_ms: u64::MAX };
    assert!(DownTable::default().apply(vec![old], |_| Some(lost.clone()), 63, now).is_empty());
    let known: BTreeMap<_, _> = (0..64).map(|number| (format!("e{number}"), ())).collect();
    table.retain(|name| known.contains_key(name) && name == "e1");
    assert!(table.reports(true, 63, now).len() <= 1);
}
