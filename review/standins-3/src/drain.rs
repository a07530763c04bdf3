//! Replicas are replaced one after the other; the host that last wrote to the store under a condition
//! is stopped as planned at the moment at which one of them leaves.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::replica::Replica;
use crate::site::{Host, Record, address_in, free_block};
use crate::store::Store;

/// Hosts; the deployments on the sheets have 6 to 195.
const HOSTS: u8 = 30;
const REPLICAS: usize = 3;
const ROUNDS: usize = 13;
/// Time between two replacements.
const ROUND: Duration = Duration::from_millis(7_000);
/// Time from the start of a new replica to the leaving of the old one.
const OVERLAP: Duration = Duration::from_millis(1_000);
/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How much longer than `drainMs` replicas that leave serve, one after another: a little longer.
const LONGER_MS: [u64; 5] = [200, 1_000, 400, 800, 600];
/// `graceS`.
const GRACE: Duration = Duration::from_secs(8);
/// Mean pause of each host's clients between two requests: 0.5 a second reach a host. On the sheets it
/// is 0.4 (70 machines) to 1.2 (7 machines).
const MEAN_PAUSE_MS: f64 = 2_000.0;
/// Time that a request takes at the first replica, and how much longer at each later one: replicas of
/// one service differ in speed.
const FASTEST: Duration = Duration::from_millis(48);
const SLOWER: Duration = Duration::from_millis(4);

struct Sent {
    host: usize,
    at: Instant,
    is_unsafe: bool,
}

/// Random numbers from 0 to 1, from a seed.
pub struct Draws(u64);

impl Draws {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

struct Site {
    hosts: Vec<Host>,
    rotation: Vec<AtomicBool>,
    record: Arc<Record>,
    sent: Mutex<BTreeMap<String, Sent>>,
    statuses: Mutex<BTreeMap<String, usize>>,
    next: AtomicUsize,
    is_over: AtomicBool,
}

/// Plays the case; returns whether the rule held.
pub fn play(folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::new(&folder.join("record.txt"))?);
    let block = free_block().ok_or_else(|| io::Error::other("no free ports"))?;
    let root = std::env::current_dir()?;
    let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    let result = run(&root, &temporary, block, &record, has_trouble);
    let _ = std::fs::remove_dir_all(&temporary);
    result
}

