//! Liveness of members by the observer's own clock.

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

fn table() -> (MemberTable, Instant) {
    let table = MemberTable::new(record("router-1", 5, 0), MemberOptions::default());
    (table, Instant::now())
}

#[test]
fn a_host_that_the_platform_lists_but_nobody_hears_is_soon_forgotten() {
    let (mut table, now) = table();
    table.learn(now, &record("router-2", 1, 9));
    table.merge_record(now, &record("router-3", 1, 9));
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
fn a_later_run_replaces_an_earlier_one_at_once_and_never_the_reverse() {
    let (mut table, now) = table();
    table.merge_record(now, &record("router-2", 4, 900));
    table.merge_record(now, &record("router-2", 5, 1));
    assert!(table.is_live(now, "router-2", 5));
    assert!(!table.is_live(now, "router-2", 4));
    table.merge_record(now, &record("router-2", 4, 901));
    assert!(table.is_live(now, "router-2", 5));
    assert!(!table.is_superseded());
    table.merge_record(now, &record("router-1", 6, 1));
    assert!(table.is_superseded());
}

#[test]
fn a_host_that_left_is_not_live_and_its_old_heartbeats_do_not_bring_it_back() {
    let (mut table, now) = table();
    table.merge_record(now, &record("router-2", 1, 9));
    let left = MemberRecord { state: HostState::Left, ..record("router-2", 1, 10) };
    table.merge_record(now, &left);
    assert_eq!(table.liveness(now, "router-2"), Some(MemberLiveness::Gone));
    table.merge_record(now, &record("router-2", 1, 9));
    assert_eq!(table.live(now).count(), 0);
}
