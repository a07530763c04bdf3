//! Endpoint entries that are added, removed or lost in an outage, and updates for other hosts.

use jacinthrock_entry::{EndpointChange, EndpointEntry, EndpointTable, EndpointUpdate, LayerSpan};
use std::time::Duration;
use tokio::time::Instant;

fn entry(name: &str) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        service: "guide".into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "north".into(),
        slots: 4,
        is_draining: false,
        orders: 0,
        start_unix_ms: 1,
        card: None,
        layers: None,
        under_way: None,
    }
}

#[tokio::test(start_paused = true)]
async fn removed_entry_is_dropped_at_once_without_an_outage() {
    let mut table = EndpointTable::default();
    let now = Instant::now();
    table.replace(5, [entry("a"), entry("b")], now);
    table.apply(6, [EndpointChange::Gone("a".into())], now);
    assert!(table.get("a").is_none() && table.get("b").is_some());
}

/// Leases expire during a registry outage, so that live endpoints may be missing when it ends.
/// Their entries must be kept for two seconds, in which live endpoints are listed again.
#[tokio::test(start_paused = true)]
async fn entry_that_expired_in_an_outage_is_kept_for_two_seconds() {
    let mut table = EndpointTable::default();
    let start = Instant::now();
    table.replace(5, [entry("a"), entry("b")], start);
    table.record_registry_outage(start);
    table.replace(9, [entry("b")], start);
    assert!(table.get("a").is_some());
    assert!(table.expire(start + Duration::from_millis(1_900)).is_empty());
    let gone = table.expire(start + Duration::from_millis(2_000));
    assert_eq!(gone, ["a".into()]);
    assert!(table.get("a").is_none());
}

#[tokio::test(start_paused = true)]
async fn entry_that_is_listed_again_in_time_stays() {
    let mut table = EndpointTable::default();
    let start = Instant::now();
    table.replace(5, [entry("a")], start);
    table.record_registry_outage(start);
    table.replace(9, [], start);
    table.apply(10, [EndpointChange::Put(entry("a"))], start + Duration::from_secs(1));
    assert!(table.expire(start + Duration::from_secs(5)).is_empty());
    assert!(table.get("a").is_some());
}

#[tokio::test(start_paused = true)]
async fn draining_endpoint_is_not_kept() {
    let mut table = EndpointTable::default();
    let now = Instant::now();
    table.replace(5, [EndpointEntry { is_draining: true, ..entry("a") }], now);
    table.record_registry_outage(now);
    table.replace(9, [], now);
    assert!(table.get("a").is_none());
}

#[tokio::test(start_paused = true)]
async fn followers_get_changes_since_the_number_they_have_seen() {
    let mut table = EndpointTable::default();
    let now = Instant::now();
    table.replace(5, [entry("a")], now);
    let (seen, update) = table.update_since(None);
    assert_eq!(update, Some(EndpointUpdate::Whole(vec![entry("a")])));
    assert_eq!(table.update_since(Some(seen)), (seen, None));
    table.apply(6, [EndpointChange::Put(entry("b")), EndpointChange::Gone("a".into())], now);
    let expected = EndpointUpdate::Changes(vec![
        EndpointChange::Put(entry("b")),
        EndpointChange::Gone("a".into()),
    ]);
    assert_eq!(table.update_since(Some(seen)), (seen + 2, Some(expected)));
    // A number that this table has not reached, as after a restart, gets the whole table.
    assert!(matches!(table.update_since(Some(99)).1, Some(EndpointUpdate::Whole(_))));
}