fn run(
    root: &Path,
    folder: &Path,
    block: [u8; 2],
    record: &Arc<Record>,
    has_trouble: bool,
) -> io::Result<bool> {
    let (store, store_address) = Store::start(address_in(block, 200, 0))?;
    store.put("config", "main", CONFIG);
    let mut hosts = Vec::new();
    for number in 1..=HOSTS {
        let zone = if number % 2 == 0 { "north" } else { "south" };
        hosts.push(Host::new(
            root,
            folder,
            block,
            number,
            zone,
            &["north", "south"],
            store_address,
        )?);
    }
    let site = Arc::new(Site {
        rotation: hosts.iter().map(|_| AtomicBool::new(false)).collect(),
        hosts,
        record: record.clone(),
        sent: Mutex::default(),
        statuses: Mutex::default(),
        next: AtomicUsize::new(1),
        is_over: AtomicBool::new(false),
    });
    let mut replicas: Vec<Replica> = Vec::new();
    for number in 0..REPLICAS {
        replicas.push(add_replica(&store, block, number, record)?);
    }
    for host in &site.hosts {
        host.start()?;
    }
    for number in 0..site.hosts.len() {
        let site = site.clone();
        thread::spawn(move || ask_readiness(&site, number));
    }
    let end = Instant::now() + Duration::from_secs(12);
    while !site.rotation.iter().all(|it| it.load(Ordering::SeqCst)) {
        if Instant::now() > end {
            site.hosts.iter().for_each(Host::kill);
            return Err(io::Error::other("the hosts did not become ready"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_millis(3_000));
    for number in 0..site.hosts.len() {
        let site = site.clone();
        thread::spawn(move || send_requests(&site, number));
    }
    thread::sleep(Duration::from_millis(500));
    let mut left = Vec::new();
    for round in 0..ROUNDS {
        let began = Instant::now();
        replicas.push(add_replica(&store, block, REPLICAS + round, record)?);
        thread::sleep(OVERLAP);
        if has_trouble {
            stop_last_writer(&site, &store);
        }
        let old = replicas.remove(0);
        old.leave();
        let gone = store.delete("servers", &old.id);
        record.write(gone, format!("store: entry of {} is removed", old.id));
        let end = gone + DRAIN + Duration::from_millis(LONGER_MS[round % LONGER_MS.len()]);
        thread::sleep(end.saturating_duration_since(Instant::now()));
        old.end();
        left.push((old, gone));
        thread::sleep((began + ROUND).saturating_duration_since(Instant::now()));
    }
    site.is_over.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1_000));
    // Threads that still run hold the site, so that it is not dropped.
    site.hosts.iter().for_each(Host::kill);
    Ok(check(&site, &left))
}

/// Checks the rule: no request reaches a replica later than `drainMs` after its leaving was
/// acknowledged, sent on by a machine in touch.
fn check(site: &Site, left: &[(Replica, Instant)]) -> bool {
    let sent = site.sent.lock().unwrap();
    let (mut late, mut excused, mut cut) = (0, 0, 0);
    for (replica, gone) in left {
        for run in replica.runs().iter().filter(|run| run.at > *gone + DRAIN) {
            let Some(request) = sent.get(&run.attempt) else { continue };
            let host = &site.hosts[request.host];
            let after = run.at.saturating_duration_since(*gone).as_millis();
            if !host.is_in_touch(request.at, run.at) {
                excused += 1;
                continue;
            }
            late += 1;
            cut += usize::from(request.is_unsafe && !run.is_whole);
            let text = format!(
                "DRAIN: {} reaches {} {after} ms after its entry was removed, sent on by {} in touch; \
                 unsafe: {}, answered whole: {}",
                run.attempt, replica.id, host.name, request.is_unsafe, run.is_whole
            );
            site.record.write(run.at, &text);
            println!("{text}");
        }
    }
    let statuses = site.statuses.lock().unwrap();
    let text = format!(
        "{} requests, answers {statuses:?}; {late} late at a replica that had left ({cut} of them unsafe \
         and cut off by its end), {excused} by hosts out of touch",
        sent.len()
    );
    site.record.write(Instant::now(), &text);
    println!("{text}");
    late == 0
}

fn add_replica(
    store: &Store,
    block: [u8; 2],
    number: usize,
    record: &Arc<Record>,
) -> io::Result<Replica> {
    let address = address_in(block, 100 + number as u8, 0);
    let work = FASTEST + SLOWER * number as u32;
    let replica = Replica::start(format!("i-{:04x}", 0x5a00 + number), address, work, record)?;
    let zone = if number % 2 == 0 { "north" } else { "south" };
    store.put("servers", &replica.id, &replica.entry("app", zone));
    record.write(Instant::now(), format!("replica {} is ready at {}", replica.id, replica.address));
    Ok(replica)
}

/// Stops the host that last wrote to the store under a condition; the platform starts it again.
fn stop_last_writer(site: &Arc<Site>, store: &Store) {
    let written = store.last_conditional();
    let number = site.hosts.iter().position(|host| written.contains(&format!("{} ", host.name)));
    let Some(number) = number else { return };
    site.hosts[number].signal("-TERM");
    site.record.write(Instant::now(), format!("{} gets SIGTERM", site.hosts[number].name));
    let site = site.clone();
    thread::spawn(move || {
        let host = &site.hosts[number];
        host.wait(GRACE);
        site.record.write(Instant::now(), format!("{} has ended", host.name));
        thread::sleep(Duration::from_millis(300));
        if !site.is_over.load(Ordering::SeqCst) && host.start().is_ok() {
            site.record.write(Instant::now(), format!("{} starts", host.name));
        }
    });
}

/// Asks a host once per second whether it is ready; two misses take it out of rotation.
fn ask_readiness(site: &Site, number: usize) {
    let mut misses = 0;
    while !site.is_over.load(Ordering::SeqCst) {
        misses = if site.hosts[number].is_ready() { 0 } else { misses + 1 };
        if misses == 0 || misses >= 2 {
            site.rotation[number].store(misses == 0, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(1_000));
    }
}

/// Clients of a host, each on a connection of its own.
fn send_requests(site: &Arc<Site>, number: usize) {
    let mut draws = Draws::new(number as u64 + u64::from(std::process::id()));
    while !site.is_over.load(Ordering::SeqCst) {
        let pause = -MEAN_PAUSE_MS * (1.0 - draws.next()).ln();
        thread::sleep(Duration::from_millis(pause as u64));
        let is_unsafe = draws.next() < 0.65;
        if site.rotation[number].load(Ordering::SeqCst) {
            let site = site.clone();
            thread::spawn(move || send_request(&site, number, is_unsafe));
        }
    }
}

fn send_request(site: &Site, number: usize, is_unsafe: bool) {
    let attempt = format!("{:016x}", site.next.fetch_add(1, Ordering::SeqCst));
    let (at, host) = (Instant::now(), &site.hosts[number]);
    site.sent.lock().unwrap().insert(attempt.clone(), Sent { host: number, at, is_unsafe });
    let target = if is_unsafe { "POST /book/1" } else { "GET /look/1" };
    site.record.write(at, format!("{attempt} {target} is sent to {}", host.name));
    let body = if is_unsafe { "a booking" } else { "" };
    let request = format!(
        "{target} HTTP/1.1\r\nHost: app.example\r\nX-Jacinthrock-Attempt-Id: {attempt}\r\n\
         X-Jacinthrock-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let limit = Duration::from_millis(4_000);
    let answer = Connection::connect(host.front, limit).and_then(|mut connection| {
        connection.write(request.as_bytes())?;
        connection.read()
    });
    let outcome = match answer {
        Ok(Some(answer)) => answer.status().to_string(),
        Ok(None) => "closed".into(),
        Err(error) => error.kind().to_string(),
    };
    site.record.write(Instant::now(), format!("{attempt} gets {outcome}"));
    *site.statuses.lock().unwrap().entry(outcome).or_default() += 1;
}

const CONFIG: &str = r#"{"version": 3,
 "routes": [
  {"name": "book", "host": "app.example", "pathPrefix": "/book/", "routeKind": "unsafe",
   "timeoutMs": 1500, "sloMs": 300, "priority": 2, "service": "app", "maxAttempts": 1,
   "anonymous": false},
  {"name": "look", "host": "app.example", "pathPrefix": "/look/", "routeKind": "safe",
   "timeoutMs": 1500, "sloMs": 300, "priority": 2, "service": "app", "maxAttempts": 2,
   "anonymous": false}],
 "services": [{"name": "app", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
  "idleTimeoutMs": 15000},
 "tenants": [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 2}]}"#;
