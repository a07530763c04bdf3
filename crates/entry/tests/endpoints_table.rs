//! Entries that come, leave, vanish while the store is away, and what other hosts are told.

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
        born: 1,
        card: None,
        layers: None,
        under_way: None,
    }
}

#[tokio::test(start_paused = true)]
async fn vanished_entry_is_gone_at_once_while_the_store_is_sound() {
    let mut table = EndpointTable::default();
    let now = Instant::now();
    table.replace(5, [entry("a"), entry("b")], now);
    table.apply(6, [EndpointChange::Gone("a".into())], now);
    assert!(table.get("a").is_none() && table.get("b").is_some());
}

/// The store was away and leases ran out meanwhile: an entry that is missing after its return is
/// kept for two seconds, then it is gone.
#[tokio::test(start_paused = true)]
async fn entry_that_lapsed_in_an_outage_is_kept_for_two_seconds() {
    let mut table = EndpointTable::default();
    let start = Instant::now();
    table.replace(5, [entry("a"), entry("b")], start);
    table.store_was_away(start);
    table.replace(9, [entry("b")], start);
    assert!(table.get("a").is_some());
    assert!(table.expire(start + Duration::from_millis(1_900)).is_empty());
    let gone = table.expire(start + Duration::from_millis(2_000));
    assert_eq!(gone, ["a".into()]);
    assert!(table.get("a").is_none());
}

#[tokio::test(start_paused = true)]
async fn entry_that_comes_back_in_time_stays() {
    let mut table = EndpointTable::default();
    let start = Instant::now();
    table.replace(5, [entry("a")], start);
    table.store_was_away(start);
    table.replace(9, [], start);
    table.apply(10, [EndpointChange::Put(entry("a"))], start + Duration::from_secs(1));
    assert!(table.expire(start + Duration::from_secs(5)).is_empty());
    assert!(table.get("a").is_some());
}

#[tokio::test(start_paused = true)]
async fn endpoint_that_announced_its_leaving_is_not_kept() {
    let mut table = EndpointTable::default();
    let now = Instant::now();
    table.replace(5, [EndpointEntry { is_draining: true, ..entry("a") }], now);
    table.store_was_away(now);
    table.replace(9, [], now);
    assert!(table.get("a").is_none());
}

#[tokio::test(start_paused = true)]
async fn followers_get_changes_since_the_number_they_name() {
    let mut table = EndpointTable::default();
    let now = Instant::now();
    table.replace(5, [entry("a")], now);
    let (seen, news) = table.news(None);
    assert_eq!(news, Some(EndpointUpdate::Whole(vec![entry("a")])));
    assert_eq!(table.news(Some(seen)), (seen, None));
    table.apply(6, [EndpointChange::Put(entry("b")), EndpointChange::Gone("a".into())], now);
    let expected = EndpointUpdate::Changes(vec![
        EndpointChange::Put(entry("b")),
        EndpointChange::Gone("a".into()),
    ]);
    assert_eq!(table.news(Some(seen)), (seen + 2, Some(expected)));
    // A number of another table's life is answered with the whole table.
    assert!(matches!(table.news(Some(99)).1, Some(EndpointUpdate::Whole(_))));
}

#[tokio::test(start_paused = true)]
async fn listing_again_tells_followers_only_of_what_changed() {
    let mut table = EndpointTable::default();
    let now = Instant::now();
    table.replace(5, [entry("a"), entry("b")], now);
    let (seen, _) = table.news(None);
    table.replace(9, [entry("a"), EndpointEntry { is_draining: true, ..entry("b") }], now);
    let Some(EndpointUpdate::Changes(changes)) = table.news(Some(seen)).1 else {
        panic!("changes expected");
    };
    assert_eq!(changes.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn own_word_of_an_endpoint_goes_ahead_of_its_entry() {
    let mut table = EndpointTable::default();
    table.replace(5, [entry("a")], Instant::now());
    let span = LayerSpan { from: 3, to: 9 };
    table.take_layers("a", span);
    assert_eq!(table.get("a").and_then(|entry| entry.layers), Some(span));
}

/// All processes start again while the store refuses the holder: its empty table is not taken.
#[tokio::test(start_paused = true)]
async fn table_that_the_registry_has_not_confirmed_is_not_taken() {
    let mut table = EndpointTable::default();
    let now = Instant::now();
    table.replace(279, [entry("a")], now);
    assert!(!table.take_news(0, EndpointUpdate::Whole(vec![]), false, now));
    assert!(!table.take_news(278, EndpointUpdate::Whole(vec![]), true, now));
    assert!(table.get("a").is_some());
    assert!(table.take_news(280, EndpointUpdate::Whole(vec![entry("b")]), true, now));
    assert!(table.get("a").is_none() && table.get("b").is_some());
}

/// After a loss, neighbours load the missing layers while the streams of the lost endpoint come to
/// them: what they load takes memory from the start.
#[test]
fn layers_under_way_take_memory() {
    let mut table = EndpointTable::default();
    let held = Some(LayerSpan { from: 4, to: 8 });
    let now = Instant::now();
    table.replace(1, [EndpointEntry { layers: held, ..entry("a") }], now);
    table.loading("a", LayerSpan { from: 4, to: 11 });
    let loading = table.get("a").expect("an entry");
    assert_eq!((loading.layers, loading.weight_layers()), (held, 7));
    table.take_layers("a", LayerSpan { from: 4, to: 11 });
    let done = table.get("a").expect("an entry");
    assert_eq!((done.under_way, done.weight_layers()), (None, 7));
    let empty = EndpointEntry { layers: None, ..entry("b") };
    assert_eq!(empty.weight_layers(), 0);
}

/// A neighbour gives layers up: it takes no stream there any more, and their weights stay until the
/// streams that pass through them have ended, seconds later. The registry shows the new layers soon.
#[test]
fn layers_given_up_take_memory_until_the_order_is_over() {
    let (held, kept) = (LayerSpan { from: 42, to: 52 }, LayerSpan { from: 44, to: 52 });
    let now = Instant::now();
    let (mut table, mut follower) = (EndpointTable::default(), EndpointTable::default());
    table.replace(1, [EndpointEntry { layers: Some(held), ..entry("a") }], now);
    table.giving_up("a", kept);
    let beat = EndpointEntry { layers: Some(kept), ..entry("a") };
    table.apply(2, [EndpointChange::Put(beat)], now);
    let (seen, news) = table.news(None);
    assert!(follower.take_news(2, news.expect("a whole table"), true, now));
    for known in [&table, &follower] {
        let giving = known.get("a").expect("an entry");
        assert_eq!((giving.layers, giving.weight_layers()), (Some(kept), 10));
    }
    table.order_over("a");
    let (_, news) = table.news(Some(seen));
    assert!(follower.take_news(2, news.expect("a change"), true, now));
    assert_eq!(follower.get("a").map(EndpointEntry::weight_layers), Some(8));
}
