//! Replicas of a service with layers are taken away as planned and replaced, one at a time; at the same
//! time a host is stopped as planned. Streams of that host pass through the replica that leaves.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::drain::Draws;
use crate::fleet::{Fleet, KV_BYTES, LAYER_MB, LAYERS, LOAD, RunEnd, SIZE_MB, STEP};
use crate::http::Connection;
use crate::site::{Host, Record, address_in, free_block};
use crate::store::Store;

const HOSTS: u8 = 6;
const ZONES: [&str; 3] = ["north", "centre", "south"];
/// Replicas in each zone.
const REPLICAS: usize = 2;
const ROUNDS: usize = 6;
const ROUND: Duration = Duration::from_millis(15_000);
/// Time from the start of a new replica to the leaving of the old one.
const OVERLAP: Duration = Duration::from_millis(1_000);
/// `drainMs`, and how much longer a replica that leaves serves.
const DRAIN: Duration = Duration::from_millis(2_000);
const LONGER: Duration = Duration::from_millis(300);
/// `beatMs`
const BEAT: Duration = Duration::from_millis(1_200);
/// `graceS`, `stableMs` and `lossSlackMs`
const GRACE: Duration = Duration::from_secs(8);
const STABLE: Duration = Duration::from_secs(3);
/// Mean pause of each host's clients between two streams. The first host of each zone gets three times
/// as many as the second: "the share of connections per node is uneven".
const MEAN_PAUSES_MS: [f64; 2] = [600.0, 1_800.0];
/// Tokens of each prompt and answer.
const PROMPT: u32 = 1_000;
const ANSWER: u32 = 240;
/// Silence after which a client gives a stream up: two seconds, four times the objective or eight times
/// the longest pause, whichever is longest.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time for the last streams to end.
const LAST_STREAMS: Duration = Duration::from_millis(7_500);
const SERVICE: &str = "model-app";

/// A stream that a client asked for.
struct Asked {
    host: usize,
    at: Instant,
    events: usize,
    /// How it ended, and when; none while it runs.
    end: Option<(String, Instant)>,
}

struct Site {
    hosts: Vec<Host>,
    rotation: Vec<AtomicBool>,
    fleet: Fleet,
    store: Store,
    record: Arc<Record>,
    asked: Mutex<BTreeMap<String, Asked>>,
    stops: Mutex<Vec<(usize, Instant)>>,
    next: AtomicUsize,
    next_replica: AtomicUsize,
    has_clients: AtomicBool,
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
    store.put("config", "main", &config());
    let mut hosts = Vec::new();
    for number in 1..=HOSTS {
        let zone = ZONES[usize::from(number) % ZONES.len()];
        hosts.push(Host::new(root, folder, block, number, zone, &ZONES, store_address)?);
    }
    let site = Arc::new(Site {
        rotation: hosts.iter().map(|_| AtomicBool::new(false)).collect(),
        hosts,
        fleet: Fleet::new(record),
        store,
        record: record.clone(),
        asked: Mutex::default(),
        stops: Mutex::default(),
        next: AtomicUsize::new(1),
        next_replica: AtomicUsize::new(0),
        has_clients: AtomicBool::new(true),
        is_over: AtomicBool::new(false),
    });
    for number in 0..ZONES.len() * REPLICAS {
        add_replica(&site, block, ZONES[number % ZONES.len()])?;
    }
    let beats = site.clone();
    thread::spawn(move || write_entries(&beats));
    let room = site.clone();
    thread::spawn(move || record_room(&room));
    let result = play_rounds(&site, block, has_trouble);
    site.is_over.store(true, Ordering::SeqCst);
    // Threads that still run hold the site, so that it is not dropped.
    site.hosts.iter().for_each(Host::kill);
    result?;
    Ok(check(&site))
}

