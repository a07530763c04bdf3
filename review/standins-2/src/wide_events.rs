//! A stream that may be resumed breaks off although another replica goes on with it: its next event
//! holds more tokens than any event before.
//!
//! Two hosts, six replicas that hold the whole model. Three times, one of them crashes and starts
//! again.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Setting;
use crate::json::Json;
use crate::site::{EntryHost, Replica, address, call, config, free_ports, word};
use crate::store::Store;

const REPLICAS: usize = 6;
/// Clients at each host, with one stream at a time.
const CLIENTS: usize = 140;
/// Replicas that crash, one after the other.
const CRASHES: usize = 3;
/// Time for which a replica is down, and from its end to that of its entry: three heartbeats.
const DOWN: Duration = Duration::from_millis(4_500);
const ENTRY_END: Duration = Duration::from_millis(3_600);
/// Time from the start of a replica to the next crash.
const PAUSE: Duration = Duration::from_secs(4);

/// Plays the case; returns whether the rule was broken.
pub fn play(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let port = free_ports(20);
    let store_address = address(1, port);
    let store = Store::start(store_address)?;
    store.put("config", "main", guide_config());
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let at = address(20 + number as u8, port + 10);
        replicas.push(Replica::start(setting, &store, "guide", number, at)?);
    }
    let mut hosts = Vec::new();
    for (number, name) in ["edge-1", "edge-2"].iter().enumerate() {
        let (last, zone) = (number as u8 + 2, "zone-1");
        let mut host = EntryHost::new(name, last, zone, port, store_address, &setting.folder)?;
        host.start(setting)?;
        hosts.push(host);
    }
    if !hosts.iter().all(EntryHost::wait_until_ready) {
        return Err(io::Error::other("a host is not ready"));
    }
    thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for client in 0..CLIENTS * hosts.len() {
        let host = &hosts[client % hosts.len()];
        let (name, front) = (host.name.clone(), host.front);
        let (record, is_over) = (record.clone(), is_over.clone());
        threads.push(thread::spawn(move || {
            let mut connection = None;
            thread::sleep(Duration::from_millis(client as u64 * 7));
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let attempt = format!("{client:04x}{number:012x}");
                call(&record, &mut connection, &name, front, "POST", "/guide/x", &attempt, b"x");
            }
        }));
    }
    thread::sleep(Duration::from_secs(6));
    for (number, replica) in replicas.iter_mut().enumerate().take(CRASHES) {
        if setting.has_trouble {
            replica.crash();
            record.note(&format!("trouble replica={} crashes", replica.id));
        }
        thread::sleep(ENTRY_END);
        if setting.has_trouble {
            store.remove("servers", &replica.id);
        }
        thread::sleep(DOWN - ENTRY_END);
        if setting.has_trouble {
            let at = address(20 + number as u8, port + 10);
            *replica = Replica::start(setting, &store, "guide", REPLICAS + number, at)?;
        }
        thread::sleep(PAUSE);
    }
    is_over.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|client| client.join().expect("a client"));
    Ok(judge(setting))
}

fn guide_config() -> Json {
    let route = Json::map([
        ("name", "guide".into()),
        ("host", crate::site::HOST.into()),
        ("pathPrefix", "/guide/".into()),
        ("routeKind", "stream".into()),
        ("resumable", true.into()),
        ("timeoutMs", 20_000.into()),
        ("sloMs", 500.into()),
        ("gapTargetMs", 200.into()),
        ("priority", 1.into()),
        ("service", "guide".into()),
        ("maxAttempts", 2.into()),
        ("anonymous", false.into()),
    ]);
    let card = Json::map([
        ("name", "k".into()),
        ("sizeMb", 100_000.into()),
        ("pace", 1.into()),
        ("readFactor", 1.into()),
    ]);
    let engine = Json::map([
        ("layers", crate::engine::LAYERS.into()),
        ("layerMb", 10.into()),
        ("kvBytes", 4_000.into()),
        ("step_ms", 1.into()),
        ("read_per_s", 100_000.into()),
        ("models", vec![Json::map([("loadS", 1.into())])].into()),
        ("usual", Json::map([("prompt", 30.into()), ("answer", 100.into())])),
        ("kinds", vec![card].into()),
    ]);
    let Json::Map(mut whole) = config(1, vec![route], &[]) else { unreachable!("a map") };
    let service = Json::map([
        ("name", "guide".into()),
        ("healthPath", "/health".into()),
        ("maxConns", 1_000.into()),
        ("engine", engine),
    ]);
    whole.insert("services".into(), vec![service].into());
    Json::Map(whole)
}

/// Whether more than three streams that a sound replica had taken up, over a kept connection, ended
/// with that connection and without their end.
fn judge(setting: &Setting) -> bool {
    let lines = setting.record.lines();
    let of = |what: &'static str| lines.iter().filter(move |(_, words)| words[0] == what);
    let is_crashed = |id: &str| of("trouble").any(|(_, words)| word(words, "replica") == id);
    let (mut lost, mut cut, mut resumed) = (0, 0, 0);
    for (_, words) in of("sent").filter(|(_, words)| word(words, "kept") == "true") {
        let attempt = word(words, "attempt");
        let runs: Vec<_> =
            of("ran").filter(|(_, words)| word(words, "attempt") == attempt).collect();
        let is_resumed = runs.len() > 1;
        let is_whole = of("answered")
            .any(|(_, words)| word(words, "attempt") == attempt && word(words, "whole") == "true");
        resumed += usize::from(is_resumed);
        if is_whole || runs.is_empty() {
            continue;
        }
        cut += 1;
        let last = runs.last().map_or("", |(_, words)| word(words, "replica"));
        lost += usize::from(is_resumed && !is_crashed(last));
    }
    let text = format!(
        "streams on kept connections: resumed {resumed}, broken off {cut}, of these taken up by a \
         sound replica {lost}"
    );
    setting.record.note(&format!("result {text}"));
    println!("{text}");
    lost > 3
}
