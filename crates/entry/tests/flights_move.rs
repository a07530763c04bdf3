//! What a host knows of its streams while they move from path to path.

mod support;

use std::cell::RefCell;
use std::rc::Rc;

use jacinthrock_entry::{FlightTable, PathStage, StreamFlight};
use support::stage;
use tokio::time::Instant;

fn path(stages: &[(&str, u16, u16)]) -> Rc<[PathStage]> {
    stages.iter().map(|(name, from, to)| stage(name, "north", *from, *to)).collect()
}

/// An endpoint dies under several streams: their loads go to the stand-in at once, so that the next
/// choices see them, and the silence of the old path is not held against the new one.
#[tokio::test(start_paused = true)]
async fn load_of_a_moved_stream_goes_with_it() {
    let table = Rc::new(RefCell::new(FlightTable::default()));
    let old = path(&[("a", 0, 40), ("b", 40, 80)]);
    let flights: Vec<_> = (0..3)
        .map(|_| StreamFlight::new(table.clone(), old.clone(), 100, Instant::now()))
        .collect();
    tokio::time::advance(std::time::Duration::from_millis(300)).await;
    flights[0].reroute(path(&[("a", 0, 40), ("c", 40, 60), ("d", 60, 80)]), Instant::now());
    let load = |name: &str| table.borrow().load(name);
    assert_eq!((load("a").streams, load("a").starts), (3, 3));
    assert_eq!((load("b").streams, load("c").streams, load("d").streams), (2, 1, 1));
    assert_eq!((load("b").token_layers, load("c").token_layers), (8_000, 2_000));
    let views = table.borrow().views();
    let silent = |at: usize| Instant::now() - views[at].heard;
    assert!(silent(0).is_zero() && !silent(1).is_zero());
    assert_eq!(
        table.borrow().request_reroute_through("b"),
        2,
        "the moved stream no longer passes b"
    );
    drop(flights);
    assert_eq!((table.borrow().count(), table.borrow().loads().len()), (0, 0));
}
