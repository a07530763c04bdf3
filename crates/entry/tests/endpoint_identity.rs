//! Which endpoint is meant by an address or a name that another start has had before.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/registry.rs"]
mod registry;
mod support;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cluster::Cluster;
use jacinthrock_entry::{
    EndpointChange, EndpointEntry, EndpointName, EndpointTable, EntryState, LayerSpan, PathQuery,
    PathStage, StreamGuard, StreamTable, stage_at,
};
use support::stage;
use tokio::task::LocalSet;
use tokio::time::{Instant, timeout};

fn address(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 80).into()
}

fn stage_on(host: u8, name: &str, from: u16, to: u16) -> PathStage {
    PathStage { address: address(host), ..stage(name, "north", from, to) }
}

/// "a-new" has started at the address of "z-old", through which an order sent a stream. Its name is
/// the first at that address, which says nothing.
#[test]
fn refused_order_blames_the_endpoint_that_it_named() {
    let path = [stage_on(1, "b", 0, 40), stage_on(2, "z-old", 40, 80)];
    assert_eq!(stage_at(&path, address(2)).map(|stage| &*stage.name), Some("z-old"));
    assert_eq!(stage_at(&path, address(3)), None);
}

/// Streams of another first stage run through the endpoint that is now at the address.
#[test]
fn stall_blames_the_endpoint_behind_the_first_stage_that_reports_it() {
    let table = Rc::new(RefCell::new(StreamTable::default()));
    let paths = [
        [stage_on(3, "a", 0, 40), stage_on(2, "a-new", 40, 80)],
        [stage_on(1, "b", 0, 40), stage_on(2, "z-old", 40, 80)],
    ];
    let guard =
        |path: [PathStage; 2]| StreamGuard::new(table.clone(), path.into(), 100, Instant::now());
    let guards = paths.map(guard);
    let behind = |first: &str| table.borrow().stage_behind(first, address(2));
    assert_eq!(behind("b"), Some("z-old".into()));
    assert_eq!(behind("a"), Some("a-new".into()));
    assert_eq!(table.borrow().stage_behind("b", address(3)), None);
    drop(guards);
    assert_eq!(table.borrow().stage_behind("b", address(2)), None);
}

fn entry(name: &str, start_unix_ms: u64) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        service: "guide".into(),
        address: address(1),
        domain: "north".into(),
        slots: 4,
        is_draining: false,
        orders: 0,
        start_unix_ms,
        card: None,
        layers: None,
        under_way: None,
    }
}

/// Endpoints that have ended since the last call, and those that are listed.
fn ended_and_listed(table: &mut EndpointTable) -> (Vec<EndpointName>, Vec<&str>) {
    (table.take_ended(), names(table))
}

fn names(table: &EndpointTable) -> Vec<&str> {
    table.entries().map(|entry| &*entry.name).collect()
}

#[test]
fn later_start_at_an_address_ends_the_entry_that_had_it() {
    let (mut table, mut follower) = (EndpointTable::default(), EndpointTable::default());
    let now = Instant::now();
    table.replace(5, [entry("z-old", 5)], now);
    let (seen, whole) = table.update_since(None);
    assert!(follower.apply_update(5, whole.expect("a whole table"), true, now));
    table.apply(6, [EndpointChange::Put(entry("a-new", 9))], now);
    assert_eq!(ended_and_listed(&mut table), (vec!["z-old".into()], vec!["a-new"]));
    let (_, changes) = table.update_since(Some(seen));
    assert!(follower.apply_update(6, changes.expect("a change"), true, now));
    assert_eq!(ended_and_listed(&mut follower), (vec!["z-old".into()], vec!["a-new"]));
    // The registry lists the former one until its entry expires.
    table.replace(7, [entry("a-new", 9), entry("z-old", 5)], now);
    table.apply(8, [EndpointChange::Put(entry("z-old", 5))], now);
    assert_eq!(ended_and_listed(&mut table), (vec![], vec!["a-new"]));
    let mut newcomer = EndpointTable::default();
    let (_, whole) = table.update_since(None);
    assert!(newcomer.apply_update(8, whole.expect("a whole table"), true, now));
    assert_eq!(names(&newcomer), ["a-new"]);
    table.apply(9, [EndpointChange::Gone("z-old".into())], now);
    assert_eq!(ended_and_listed(&mut table), (vec![], vec!["a-new"]));
}