fn play_rounds(site: &Arc<Site>, block: [u8; 2], has_trouble: bool) -> io::Result<()> {
    for host in &site.hosts {
        host.start()?;
    }
    for number in 0..site.hosts.len() {
        let site = site.clone();
        thread::spawn(move || ask_readiness(&site, number));
    }
    wait_for(Duration::from_secs(15), || {
        let alive = site.fleet.alive();
        alive.iter().all(|(_, is_placed)| *is_placed)
            && site.rotation.iter().all(|it| it.load(Ordering::SeqCst))
    })
    .ok_or_else(|| io::Error::other("the hosts and replicas did not become ready"))?;
    thread::sleep(Duration::from_millis(2_000));
    for number in 0..site.hosts.len() {
        let site = site.clone();
        thread::spawn(move || send_streams(&site, number));
    }
    thread::sleep(Duration::from_millis(7_000));
    for _ in 0..ROUNDS {
        let began = Instant::now();
        replace_replica(site, block, has_trouble)?;
        thread::sleep((began + ROUND).saturating_duration_since(Instant::now()));
    }
    site.has_clients.store(false, Ordering::SeqCst);
    thread::sleep(LAST_STREAMS);
    Ok(())
}

fn wait_for(limit: Duration, is_done: impl Fn() -> bool) -> Option<()> {
    let end = Instant::now() + limit;
    while !is_done() {
        if Instant::now() > end {
            return None;
        }
        thread::sleep(Duration::from_millis(20));
    }
    Some(())
}

fn add_replica(site: &Site, block: [u8; 2], zone: &str) -> io::Result<()> {
    let number = site.next_replica.fetch_add(1, Ordering::SeqCst);
    let address = address_in(block, 100 + number as u8, 0);
    let address = site.fleet.start(&format!("i-{:04x}", 0x5a00 + number), zone, address)?;
    write_entry(site, address);
    Ok(())
}

fn write_entry(site: &Site, at: std::net::SocketAddr) {
    if let Some((id, entry)) = site.fleet.entry(SERVICE, at) {
        site.store.put("servers", &id, &entry);
    }
}

/// Writes the entries of all replicas as they do, once in a heartbeat.
fn write_entries(site: &Site) {
    while !site.is_over.load(Ordering::SeqCst) {
        for (at, _) in site.fleet.alive() {
            write_entry(site, at);
        }
        thread::sleep(BEAT);
    }
}

