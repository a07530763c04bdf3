//! The open connections to the store go silent while a host has just been restarted. Its next calls
//! take idle connections that are silent as well, and it goes on by the old configuration long after
//! it counts as in touch again.
//!
//! Three hosts. One of them, which does not hold the placement lease, is stopped in order and
//! started again; then the open connections of all hosts to the store go silent, and new ones work.
//! The operator moves a route to another service.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Setting;
use crate::site::{EntryHost, Replica, address, call, config, free_ports, now, route, word};
use crate::store::Store;

const SERVICES: [&str; 2] = ["old-desk", "new-desk"];
const REPLICAS: usize = 3;
const GRACE: Duration = Duration::from_secs(8);
/// Time after which the platform starts a process that has ended.
const RESTART: Duration = Duration::from_millis(400);
/// Time from the start of the process to the silence; machines that are stopped and started in turn
/// follow one another after 1 to 2 s.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);
/// Time from the silence to the new configuration.
const CHANGE_AFTER: Duration = Duration::from_millis(400);
/// `stableMs` and `configMs`, in seconds.
const STABLE_S: f64 = 3.0;
const CONFIG_S: f64 = 2.0;
const CLIENTS: usize = 2;
const PAUSE: Duration = Duration::from_millis(50);

fn version(number: u64, service: &str) -> crate::json::Json {
    config(number, vec![route("desk", "/desk/", "unsafe", service, 1_500)], &SERVICES)
}

/// Plays the case; returns whether the rule was broken.
pub fn play(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let port = free_ports(20);
    let store_address = address(1, port);
    let store = Store::start(store_address)?;
    store.put("config", "main", version(1, "old-desk"));
    let mut replicas = Vec::new();
    for service in SERVICES {
        for number in 0..REPLICAS {
            let at = address(20 + replicas.len() as u8, port + 10);
            replicas.push(Replica::start(setting, &store, service, number, at)?);
        }
    }
    let mut hosts = Vec::new();
    for (number, name) in ["edge-1", "edge-2", "edge-3"].iter().enumerate() {
        let (last, zone) = (number as u8 + 2, format!("zone-{}", number + 1));
        let mut host = EntryHost::new(name, last, &zone, port, store_address, &setting.folder)?;
        host.start(setting)?;
        hosts.push(host);
    }
    if !hosts.iter().all(EntryHost::wait_until_ready) {
        return Err(io::Error::other("a host is not ready"));
    }
    thread::sleep(Duration::from_secs(5));
    let holder = store.lease().split(' ').next().unwrap_or_default().to_owned();
    let restarted = hosts.iter().position(|host| host.name != holder).expect("another host");
    let host = &mut hosts[restarted];
    record.note(&format!("stop host={}", host.name));
    host.stop(GRACE)?;
    thread::sleep(RESTART);
    record.note(&format!("start host={}", host.name));
    host.start(setting)?;
    thread::sleep(SILENT_AFTER);
    if !host.wait_until_ready() {
        return Err(io::Error::other("the restarted host is not ready"));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        for client in 0..CLIENTS {
            let (record, is_over) = (record.clone(), is_over.clone());
            let (to, front) = (host.name.clone(), host.front);
            let client = number * CLIENTS + client;
            threads.push(thread::spawn(move || {
                let mut connection = None;
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let attempt = format!("{client:04x}{number:012x}");
                    call(&record, &mut connection, &to, front, "POST", "/desk/x", &attempt, b"");
                    thread::sleep(PAUSE);
                }
            }));
        }
    }
    let silent_at = now();
    if setting.has_trouble {
        hosts.iter().for_each(|host| host.link.silence_open());
        record.note("trouble open connections to the store go silent; new ones work");
    }
    thread::sleep(CHANGE_AFTER);
    store.put("config", "main", version(2, "new-desk"));
    let acknowledged = now();
    record.note("acknowledged version 2: /desk/ moves to new-desk");
    thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|client| client.join().expect("a client"));
    Ok(judge(setting, silent_at, acknowledged))
}

/// Whether requests that were sent later than `configMs` after the acknowledgement, and later than
/// `stableMs` after the silence, were run by the old service.
fn judge(setting: &Setting, silent_at: f64, acknowledged: f64) -> bool {
    let lines = setting.record.lines();
    let of = |what: &'static str| lines.iter().filter(move |(_, words)| words[0] == what);
    let bound = (acknowledged + CONFIG_S).max(silent_at + STABLE_S);
    let (mut count, mut last) = (0, 0.0_f64);
    for (_, words) in of("ran").filter(|(_, words)| word(words, "service") == "old-desk") {
        let attempt = word(words, "attempt");
        let sent = of("sent").find(|(_, words)| word(words, "attempt") == attempt);
        if let Some((at, _)) = sent.filter(|(at, _)| *at > bound) {
            count += 1;
            last = last.max(at - acknowledged);
        }
    }
    let text = format!(
        "run by the old service although sent over {CONFIG_S} s after the acknowledgement, by hosts \
         in touch: {count}; the last was sent {last:.2} s after it"
    );
    setting.record.note(&format!("result {text}"));
    println!("{text}");
    count > 0
}
