//! A host that cannot reach the service of a route passes calls on to a host with an older
//! configuration, which runs them at the service that the route was moved away from.
//!
//! Three hosts. The platform's store turns one of them away (it is silent to it), the one that holds
//! the placement lease. The operator moves two routes to new services. Then the only replica of one
//! of the new services crashes.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Setting;
use crate::site::{EntryHost, Replica, address, call, config, free_ports, now, route, word};
use crate::store::Store;

const SERVICES: [&str; 4] = ["old-desk", "new-desk", "old-look", "new-look"];
/// Replicas of each service.
const REPLICAS: [usize; 4] = [2, 1, 2, 1];
/// `configMs` and `rollbackSlackMs`, in seconds.
const CONFIG_S: f64 = 2.0;
const ROLLBACK_SLACK_S: f64 = 0.25;
/// Time from the last beat of a crashed replica to the end of its entry: three heartbeat intervals.
const ENTRY_END: Duration = Duration::from_millis(3_600);
/// Interval between two requests of one client.
const PAUSE: Duration = Duration::from_millis(100);
const CLIENTS: usize = 4;

fn routes(desk: &str, look: &str) -> Vec<crate::json::Json> {
    vec![
        route("desk", "/desk/", "unsafe", desk, 1_500),
        route("look", "/look/", "safe", look, 1_500),
    ]
}

/// Plays the case; returns whether the rule was broken.
pub fn play(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let port = free_ports(20);
    let store_address = address(1, port);
    let store = Store::start(store_address)?;
    store.put("config", "main", config(1, routes("old-desk", "old-look"), &SERVICES));
    let mut replicas = Vec::new();
    for (service, count) in SERVICES.iter().zip(REPLICAS) {
        for number in 0..count {
            let at = address(20 + replicas.len() as u8, port + 10);
            replicas.push(Replica::start(setting, &store, service, number, at)?);
        }
    }
    let mut hosts = Vec::new();
    for (number, name) in ["edge-1", "edge-2", "edge-3"].iter().enumerate() {
        let (last, zone) = (number as u8 + 2, format!("zone-{}", number + 1));
        let host = EntryHost::new(name, last, &zone, port, store_address, &setting.folder)?;
        hosts.push(host);
    }
    for host in &mut hosts {
        host.start(setting)?;
    }
    if !hosts.iter().all(EntryHost::wait_until_ready) {
        return Err(io::Error::other("a host is not ready"));
    }
    // The hosts know one another after a few seconds.
    thread::sleep(Duration::from_secs(6));
    let holder = store.lease().split(' ').next().unwrap_or_default().to_owned();
    let is_holder = |host: &&EntryHost| host.name == holder;
    let away = hosts.iter().find(is_holder).ok_or(io::Error::other("no host holds the lease"))?;
    let called = hosts.iter().find(|host| host.name != holder).expect("another host");
    record.note(&format!("start away={} called={}", away.name, called.name));

    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, is_over) = (record.clone(), is_over.clone());
            let (to, front) = (called.name.clone(), called.front);
            let (method, path) =
                if client % 2 == 0 { ("POST", "/desk/x") } else { ("GET", "/look/x") };
            thread::spawn(move || {
                let mut connection = None;
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let attempt = format!("{client:04x}{number:012x}");
                    call(&record, &mut connection, &to, front, method, path, &attempt, b"");
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if setting.has_trouble {
        away.link.set_silent(true);
        record.note(&format!("trouble store silent to {}", away.name));
    }
    thread::sleep(Duration::from_millis(100));
    store.put("config", "main", config(2, routes("new-desk", "new-look"), &SERVICES));
    let acknowledged = now();
    record.note("acknowledged version 2: /desk/ and /look/ move to the new services");
    thread::sleep(Duration::from_millis(600));
    let crashed = replicas.iter_mut().find(|replica| replica.id == "i-new-desk-0");
    let crashed = crashed.expect("the replica of the new service");
    if setting.has_trouble {
        crashed.crash();
        record.note(&format!("trouble {} crashes", crashed.id));
        thread::sleep(ENTRY_END);
        store.remove("servers", &crashed.id);
        record.note(&format!("entry of {} is removed", crashed.id));
    } else {
        thread::sleep(ENTRY_END);
    }
    thread::sleep(Duration::from_secs(1));
    away.link.set_silent(false);
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    Ok(judge(setting, acknowledged))
}

/// Whether a request was handled as only version 1 allows: run by an old service although it was
/// sent later than the bounds after the acknowledgement, or after a new service had run one.
fn judge(setting: &Setting, acknowledged: f64) -> bool {
    let lines = setting.record.lines();
    let is = |words: &[String], what: &str| words.first().is_some_and(|word| word == what);
    let sent_at = |attempt: &str| {
        let mut sent = lines.iter().filter(|(_, words)| is(words, "sent"));
        sent.find(|(_, words)| word(words, "attempt") == attempt).map(|(at, _)| *at)
    };
    let ran = || lines.iter().filter(|(_, words)| is(words, "ran"));
    let seen = ran().find(|(_, words)| word(words, "service").starts_with("new"));
    let seen = seen.map_or(f64::INFINITY, |(at, _)| *at);
    let (mut late, mut back) = (0, 0);
    for (_, words) in ran().filter(|(_, words)| word(words, "service").starts_with("old")) {
        let Some(sent) = sent_at(word(words, "attempt")) else { continue };
        late += usize::from(sent > acknowledged + CONFIG_S);
        back += usize::from(sent > seen + ROLLBACK_SLACK_S);
    }
    let text = format!(
        "run by an old service: {back} sent over {ROLLBACK_SLACK_S} s after the called host had \
         shown version 2, {late} of them sent over {CONFIG_S} s after its acknowledgement"
    );
    setting.record.note(&format!("result {text}"));
    println!("{text}");
    late + back > 0
}
