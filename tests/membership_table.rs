//! Liveness of members, judged by the observer's own clock.

use jacinthrock::{HostState, MemberLiveness, MemberOptions, MemberRecord, MemberTable};
use std::time::Duration;
use tokio::time::Instant;

fn record(host: &str, incarnation: u64, heartbeat: u32) -> MemberRecord {
    MemberRecord {
        host: host.into(),
        domain: "south-1".into(),
        address: "10.0.0.1:7000".into(),
        incarnation,
        heartbeat,
        revision: 0,
        state: HostState::Serving,
    }
}

/// Merges a record and a fresh heartbeat of the same host.
fn receive(table: &mut MemberTable, now: Instant, record: &MemberRecord) {
    table.merge_record(now, record);
    table.merge_beat(now, &record.beat(Duration::ZERO));
}

fn table() -> (MemberTable, Instant) {
    let table = MemberTable::new(record("router-1", 5, 0), MemberOptions::default());
    (table, Instant::now())
}

#[test]
fn listed_host_without_heartbeats_is_forgotten_sooner() {
    let (mut table, now) = table();
    table.add_listed_host(now, &record("router-2", 1, 9));
    receive(&mut table, now, &record("router-3", 1, 9));
    let liveness =
        |host: &str, seconds: u64| table.liveness(now + Duration::from_secs(seconds), host);
    assert_eq!(liveness("router-2", 1), Some(MemberLiveness::Silent));
    assert_eq!(liveness("router-3", 1), Some(MemberLiveness::Live));
    assert_eq!(liveness("router-2", 10), Some(MemberLiveness::Dead));
    assert_eq!(liveness("router-2", 70), Some(MemberLiveness::Gone));
    assert_eq!(liveness("router-3", 300), Some(MemberLiveness::Dead));
    assert_eq!(liveness("router-3", 620), Some(MemberLiveness::Gone));
}

#[test]
fn newer_incarnation_replaces_an_older_one_and_never_the_reverse() {
    let (mut table, now) = table();
    receive(&mut table, now, &record("router-2", 4, 900));
    receive(&mut table, now, &record("router-2", 5, 1));
    assert!(table.is_live(now, "router-2", 5));
    assert!(!table.is_live(now, "router-2", 4));
    receive(&mut table, now, &record("router-2", 4, 901));
    assert!(table.is_live(now, "router-2", 5));
    assert!(!table.is_superseded());
    receive(&mut table, now, &record("router-1", 6, 1));
    assert!(table.is_superseded());
}

#[test]
fn host_that_left_is_not_revived_by_old_heartbeats() {
    let (mut table, now) = table();
    receive(&mut table, now, &record("router-2", 1, 9));
    let left = MemberRecord { state: HostState::Left, ..record("router-2", 1, 10) };
    receive(&mut table, now, &left);
    assert_eq!(table.liveness(now, "router-2"), Some(MemberLiveness::Gone));
    receive(&mut table, now, &record("router-2", 1, 9));
    assert_eq!(table.live(now).count(), 0);
}

#[test]
fn relayed_heartbeat_keeps_its_age() {
    let (mut table, now) = table();
    let record = record("router-2", 1, 9);
    table.merge_record(now, &record);
    assert!(!table.is_live(now, "router-2", 1));
    table.merge_beat(now, &record.beat(Duration::from_secs(3)));
    assert!(table.is_live(now, "router-2", 1));
    assert!(!table.is_live(now + Duration::from_secs(1), "router-2", 1));
}
