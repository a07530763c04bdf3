//! All open connections to the store go silent for good; then the operator moves a route.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::host::{Call, Client, Host, ZONES, wait_until};
use crate::record::Record;
use crate::replica::Replica;
use crate::store::Store;

const OLD: &str = "registro-a";
const NEW: &str = "registro-b";
const HOSTS: usize = 3;
/// Clients of each host.
const CLIENTS: usize = 3;
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(30);
const WORK: Duration = Duration::from_millis(60);
/// `stableMs`: hosts count as in touch again this long after their connections were harmed.
const STABLE: Duration = Duration::from_millis(3_000);
/// `configMs`.
const CONFIG: Duration = Duration::from_millis(2_000);
/// Time between the silence and the change.
const CHANGE_AFTER: Duration = Duration::from_millis(100);
const ROUNDS: usize = 3;
const ROUND: Duration = Duration::from_secs(14);

fn config(version: usize, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r1","host":"a.example","pathPrefix":"/alta/","routeKind":"unsafe","timeoutMs":1500,"sloMs":300,"priority":2,"service":"{service}","maxAttempts":1,"anonymous":false}}],"services":[{{"name":"{OLD}","healthPath":"/health","maxConns":200}},{{"name":"{NEW}","healthPath":"/health","maxConns":200}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"t1","apiKeys":["key-one"]}}]}}"#
    )
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start();
    store.put("config", "main", &config(1, OLD));
    let hosts: Vec<_> =
        (0..HOSTS).map(|number| Host::start(folder, number, store.address, 260)).collect();
    let mut replicas = Vec::new();
    for (prefix, service) in [("a", OLD), ("b", NEW)] {
        for (number, zone) in ZONES.iter().enumerate() {
            let id = format!("{prefix}-{number}");
            let replica = Replica::start(record, &id, service, zone, 6, WORK);
            store.put("servers", &replica.id, &replica.entry());
            replicas.push(replica);
        }
    }
    if !wait_until(Duration::from_secs(20), || hosts.iter().all(Host::is_ready)) {
        return Err("the hosts did not become ready".into());
    }
    sleep(Duration::from_secs(8));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        for client in 0..CLIENTS {
            let (record, is_over, address) = (record.clone(), is_over.clone(), host.front);
            clients.push(spawn(move || {
                let mut sender = Client::new(number, address);
                let mut count = 0;
                while !is_over.load(Ordering::Relaxed) {
                    count += 1;
                    let attempt = format!("h{number}c{client}n{count}");
                    let call = Call {
                        method: "POST",
                        target: "/alta/2f",
                        attempt: &attempt,
                        deadline_ms: 3_000,
                        body: b"an entry",
                    };
                    sender.send(&record, &call);
                    sleep(PAUSE);
                }
            }));
        }
    }
    sleep(Duration::from_secs(5));
    // Of each change: from when on requests must not be run by the service before, and that service.
    let mut changes = Vec::new();
    for round in 0..ROUNDS {
        let (old, new) = if round % 2 == 0 { ("a", NEW) } else { ("b", OLD) };
        if has_trouble {
            store.silence_connections();
            record.note(&format!("open connections to the store go silent, round {round}"));
        }
        let harmed = record.now();
        sleep(CHANGE_AFTER);
        store.put("config", "main", &config(2 + round, new));
        let acknowledged = record.now();
        record.note(&format!("store has acknowledged version {}: {new}", 2 + round));
        let from = (acknowledged + CONFIG).max(harmed + STABLE);
        sleep(ROUND);
        changes.push((from, record.now(), old, acknowledged));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let arrivals = record.arrivals.lock().unwrap().clone();
    let outcomes = record.outcomes.lock().unwrap().clone();
    let served = outcomes.iter().filter(|it| it.status == 200).count();
    record.note(&format!("{} requests, {served} answered with 200", outcomes.len()));
    let mut wrong_count = 0;
    for (from, until, old, acknowledged) in changes {
        let mut last = [Duration::ZERO; HOSTS];
        let mut counts = [0; HOSTS];
        for outcome in outcomes.iter().filter(|it| it.sent > acknowledged && it.sent < until) {
            let ran_at = arrivals.iter().find(|it| it.ran && it.attempt == outcome.attempt);
            if ran_at.is_none_or(|it| !it.replica.starts_with(old)) {
                continue;
            }
            last[outcome.host] = last[outcome.host].max(outcome.sent - acknowledged);
            if outcome.sent > from {
                counts[outcome.host] += 1;
                record.line(&format!("WRONG: {} was run by {old}", outcome.attempt));
            }
        }
        wrong_count += counts.iter().sum::<usize>();
        let last: Vec<_> = last.iter().map(Duration::as_millis).collect();
        record.note(&format!(
            "old service after the bound, by host: {counts:?}; last use in ms after the change: {last:?}"
        ));
    }
    record.note(&format!("requests run by the wrong service: {wrong_count}"));
    if served < outcomes.len() / 2 {
        return Err("too few requests were served".into());
    }
    Ok(wrong_count == 0)
}
