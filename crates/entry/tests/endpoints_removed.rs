//! Endpoints whose removal a host has read, and which other hosts keep for a while after an outage
//! of the registry: their tables must not add them again.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/registry.rs"]
mod registry;

use std::time::Duration;

use cluster::{Cluster, RunningHost, rules};
use jacinthrock_entry::{
    ChangeNumber, EndpointChange, EndpointEntry, EndpointTable, PeerUpdate, RegistryVersion,
};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// Revisions by which a host is ahead of the holder; more than the registry gives out meanwhile.
const AHEAD: u64 = 40;

fn entry(name: &str) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        service: "guide".into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "north".into(),
        slots: 4,
        is_draining: false,
        orders: 0,
        start_unix_ms: 5,
        card: None,
        layers: None,
        under_way: None,
    }
}

fn other_entry() -> EndpointEntry {
    EndpointEntry { address: ([10, 0, 0, 2], 80).into(), ..entry("b") }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn gone(name: &str) -> [EndpointChange; 1] {
    [EndpointChange::Gone(name.into())]
}

fn put(entry: EndpointEntry) -> [EndpointChange; 1] {
    [EndpointChange::Put(entry)]
}

/// A table with two endpoints, as read from the registry.
fn table(now: Instant) -> EndpointTable {
    let mut table = EndpointTable::default();
    table.replace(5, [entry("a"), other_entry()], now);
    table
}

/// Table of a host that lost its watch in an outage and then finds that "a" is no longer listed.
fn keeping_table(start: Instant, outage_end: Instant) -> EndpointTable {
    let mut holder = table(start);
    holder.record_registry_outage(outage_end);
    holder.replace(8, [other_entry()], outage_end);
    assert!(holder.get("a").is_some(), "it keeps the entry for the return grace");
    holder
}

/// Sends what one table has for another that has seen a change; returns the change seen.
fn send(
    from: &EndpointTable,
    to: &mut EndpointTable,
    seen: Option<ChangeNumber>,
    now: Instant,
) -> ChangeNumber {
    let (number, update) = from.update_since(seen);
    if let Some(update) = update {
        let update = PeerUpdate { update, unlisted: Some(from.unlisted()) };
        assert!(to.apply_update(from.version(), update, true, now), "the table is newer");
    }
    number
}

/// A host read the removal, was turned away by the registry, and took the holder's table, in which
/// the entry was kept for longer than the host remembered the removal. A stream was sent to the
/// endpoint 4.5 s after it had left.
#[test]
fn endpoint_is_not_added_from_a_table_that_keeps_it() {
    let start = Instant::now();
    let mut host = table(start);
    host.apply(6, gone("a"), start);
    let holder = keeping_table(start, start + ms(2_000));
    for after in [2_100, 2_900, 3_100, 3_900] {
        let mut host_now = table(start);
        host_now.apply(6, gone("a"), start);
        send(&holder, &mut host_now, None, start + ms(after));
        assert!(host_now.get("a").is_none() && host_now.get("b").is_some(), "after {after} ms");
        send(&holder, &mut host, None, start + ms(after));
        assert!(host.get("a").is_none(), "repeated after {after} ms");
    }
    assert_eq!(host.take_unrestored(), [(); 4].map(|()| "a".into()));
}

/// The host itself kept the entry first, as the registry had been unavailable to it. The holder's
/// table must not end the time after which the host removes it.
#[test]
fn deferred_removal_is_not_undone_by_a_table_that_keeps_the_entry() {
    let start = Instant::now();
    let mut host = table(start);
    host.record_registry_outage(start);
    host.apply(6, gone("a"), start + ms(800));
    assert!(host.get("a").is_some());
    let mut holder = table(start);
    holder.record_registry_outage(start + ms(900));
    holder.apply(6, gone("a"), start + ms(900));
    holder.apply(7, put(other_entry()), start + ms(900));
    let seen = send(&holder, &mut host, None, start + ms(1_000));
    assert!(host.get("a").is_some(), "still within the return grace");
    assert_eq!(host.expire(start + ms(2_000)), ["a".into()]);
    send(&holder, &mut host, None, start + ms(2_100));
    assert!(host.get("a").is_none());
    assert_eq!(holder.expire(start + ms(2_900)), ["a".into()]);
    send(&holder, &mut host, Some(seen), start + ms(3_000));
    assert!(host.get("a").is_none());
}

/// The relay's own outage makes it keep the entry after the holder has dropped it.
#[test]
fn endpoint_is_not_added_through_a_relay_that_keeps_it() {
    let start = Instant::now();
    let mut host = table(start);
    host.apply(6, gone("a"), start);
    let mut holder = keeping_table(start, start + ms(2_000));
    let mut relay = EndpointTable::default();
    let seen = send(&holder, &mut relay, None, start + ms(2_200));
    assert!(relay.get("a").is_some(), "a host without the endpoint takes it");
    send(&relay, &mut host, None, start + ms(3_200));
    assert!(host.get("a").is_none());
    relay.record_registry_outage(start + ms(3_900));
    assert_eq!(holder.expire(start + ms(4_000)), ["a".into()]);
    send(&holder, &mut relay, Some(seen), start + ms(4_100));
    assert!(relay.get("a").is_some(), "the relay keeps it after its own outage");
    send(&relay, &mut host, None, start + ms(4_300));
    assert!(host.get("a").is_none());
}

/// A relay that has read the removal itself passes nothing on of the entry that the holder keeps.
#[test]
fn relay_that_has_read_the_removal_does_not_pass_the_endpoint_on() {
    let start = Instant::now();
    let (mut relay, mut member) = (table(start), table(start));
    let seen = send(&relay, &mut member, None, start);
    relay.apply(6, gone("a"), start);
    let holder = keeping_table(start, start + ms(2_000));
    send(&holder, &mut relay, None, start + ms(3_500));
    send(&relay, &mut member, Some(seen), start + ms(3_600));
    assert!(relay.get("a").is_none() && member.get("a").is_none());
}

/// The same with changes: the kept entry is edited, as by an order, and sent by itself.
#[test]
fn endpoint_is_not_added_from_a_change_of_a_table_that_keeps_it() {
    let start = Instant::now();
    let mut holder = table(start);
    let mut host = table(start);
    let seen = send(&holder, &mut host, None, start);
    host.apply(6, gone("a"), start);
    holder.record_registry_outage(start + ms(2_000));
    holder.replace(8, [other_entry()], start + ms(2_000));
    holder.clear_order("a");
    send(&holder, &mut host, Some(seen), start + ms(3_500));
    assert!(host.get("a").is_none());
    assert_eq!(host.take_unrestored(), ["a".into()]);
}

/// Leases expire in an outage; a live endpoint writes its entry again, with the same start. Hosts
/// that read the removal and follow the holder must use it at once.
#[test]
fn endpoint_that_is_listed_again_is_added() {
    let start = Instant::now();
    for is_listing in [false, true] {
        let mut host = table(start);
        let mut member = table(start);
        host.apply(6, gone("a"), start);
        let mut holder = keeping_table(start, start + ms(100));
        let seen = send(&holder, &mut host, None, start + ms(200));
        let member_seen = send(&holder, &mut member, None, start + ms(200));
        assert!(host.get("a").is_none() && member.get("a").is_some());
        if is_listing {
            holder.replace(9, [entry("a"), other_entry()], start + ms(300));
        } else {
            holder.apply(9, put(entry("a")), start + ms(300));
        }
        assert!(holder.unlisted().is_empty());
        send(&holder, &mut host, Some(seen), start + ms(400));
        send(&holder, &mut member, Some(member_seen), start + ms(400));
        for table in [&mut host, &mut member] {
            assert!(table.get("a").is_some_and(|entry| !entry.is_draining), "{is_listing}");
            assert!(table.unlisted().is_empty());
            assert!(table.expire(start + ms(9_000)).is_empty());
        }
    }
}

/// A restart under the same name, or another endpoint at the address, is no former entry.
#[test]
fn later_start_is_added_although_the_former_one_was_removed() {
    let start = Instant::now();
    for name in ["a", "c"] {
        let mut host = table(start);
        host.apply(6, gone("a"), start);
        let mut holder = table(start);
        let later = EndpointEntry { start_unix_ms: 9, ..entry(name) };
        holder.apply(8, put(later), start + ms(100));
        // The later start's entry itself has expired in an outage and is kept.
        holder.record_registry_outage(start + ms(200));
        holder.replace(9, [other_entry()], start + ms(200));
        send(&holder, &mut host, None, start + ms(300));
        let added = host.get(name).expect("the later start");
        assert!(added.start_unix_ms == 9 && !added.is_draining);
    }
}

/// The copy from which the registry was restored lists an endpoint that has left: it stays without
/// work. One that writes its entry again is used.
#[test]
fn restored_registry_lists_a_removed_endpoint_as_draining() {
    let start = Instant::now();
    let mut host = table(start);
    host.apply(6, gone("a"), start);
    let restored = RegistryVersion { era: 1, revision: 3 };
    let mut holder = EndpointTable::default();
    holder.replace(restored, [entry("a"), other_entry()], start + ms(200));
    send(&holder, &mut host, None, start + ms(300));
    assert!(host.get("a").is_some_and(|entry| entry.is_draining));
    let written = RegistryVersion { era: 1, revision: 4 };
    host.apply(written, put(entry("a")), start + ms(400));
    assert!(host.get("a").is_some_and(|entry| !entry.is_draining));
    // Tables of the former era are older than the restored registry.
    let late = PeerUpdate::from(keeping_table(start, start).update_since(None).1.expect("a table"));
    assert!(!host.apply_update(8, late, true, start + ms(500)));
}

/// A snapshot of another host, which a host fetches while the registry turns it away.
#[test]
fn endpoint_is_not_added_from_a_snapshot_of_a_host_that_keeps_it() {
    let start = Instant::now();
    let mut host = table(start);
    host.apply(6, gone("a"), start);
    let holder = keeping_table(start, start + ms(2_000));
    let entries: Vec<_> = holder.entries().cloned().collect();
    host.replace_from_snapshot(8, entries, Some(holder.unlisted()), start + ms(3_900));
    assert!(host.get("a").is_none() && host.get("b").is_some());
}

/// A host of the previous release does not say which entries it keeps: they get no work for the
/// time that it may keep them, and are used once that is over.
#[test]
fn table_of_the_previous_release_is_doubted_for_a_while() {
    let start = Instant::now();
    let mut host = table(start);
    host.apply(6, gone("a"), start);
    let holder = keeping_table(start, start + ms(100));
    let whole = || holder.update_since(None).1.expect("a table");
    assert!(host.apply_update(8, whole(), true, start + ms(200)));
    assert!(host.get("a").is_some_and(|entry| entry.is_draining));
    assert!(host.apply_update(8, whole(), true, start + ms(11_000)));
    assert!(host.get("a").is_some_and(|entry| !entry.is_draining));
}

/// Over the wire: a host that is ahead of the holder rejects its table, asks for the whole one, and
/// gets it with an entry that the holder keeps.
#[tokio::test(start_paused = true)]
async fn host_does_not_take_an_endpoint_that_the_holder_keeps() {
    LocalSet::new().run_until(follow_keeping_holder()).await;
}

async fn follow_keeping_holder() {
    let cluster = Cluster::start_hosts(&["north", "south"], 3).await;
    let is_holder = |host: &&RunningHost| host.state.is_holder();
    let holder = cluster.running().find(is_holder).expect("a placement holder");
    let host = cluster.running().find(|host| !is_holder(host)).expect("another host");
    let [leaver, second, third] = [0, 1, 2].map(|index| cluster.endpoints[index].clone());
    holder.state.endpoints.borrow_mut().record_registry_outage(Instant::now());
    leaver.leave(&cluster.registry);
    let version = holder.state.endpoints.borrow().version();
    let ahead = RegistryVersion { revision: version.revision + AHEAD, ..version };
    host.state.endpoints.borrow_mut().apply(ahead, gone(&leaver.name), Instant::now());
    second.drain(&cluster.registry);
    sleep(ms(500)).await;
    assert!(host.state.endpoint(&second.name).is_some_and(|entry| !entry.is_draining));
    (0..AHEAD).for_each(|_| cluster.registry.write_rules(rules(2)));
    third.drain(&cluster.registry);
    let mut was_kept = false;
    for _ in 0..60 {
        sleep(ms(50)).await;
        was_kept |= holder.state.endpoint(&leaver.name).is_some()
            && host.state.endpoint(&third.name).is_some_and(|entry| entry.is_draining);
        assert!(host.state.endpoint(&leaver.name).is_none());
    }
    assert!(was_kept && holder.state.endpoint(&leaver.name).is_none());
}