/// A clock that was set back between two starts must not keep the later one out for good.
#[test]
fn endpoint_is_listed_once_the_other_at_its_address_is_gone() {
    let (mut table, now) = (EndpointTable::default(), Instant::now());
    table.replace(5, [entry("z-old", 9), entry("a-new", 5)], now);
    assert_eq!(names(&table), ["z-old"]);
    table.apply(6, [EndpointChange::Gone("z-old".into())], now);
    assert_eq!(names(&table), ["a-new"]);
    table.replace(7, [], now);
    assert!(names(&table).is_empty());
}

#[test]
fn endpoints_at_one_address_without_a_start_time_are_both_listed() {
    let mut table = EndpointTable::default();
    table.replace(5, [entry("a", 0), entry("b", 9)], Instant::now());
    assert_eq!(ended_and_listed(&mut table), (vec![], vec!["a", "b"]));
}

/// Another writer's entry of an unnamed service ended the streams of a sound endpoint at its address
/// and kept it out of use.
#[test]
fn entry_of_another_service_at_an_address_ends_nothing() {
    let odd = || EndpointEntry { service: "nobody".into(), ..entry("odd", 9) };
    let (mut table, mut follower) = (EndpointTable::default(), EndpointTable::default());
    let now = Instant::now();
    table.replace(5, [entry("sound", 5)], now);
    table.apply(6, [EndpointChange::Put(odd())], now);
    assert_eq!(ended_and_listed(&mut table), (vec![], vec!["odd", "sound"]));
    let (_, whole) = table.update_since(None);
    assert!(follower.apply_update(6, whole.expect("a whole table"), true, now));
    assert_eq!(ended_and_listed(&mut follower), (vec![], vec!["odd", "sound"]));
    table.apply(7, [EndpointChange::Put(entry("sound", 5))], now);
    assert_eq!(ended_and_listed(&mut table), (vec![], vec!["odd", "sound"]));
    assert!(table.take_due_claims(now).is_empty(), "nothing is to be asked");
}

/// An entry that claims the address of an endpoint which replies is not used, also when it is
/// written again, until the endpoint is no longer listed.
#[test]
fn refuted_entry_stays_out_of_use_while_the_endpoint_is_listed() {
    let (mut table, now) = (EndpointTable::default(), Instant::now());
    table.replace(5, [entry("sound", 5)], now);
    table.apply(6, [EndpointChange::Put(entry("odd", 9))], now);
    let claimed = table.take_due_claims(now);
    assert_eq!(claimed, [entry("sound", 5)]);
    assert!(table.take_due_claims(now).is_empty(), "it was just asked");
    assert_eq!(table.refute_claim(&entry("sound", 5)), Some("odd".into()));
    assert_eq!(names(&table), ["sound"]);
    table.take_ended();
    table.apply(7, [EndpointChange::Put(entry("odd", 9))], now);
    table.apply(8, [EndpointChange::Put(entry("sound", 5))], now);
    assert_eq!(ended_and_listed(&mut table), (vec![], vec!["sound"]));
    assert!(table.take_due_claims(now + Duration::from_secs(10)).is_empty());
    table.apply(9, [EndpointChange::Gone("sound".into())], now);
    assert_eq!(names(&table), ["odd"]);
}

/// An endpoint that did not reply is asked again, and one at whose address another replies is not.
#[test]
fn open_claim_is_looked_at_again() {
    let (mut table, now) = (EndpointTable::default(), Instant::now());
    table.replace(5, [entry("z-old", 5), entry("a-new", 9)], now);
    assert_eq!(table.take_due_claims(now), [entry("z-old", 5)]);
    let later = now + Duration::from_secs(2);
    assert_eq!(table.take_due_claims(later), [entry("z-old", 5)]);
    table.confirm_claim("z-old");
    table.apply(6, [EndpointChange::Put(entry("z-old", 5))], later);
    assert!(table.take_due_claims(later + Duration::from_secs(10)).is_empty());
    assert_eq!(names(&table), ["a-new"]);
}

#[test]
fn restart_under_the_same_name_ends_the_former_start() {
    let (mut table, now) = (EndpointTable::default(), Instant::now());
    let layers = Some(LayerSpan { from: 0, to: 4 });
    table.replace(5, [EndpointEntry { layers, ..entry("a", 5) }], now);
    table.apply(6, [EndpointChange::Put(EndpointEntry { layers, ..entry("a", 5) })], now);
    assert!(table.take_ended().is_empty(), "it has only written its entry again");
    table.apply(7, [EndpointChange::Put(entry("a", 9))], now);
    assert_eq!(ended_and_listed(&mut table), (vec!["a".into()], vec!["a"]));
    assert_eq!(table.get("a").and_then(|entry| entry.layers), None);
}

