//! Another writer leaves an entry of a service that no configuration names, at the address of a
//! sound replica; in the second round, shortly after the hosts have got SIGHUP.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::host::{Call, Client, Host, ZONES, wait_until};
use crate::record::Record;
use crate::replica::Replica;
use crate::store::Store;

const SERVICE: &str = "redaccion";
const HOSTS: usize = 3;
/// Clients of each host.
const CLIENTS: usize = 6;
/// Events of a stream, and the pause between them.
const EVENTS: usize = 30;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// Streams that may be broken off.
const MOST_LOST: usize = 3;
/// Time from SIGHUP until the entry is written.
const HUP_BEFORE: Duration = Duration::from_millis(500);
/// `configMs`: requests that are sent up to this long after SIGHUP count.
const CONFIG: Duration = Duration::from_millis(2_000);
/// Time for which the odd entry stays.
const STAY: Duration = Duration::from_secs(6);
const ROUNDS: usize = 2;

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start();
    let config = format!(
        r#"{{"version":1,"routes":[{{"name":"r1","host":"a.example","pathPrefix":"/aviso/","routeKind":"stream","timeoutMs":20000,"sloMs":500,"gapTargetMs":200,"priority":1,"service":"{SERVICE}","maxAttempts":2,"anonymous":false,"sticky":true,"resumable":false}}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConns":400,"engine":{{"layers":4,"layerMb":10.0,"kvBytes":4000,"actBytes":100,"pipeMbps":11000.0,"step_ms":1.0,"per_seq_ms":0.001,"context_per_k":0.001,"read_per_s":100000.0,"loads_at_once":6,"models":[{{"name":"m","loadS":0.5}}],"usual":{{"prompt":30,"answer":40}},"kinds":[{{"name":"k","sizeMb":100.0,"pace":1.0,"readFactor":1.0}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"t1","apiKeys":["key-one"]}}]}}"#
    );
    store.put("config", "main", &config);
    let hosts: Vec<_> =
        (0..HOSTS).map(|number| Host::start(folder, number, store.address, 260)).collect();
    let start = |number: usize| {
        let zone = ZONES[number % ZONES.len()];
        let id = format!("i-{number}");
        let replica = Replica::start(record, &id, SERVICE, zone, 24, EVENT_PAUSE, Some(EVENTS));
        store.put("servers", &replica.id, &replica.entry());
        replica
    };
    let replicas: Vec<_> = (0..3).map(start).collect();
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
                sleep(EVENT_PAUSE * 4 * client as u32);
                let mut sender = Client::new(number, address);
                let mut count = 0;
                while !is_over.load(Ordering::Relaxed) {
                    count += 1;
                    let attempt = format!("h{number}c{client}n{count}");
                    let call = Call {
                        method: "POST",
                        target: "/aviso/2f",
                        attempt: &attempt,
                        deadline_ms: 20_000,
                        headers: "X-Jacinthrock-Model: m\r\nX-Jacinthrock-Token-Count: 30,60\r\n\
                                  X-Jacinthrock-Prompt-Prefix: ab12:10,cd34:20\r\n",
                        body: b"a notice",
                    };
                    sender.send(&record, &call);
                    sleep(Duration::from_millis(50));
                }
            }));
        }
    }
    sleep(Duration::from_secs(8));
    let mut hup_at = None;
    for (round, replica) in replicas[..ROUNDS].iter().enumerate() {
        if round + 1 == ROUNDS {
            hosts.iter().for_each(Host::reload);
            hup_at = Some(record.now());
            record.note("all hosts get SIGHUP");
            sleep(HUP_BEFORE);
        }
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
        let (address, zone) = (replica.address, &replica.zone);
        let odd = format!(
            "{{\"service\":\"not-named-here\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\
             \"sequence\":0,\"born\":{born}}}"
        );
        if has_trouble {
            store.put("servers", "odd-entry", &odd);
            record
                .note(&format!("another writer leaves an entry at the address of {}", replica.id));
        }
        sleep(STAY);
        if has_trouble {
            store.delete("servers", "odd-entry");
            record.note("the entry is removed");
        }
        sleep(STAY);
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let arrivals = record.arrivals.lock().unwrap().clone();
    let outcomes = record.outcomes.lock().unwrap().clone();
    let mut by_status = BTreeMap::<u16, usize>::new();
    let (mut lost, mut lost_after_hup) = (0, 0);
    for outcome in &outcomes {
        *by_status.entry(outcome.status).or_default() += 1;
        let ran = arrivals.iter().find(|it| it.ran && it.attempt == outcome.attempt);
        let is_first = outcome.attempt.ends_with("n1");
        if let Some(arrival) = ran.filter(|_| outcome.status == 0) {
            lost += usize::from(!is_first);
            let is_after =
                hup_at.is_some_and(|at| outcome.ended > at && outcome.sent < at + CONFIG);
            lost_after_hup += usize::from(is_after);
            record.note(&format!(
                "LOST: {} ran at {}, the host closed the client's connection: {}",
                outcome.attempt, arrival.replica, outcome.note
            ));
        }
    }
    record.note(&format!(
        "streams by status: {by_status:?}; broken off on kept connections: {lost}, after SIGHUP: \
         {lost_after_hup}"
    ));
    if by_status.get(&200).copied().unwrap_or(0) < outcomes.len() / 2 {
        return Err("too few streams were served".into());
    }
    Ok(lost <= MOST_LOST && lost_after_hup == 0)
}
