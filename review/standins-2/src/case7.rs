//! Many clients send bodies of the size that the configuration allows at the same time. The host
//! holds all of them in memory, goes over its limit and is killed, with the calls of others.
//!
//! Two hosts. Clients on kept connections make bookings; then many users come at once and upload.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setting;
use crate::http::read_message;
use crate::site::{
    EntryHost, HOST, KEY, Record, Replica, address, call, config, free_ports, route, word,
};
use crate::store::Store;

const SERVICES: [&str; 2] = ["desk", "files"];
const REPLICAS: usize = 3;
/// Clients that make bookings, at each host.
const CLIENTS: usize = 16;
/// Users who come at once: 1.7 times the 92 clients of the site, half of them at each host.
const USERS: usize = 78;
/// `maxBodyBytes`.
const BODY_BYTES: usize = 4_194_304;
/// Time in which a user sends a body: all of them together stay under two thirds of `linkMbps`.
const UPLOAD: Duration = Duration::from_secs(4);
/// `memoryMb`, in bytes.
const MEMORY_BYTES: f64 = 260.0 * 1_048_576.0;
/// Time after which the platform starts a process again.
const RESTART: Duration = Duration::from_millis(400);

/// Plays the case; returns whether the rule was broken.
pub fn play(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let port = free_ports(20);
    let store_address = address(1, port);
    let store = Store::start(store_address)?;
    let routes = vec![
        route("desk", "/desk/", "unsafe", "desk", 1_500),
        route("files", "/files/", "unsafe", "files", 20_000),
    ];
    store.put("config", "main", config(1, routes, &SERVICES));
    let mut replicas = Vec::new();
    for service in SERVICES {
        for number in 0..REPLICAS {
            let at = address(20 + replicas.len() as u8, port + 10);
            replicas.push(Replica::start(setting, &store, service, number, at)?);
        }
    }
    let mut hosts = Vec::new();
    for (number, name) in ["edge-1", "edge-2"].iter().enumerate() {
        let (last, zone) = (number as u8 + 2, format!("zone-{}", number + 1));
        let mut host = EntryHost::new(name, last, &zone, port, store_address, &setting.folder)?;
        host.start(setting)?;
        hosts.push(host);
    }
    if !hosts.iter().all(EntryHost::wait_until_ready) {
        return Err(io::Error::other("a host is not ready"));
    }
    thread::sleep(Duration::from_secs(5));
    let fronts: Vec<_> = hosts.iter().map(|host| (host.name.clone(), host.front)).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for client in 0..CLIENTS * fronts.len() {
        let (name, front) = fronts[client % fronts.len()].clone();
        let (record, is_over) = (record.clone(), is_over.clone());
        threads.push(thread::spawn(move || {
            let mut connection = None;
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let attempt = format!("{client:04x}{number:012x}");
                let body = vec![b'b'; 600];
                call(&record, &mut connection, &name, front, "POST", "/desk/x", &attempt, &body);
                thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    let hosts = Arc::new(Mutex::new(hosts));
    let watch = watch_memory(setting, hosts.clone(), is_over.clone());
    thread::sleep(Duration::from_secs(2));
    if setting.has_trouble {
        record.note(&format!("trouble {} users come at once", USERS * fronts.len()));
        for user in 0..USERS * fronts.len() {
            let (name, front) = fronts[user % fronts.len()].clone();
            let record = record.clone();
            threads.push(thread::spawn(move || {
                // A client whose connection ends does not send an unsafe request again.
                let _ = upload(&record, &name, front, user);
            }));
        }
    }
    thread::sleep(UPLOAD + Duration::from_secs(4));
    is_over.store(true, Ordering::SeqCst);
    let peak = watch.join().expect("the platform's watch");
    threads.into_iter().for_each(|it| it.join().expect("a client"));
    Ok(judge(setting, peak))
}

/// Sends a large body at an even rate, and reads the answer.
fn upload(record: &Record, to: &str, front: SocketAddr, user: usize) -> io::Result<()> {
    const PARTS: usize = 64;
    let attempt = format!("ffff{user:012x}");
    let mut stream = TcpStream::connect(front)?;
    stream.set_nodelay(true)?;
    record.note(&format!("sent attempt={attempt} to={to} path=/files/x bytes={BODY_BYTES}"));
    let head = format!(
        "POST /files/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {BODY_BYTES}\r\n\
         X-Jacinthrock-Attempt-Id: {attempt}\r\nX-Jacinthrock-Deadline-Ms: 20000\r\n\
         Authorization: Token {KEY}\r\n\r\n"
    );
    let result = (|| {
        stream.write_all(head.as_bytes())?;
        let (begin, part) = (Instant::now(), vec![b'f'; BODY_BYTES / PARTS]);
        for number in 0..PARTS {
            let due = begin + UPLOAD / PARTS as u32 * number as u32;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            stream.write_all(&part)?;
        }
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        read_message(&mut io::BufReader::new(&stream))
    })();
    match &result {
        Ok(Some(answer)) => {
            record.note(&format!("answered attempt={attempt} status={}", answer.status()));
        }
        _ => record.note(&format!("closed attempt={attempt}")),
    }
    result.map(|_| ())
}

/// Does what the platform does: kills a process that exceeds its memory, and starts it again.
/// Returns the largest size that was seen, in bytes.
fn watch_memory(
    setting: &Setting,
    hosts: Arc<Mutex<Vec<EntryHost>>>,
    is_over: Arc<AtomicBool>,
) -> thread::JoinHandle<f64> {
    let setting = setting.clone();
    thread::spawn(move || {
        let mut peak = 0.0_f64;
        while !is_over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
            for host in hosts.lock().unwrap().iter_mut() {
                let Some(bytes) = host.memory_bytes() else { continue };
                peak = peak.max(bytes);
                if bytes <= MEMORY_BYTES {
                    continue;
                }
                let mib = bytes / 1_048_576.0;
                setting.record.note(&format!("over-limit host={} mib={mib:.0}", host.name));
                host.kill();
                thread::sleep(RESTART);
                if host.start(&setting).is_err() {
                    setting.record.note("a process could not start again");
                }
            }
        }
        peak
    })
}

/// Whether more than three bookings that a sound replica ran, sent over a kept connection, ended
/// with that connection and without an answer.
fn judge(setting: &Setting, peak: f64) -> bool {
    let lines = setting.record.lines();
    let attempts = |what: &str| {
        let found = lines.iter().filter(|(_, words)| words.first().is_some_and(|it| it == what));
        found.map(|(_, words)| word(words, "attempt").to_owned()).collect::<Vec<_>>()
    };
    let (ran, answered, closed) = (attempts("ran"), attempts("answered"), attempts("closed"));
    let is_kept = |attempt: &str| {
        lines.iter().any(|(_, words)| {
            words[0] == "sent" && word(words, "attempt") == attempt && word(words, "kept") == "true"
        })
    };
    let lost = closed.iter().filter(|attempt| ran.contains(attempt) && is_kept(attempt)).count();
    let ends = lines.iter().filter(|(_, words)| words[0] == "over-limit").count();
    let text = format!(
        "bookings run by a replica and closed without an answer: {lost}; answered: {}; processes \
         over their memory: {ends}; largest size: {:.0} MiB of 260",
        answered.len(),
        peak / 1_048_576.0
    );
    setting.record.note(&format!("result {text}"));
    println!("{text}");
    lost > 3
}