/// Puts a stream on the path that a host finds, and returns it.
fn stream_of(state: &EntryState) -> StreamGuard {
    let avoid = BTreeSet::new();
    let query = PathQuery {
        service: "guide",
        tokens: 10,
        starts: None,
        avoid: &avoid,
        ignores_rates: false,
    };
    let path = state.find_path(&query).expect("a path");
    StreamGuard::new(state.inflight.clone(), path, 10, Instant::now())
}

/// Lists a later start of the last endpoint on a stream's path, under its name or another one, and
/// checks that the stream leaves and that the new endpoint accepts work.
async fn check_restart(new_name: Option<&str>) {
    let cluster = Cluster::start_hosts(&["north"], 1).await;
    let state = cluster.hosts[0].state.clone();
    let guard = stream_of(&state);
    let path = guard.record().path();
    let last = &path[path.len() - 1];
    assert!(path.len() > 1, "{path:?}");
    state.health.borrow_mut().mark_down(&last.name);
    assert!(state.mark_excluded(&last.name));
    let old = cluster.endpoints.iter().find(|endpoint| endpoint.name == last.name);
    let name = new_name.unwrap_or(&last.name);
    old.expect("an endpoint").restart_as(&cluster.registry, name, 5);
    let rerouted = timeout(Duration::from_secs(1), guard.record().reroute_due()).await;
    assert!(rerouted.is_ok(), "the stream waits for an endpoint that has ended");
    let (entry, now) = (state.endpoint(name).expect("an entry"), Instant::now());
    assert_eq!(entry.start_unix_ms, 5);
    assert!(state.accepts_work(&entry, now), "{name} has the former start's faults");
    assert!(state.has_ended(last) && state.has_ended_since(last.start(), now));
    let avoid = BTreeSet::new();
    let query = PathQuery {
        service: "guide",
        tokens: 10,
        starts: None,
        avoid: &avoid,
        ignores_rates: false,
    };
    let new_path = state.find_detour(&path, &query);
    assert!(new_path.is_none_or(|new_path| !new_path.contains(last)));
}

/// A later start is the proof that the endpoint has ended: its streams need not fall silent first,
/// and what was found of it does not hold for the new one.
#[tokio::test(start_paused = true)]
async fn streams_leave_an_endpoint_whose_address_has_a_later_start() {
    LocalSet::new().run_until(check_restart(Some("another"))).await;
}

#[tokio::test(start_paused = true)]
async fn streams_leave_an_endpoint_whose_name_has_a_later_start() {
    LocalSet::new().run_until(check_restart(None)).await;
}

/// Lists an entry that claims the address of the last endpoint on a stream's path, and checks that
/// the stream stays and that the endpoint accepts work.
async fn check_false_claim(service: &str) {
    let cluster = Cluster::start_hosts(&["north"], 1).await;
    let state = cluster.hosts[0].state.clone();
    let guard = stream_of(&state);
    let path = guard.record().path();
    let last = &path[path.len() - 1];
    let endpoint = cluster.endpoints.iter().find(|endpoint| endpoint.name == last.name);
    endpoint.expect("an endpoint").claim_address(&cluster.registry, "odd", service);
    let events = async {
        loop {
            guard.record_event(Instant::now());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::select! {
        () = events => {}
        () = guard.record().reroute_due() => panic!("the stream leaves an endpoint that replies"),
        () = tokio::time::sleep(Duration::from_secs(3)) => {}
    }
    let entry = state.endpoint(&last.name).expect("the endpoint is in use");
    assert!(state.accepts_work(&entry, Instant::now()), "it gets no work");
    assert!(!state.has_ended(last) && !state.is_replaced(&entry));
}

/// A stream through a sound endpoint was moved or broken off when an entry claimed its address.
#[tokio::test(start_paused = true)]
async fn streams_stay_at_an_endpoint_that_replies_although_its_address_is_claimed() {
    LocalSet::new().run_until(check_false_claim("guide")).await;
}

#[tokio::test(start_paused = true)]
async fn streams_stay_at_an_endpoint_whose_address_an_unnamed_service_claims() {
    LocalSet::new().run_until(check_false_claim("nobody")).await;
}
