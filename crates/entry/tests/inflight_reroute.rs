//! Loads and silence of streams that move to another path.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use jacinthrock_entry::{PathStage, StreamGuard, StreamTable};
use support::stage;
use tokio::time::{Instant, timeout};

fn path(stages: &[(&str, u16, u16)]) -> Rc<[PathStage]> {
    stages.iter().map(|(name, from, to)| stage(name, "north", *from, *to)).collect()
}

/// After the loss of an endpoint, the load of a rerouted stream must count at the replacement at
/// once, so that the next path choices see it, and its silence must restart with the new path.
#[tokio::test(start_paused = true)]
async fn load_of_a_rerouted_stream_moves_with_it() {
    let table = Rc::new(RefCell::new(StreamTable::default()));
    let old = path(&[("a", 0, 40), ("b", 40, 80)]);
    let guards: Vec<_> =
        (0..3).map(|_| StreamGuard::new(table.clone(), old.clone(), 100, Instant::now())).collect();
    tokio::time::advance(Duration::from_millis(300)).await;
    guards[0].switch_path(path(&[("a", 0, 40), ("c", 40, 60), ("d", 60, 80)]), Instant::now());
    let load = |name: &str| table.borrow().load(name);
    assert_eq!((load("a").streams, load("a").starts), (3, 3));
    assert_eq!((load("b").streams, load("c").streams, load("d").streams), (2, 1, 1));
    assert_eq!((load("b").token_layers, load("c").token_layers), (8_000, 2_000));
    let views = table.borrow().views();
    let silent = |at: usize| Instant::now() - views[at].last_activity;
    assert!(silent(0).is_zero() && !silent(1).is_zero());
    assert_eq!(
        table.borrow().request_reroute_through("b"),
        2,
        "the rerouted stream no longer runs through b"
    );
    drop(guards);
    assert_eq!((table.borrow().count(), table.borrow().loads().len()), (0, 0));
}

/// The watchdog sees a silence that the next event, or another path, ends a moment later.
#[tokio::test(start_paused = true)]
async fn request_to_reroute_ends_with_the_silence_that_led_to_it() {
    let table = Rc::new(RefCell::new(StreamTable::default()));
    let guard = StreamGuard::new(table.clone(), path(&[("a", 0, 80)]), 100, Instant::now());
    let is_due = async || timeout(Duration::from_millis(1), guard.record().reroute_due()).await;
    assert_eq!(table.borrow().request_reroute_through("a"), 1);
    guard.record_event(Instant::now());
    assert!(is_due().await.is_err(), "an event has arrived since");
    assert_eq!(table.borrow().request_reroute_through("a"), 1);
    guard.switch_path(path(&[("b", 0, 80)]), Instant::now());
    assert!(is_due().await.is_err(), "the stream has another path since");
    table.borrow().request_reroute_through("b");
    table.borrow().reset_silence(Instant::now());
    assert!(is_due().await.is_err(), "the host itself had been stalled");
    table.borrow().request_reroute_through("b");
    assert!(is_due().await.is_ok());
    assert!(is_due().await.is_err(), "each request is answered once");
}