/// Records when there is room for further streams in the later half of the layers, and when not.
fn record_room(site: &Site) {
    let mut known = None;
    while !site.is_over.load(Ordering::SeqCst) {
        let room = site.fleet.room(LAYERS / 2, LAYERS, PROMPT + ANSWER);
        if known != Some(room) {
            let text = format!("room for {room} streams in the later half of the layers");
            site.record.write(Instant::now(), text);
            known = Some(room);
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Replaces the later part that most streams pass through, and stops the host with most of these.
/// Without trouble, no replica leaves.
fn replace_replica(site: &Arc<Site>, block: [u8; 2], has_trouble: bool) -> io::Result<()> {
    let Some(at) = site.fleet.busiest_later_part() else {
        site.record.write(Instant::now(), "no replica is a later part only");
        return Ok(());
    };
    if has_trouble {
        add_replica(site, block, &site.fleet.zone(at).unwrap_or_default())?;
    }
    thread::sleep(OVERLAP);
    if has_trouble {
        site.fleet.leave(at);
        write_entry(site, at);
        site.record.write(Instant::now(), format!("store: the replica at {at} is draining"));
    }
    thread::sleep(DRAIN);
    stop_host(site, at);
    thread::sleep(LONGER);
    if has_trouble {
        let id = site.fleet.entry(SERVICE, at).map(|(id, _)| id);
        site.fleet.end(at);
        if let Some(id) = id {
            site.store.delete("servers", &id);
        }
    }
    Ok(())
}

/// Stops the host that has most streams through a replica; the platform starts it again.
fn stop_host(site: &Arc<Site>, at: std::net::SocketAddr) {
    let mut counts = vec![0; site.hosts.len()];
    {
        let asked = site.asked.lock().unwrap();
        for attempt in site.fleet.passing(at) {
            if let Some(stream) = asked.get(&attempt) {
                counts[stream.host] += 1;
            }
        }
    }
    let Some(number) = (0..counts.len()).max_by_key(|number| counts[*number]) else { return };
    let now = Instant::now();
    site.hosts[number].signal("-TERM");
    site.stops.lock().unwrap().push((number, now));
    let text = format!("{} gets SIGTERM; {} streams", site.hosts[number].name, counts[number]);
    site.record.write(now, text);
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

/// Clients of a host, each on a connection of its own. While the host is out of rotation, the other one
/// of its zone gets them.
fn send_streams(site: &Arc<Site>, number: usize) {
    let mut draws = Draws::new(number as u64 + u64::from(std::process::id()));
    loop {
        let pause = -MEAN_PAUSES_MS[number / ZONES.len()] * (1.0 - draws.next()).ln();
        thread::sleep(Duration::from_millis(pause as u64));
        if !site.has_clients.load(Ordering::SeqCst) {
            return;
        }
        let other = (number + ZONES.len()) % site.hosts.len();
        let in_rotation = |number: &usize| site.rotation[*number].load(Ordering::SeqCst);
        if let Some(number) = [number, other].into_iter().find(in_rotation) {
            let site = site.clone();
            thread::spawn(move || send_stream(&site, number));
        }
    }
}

fn send_stream(site: &Site, number: usize) {
    let count = site.next.fetch_add(1, Ordering::SeqCst);
    let attempt = format!("{count:016x}");
    let (at, host) = (Instant::now(), &site.hosts[number]);
    let asked = Asked { host: number, at, events: 0, end: None };
    site.asked.lock().unwrap().insert(attempt.clone(), asked);
    site.record.write(at, format!("{attempt} is sent to {}", host.name));
    let request = format!(
        "POST /write/1 HTTP/1.1\r\nHost: app.example\r\nX-Jacinthrock-Attempt-Id: {attempt}\r\n\
         X-Jacinthrock-Model: model\r\nX-Jacinthrock-Token-Count: {PROMPT},{ANSWER}\r\n\
         X-Jacinthrock-Prompt-Prefix: {count:x}:{PROMPT}\r\nX-Jacinthrock-Deadline-Ms: 20000\r\n\
         Authorization: Token key-1\r\nConnection: close\r\nContent-Length: 7\r\n\r\na text."
    );
    let mut events = 0;
    let end = read_stream(host, &request, &mut events);
    let end = end.unwrap_or_else(|error| match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => "given up by its client".into(),
        kind => format!("connection ends ({kind})"),
    });
    let now = Instant::now();
    site.record.write(now, format!("{attempt} gets {events} events, then: {end}"));
    if let Some(asked) = site.asked.lock().unwrap().get_mut(&attempt) {
        asked.events = events;
        asked.end = Some((end, now));
    }
}

/// Reads an answer; returns how it ended.
fn read_stream(host: &Host, request: &str, events: &mut usize) -> io::Result<String> {
    let mut connection = Connection::connect(host.front, PATIENCE)?;
    connection.write(request.as_bytes())?;
    let head = connection.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 {
        return Ok(format!("status {}", head.status()));
    }
    let mut text = Vec::new();
    while let Some(part) = connection.read_chunk()? {
        text.extend(part);
        *events = text.windows(2).filter(|it| *it == b"\n\n").count();
    }
    Ok(if *events == ANSWER as usize { "whole".into() } else { "end of the answer".into() })
}

/// Checks the rule: no connection of a request that was passed on ends without a complete answer
/// around the planned stop of the host that took it.
fn check(site: &Site) -> bool {
    let asked = site.asked.lock().unwrap();
    let stops = site.stops.lock().unwrap();
    let runs = site.fleet.runs();
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    let (mut lost, mut others) = (0, 0);
    for (attempt, stream) in asked.iter() {
        let Some((end, at)) = &stream.end else { continue };
        let kind = if end.starts_with("connection ends") { "connection ends" } else { end };
        *ends.entry(kind.into()).or_default() += 1;
        if kind != "connection ends" && kind != "end of the answer" {
            continue;
        }
        let own: Vec<_> = runs.iter().filter(|run| run.attempt == *attempt).collect();
        let Some(last) = own.iter().max_by_key(|run| run.ended) else { continue };
        let host = &site.hosts[stream.host];
        // Neither the last sixth of the grace, nor anything after it, is judged.
        let stop = stops.iter().find(|(number, stopped)| {
            let judged = *stopped..=*stopped + GRACE * 5 / 6;
            *number == stream.host && judged.contains(at) && stream.at <= *stopped
        });
        let is_excused = own.iter().any(|run| run.end == RunEnd::BrokenOff);
        let was_calm = |stopped: Instant| {
            let disturbed = host.disturbed.lock().unwrap();
            !disturbed.iter().any(|it| *it + STABLE > stream.at && *it < stopped)
        };
        let Some((_, stopped)) = stop.filter(|(_, stopped)| !is_excused && was_calm(*stopped))
        else {
            others += 1;
            continue;
        };
        lost += 1;
        let text = format!(
            "LOST: {attempt}, sent to {} {} ms before its SIGTERM, got {} of {ANSWER} events; its \
             connection ends {} ms after the SIGTERM ({end}); its run at {}, which did not end, was {:?} \
             {} ms before that",
            host.name,
            stopped.duration_since(stream.at).as_millis(),
            stream.events,
            at.duration_since(*stopped).as_millis(),
            last.first,
            last.end,
            at.saturating_duration_since(last.ended).as_millis()
        );
        site.record.write(*at, &text);
        println!("{text}");
    }
    let text = format!(
        "{} streams, {ends:?}; {lost} lost around the planned stop of their host, {others} cut off \
         elsewhere or excused",
        asked.len()
    );
    site.record.write(Instant::now(), &text);
    println!("{text}");
    lost == 0
}

fn config() -> String {
    let (step, load) = (STEP.as_millis(), LOAD.as_secs());
    format!(
        r#"{{"version": 3,
 "routes": [{{"name": "write", "host": "app.example", "pathPrefix": "/write/", "routeKind": "stream",
  "timeoutMs": 20000, "sloMs": 500, "priority": 1, "service": "{SERVICE}", "maxAttempts": 2,
  "anonymous": false, "sticky": true, "resumable": true, "gapTargetMs": 200}}],
 "services": [{{"name": "{SERVICE}", "healthPath": "/health", "maxConns": 1048, "protocol": "h1",
  "tls": false, "engine": {{"slots": 192, "kvCapacity": 100000, "kvBytes": {KV_BYTES},
   "linkMbps": 480000.0, "stride": 1, "models": [{{"name": "model", "pace": 1.0, "loadS": {load},
   "warmS": 1.0}}], "step_ms": {step}, "per_seq_ms": 0.00382, "context_per_k": 0.00512,
   "read_per_s": 196000.0, "pairs_per_m": 0.166, "chunk": 512, "report_lag_ms": 200.0,
   "loadsPerS": 0.0, "loads_at_once": 6,
   "delays": [{{"from": "north", "to": "centre", "delay_ms": 0.25}},
    {{"from": "north", "to": "south", "delay_ms": 0.25}},
    {{"from": "centre", "to": "south", "delay_ms": 0.25}}],
   "usual": {{"prompt": {PROMPT}, "answer": {ANSWER}}}, "layers": {LAYERS}, "layerMb": {LAYER_MB},
   "actBytes": 29500, "pipeMbps": 11000.0,
   "kinds": [{{"name": "card", "sizeMb": {SIZE_MB}, "pace": 1.0, "readFactor": 1.0}}]}}}}],
 "limits": {{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
  "idleTimeoutMs": 15000}},
 "tenants": [{{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1}}]}}"#
    )
}