#[tokio::test(start_paused = true)]
async fn new_listing_sends_followers_only_what_changed() {
    let mut table = EndpointTable::default();
    let now = Instant::now();
    table.replace(5, [entry("a"), entry("b")], now);
    let (seen, _) = table.update_since(None);
    table.replace(9, [entry("a"), EndpointEntry { is_draining: true, ..entry("b") }], now);
    let Some(EndpointUpdate::Changes(changes)) = table.update_since(Some(seen)).1 else {
        panic!("changes expected");
    };
    assert_eq!(changes.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn layers_reported_by_an_endpoint_override_its_entry() {
    let mut table = EndpointTable::default();
    table.replace(5, [entry("a")], Instant::now());
    let span = LayerSpan { from: 3, to: 9 };
    table.confirm_layers("a", span);
    assert_eq!(table.get("a").and_then(|entry| entry.layers), Some(span));
}

/// All processes restart while the registry refuses the holder's requests. Other hosts must not
/// replace their table with the holder's empty one.
#[tokio::test(start_paused = true)]
async fn table_that_the_registry_has_not_confirmed_is_not_applied() {
    let mut table = EndpointTable::default();
    let now = Instant::now();
    table.replace(279, [entry("a")], now);
    assert!(!table.apply_update(0, EndpointUpdate::Whole(vec![]), false, now));
    assert!(!table.apply_update(278, EndpointUpdate::Whole(vec![]), true, now));
    assert!(table.get("a").is_some());
    assert!(table.apply_update(280, EndpointUpdate::Whole(vec![entry("b")]), true, now));
    assert!(table.get("a").is_none() && table.get("b").is_some());
}

/// After a loss, neighbouring endpoints load the missing layers while they take over streams of the
/// lost endpoint. The layers that are loading must count as memory in use from the start.
#[test]
fn loading_layers_take_memory() {
    let mut table = EndpointTable::default();
    let held = Some(LayerSpan { from: 4, to: 8 });
    let now = Instant::now();
    table.replace(1, [EndpointEntry { layers: held, ..entry("a") }], now);
    table.mark_loading("a", LayerSpan { from: 4, to: 11 });
    let loading = table.get("a").expect("an entry");
    assert_eq!((loading.layers, loading.weight_layers()), (held, 7));
    table.confirm_layers("a", LayerSpan { from: 4, to: 11 });
    let done = table.get("a").expect("an entry");
    assert_eq!((done.under_way, done.weight_layers()), (None, 7));
    let empty = EndpointEntry { layers: None, ..entry("b") };
    assert_eq!(empty.weight_layers(), 0);
}

/// An endpoint that releases layers takes no new streams on them, but their weights stay in memory
/// until the streams that pass through them have ended, seconds later. The registry already shows
/// the new layers by then, and must not make hosts count the memory as free.
#[test]
fn released_layers_take_memory_until_the_order_is_complete() {
    let (held, kept) = (LayerSpan { from: 42, to: 52 }, LayerSpan { from: 44, to: 52 });
    let now = Instant::now();
    let (mut table, mut follower) = (EndpointTable::default(), EndpointTable::default());
    table.replace(1, [EndpointEntry { layers: Some(held), ..entry("a") }], now);
    table.mark_releasing("a", kept);
    let heartbeat = EndpointEntry { layers: Some(kept), ..entry("a") };
    table.apply(2, [EndpointChange::Put(heartbeat)], now);
    let (seen, update) = table.update_since(None);
    assert!(follower.apply_update(2, update.expect("a whole table"), true, now));
    for known in [&table, &follower] {
        let releasing = known.get("a").expect("an entry");
        assert_eq!((releasing.layers, releasing.weight_layers()), (Some(kept), 10));
    }
    table.clear_order("a");
    let (_, update) = table.update_since(Some(seen));
    assert!(follower.apply_update(2, update.expect("a change"), true, now));
    assert_eq!(follower.get("a").map(EndpointEntry::weight_layers), Some(8));
}

/// A host that had an outage of the registry keeps entries that vanish; another that has seen the
/// removal must not take them from it.
#[tokio::test(start_paused = true)]
async fn endpoint_seen_to_leave_is_not_taken_from_another_host() {
    let (mut table, now) = (EndpointTable::default(), Instant::now());
    table.replace(5, [entry("a"), entry("b")], now);
    table.apply(6, [EndpointChange::Gone("a".into())], now);
    table.replace_from_peer(7, [entry("a"), entry("b")], now);
    assert!(table.get("a").is_some_and(|entry| entry.is_draining));
    let update = EndpointUpdate::Changes(vec![EndpointChange::Put(entry("a"))]);
    assert!(table.apply_update(8, update, true, now));
    assert!(table.get("a").is_some_and(|entry| entry.is_draining));
    table.apply(9, [EndpointChange::Put(entry("a"))], now);
    assert!(table.get("a").is_some_and(|entry| !entry.is_draining), "it has registered again");
}
