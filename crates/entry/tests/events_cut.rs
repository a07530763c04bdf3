//! Framing of event streams that arrive split at arbitrary bytes.

use bytes::Bytes;
use jacinthrock_entry::{BufferBudget, EventFramer};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(6), ..ProptestConfig::default() })]

    /// However the stream is split, complete events pass unchanged and the last id is read.
    #[test]
    fn complete_events_pass_unchanged(
        sizes in prop::collection::vec(0_usize..40, 1..30),
        cuts in prop::collection::vec(1_usize..50, 1..60),
    ) {
        let events = sizes.iter().enumerate().map(|(number, size)| {
            format!("x-version: 3\nid: {number}\ndata: {}\n\n", "z".repeat(*size))
        });
        let text: Vec<u8> = events.collect::<String>().into_bytes();
        let (mut framer, mut output, mut rest) = (EventFramer::default(), Vec::new(), &text[..]);
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, later) = rest.split_at((*cut).min(rest.len()));
            rest = later;
            if let Some(complete) = framer.push(Bytes::copy_from_slice(part)) {
                prop_assert!(complete.ends_with(b"\n\n"));
                output.extend_from_slice(&complete);
            }
        }
        prop_assert_eq!(output, text);
        prop_assert_eq!(framer.last_event_id(), Some(sizes.len() as u64 - 1));
        prop_assert!(!framer.has_partial());
    }
}

#[test]
fn partial_event_is_buffered_and_discarded() {
    let mut framer = EventFramer::default();
    assert_eq!(framer.push(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda")).unwrap().len(), 15);
    assert!(framer.has_partial());
    framer.drop_partial();
    assert_eq!(framer.push(Bytes::from_static(b"id: 2\ndata: b\n\n")).unwrap().len(), 15);
    assert_eq!(framer.last_event_id(), Some(2));
}

/// Only an `id:` at the start of a line sets the id.
#[test]
fn id_within_data_is_ignored() {
    let mut framer = EventFramer::default();
    framer.push(Bytes::from_static(b"id: 7\ndata: the id: 9 is data\n\n"));
    assert_eq!(framer.last_event_id(), Some(7));
}

#[test]
fn event_without_end_is_over_the_limit() {
    let mut framer = EventFramer::default();
    let part = Bytes::from(vec![b'x'; 4096]);
    for _ in 0..17 {
        assert!(!framer.is_over_limit());
        assert_eq!(framer.push(part.clone()), None);
    }
    assert!(framer.is_over_limit());
    framer.drop_partial();
    assert_eq!(framer.push(Bytes::from_static(b"id: 1\ndata: a\n\n")).unwrap().len(), 15);
    assert!(!framer.is_over_limit());
}

/// Hundreds of events without end stay within the budget, and leave room for an ordinary one.
#[test]
fn events_without_end_share_a_budget() {
    const BUDGET: usize = 1 << 20;
    let budget = BufferBudget::new(BUDGET);
    let mut framers: Vec<_> = (0..300).map(|_| EventFramer::new(&budget)).collect();
    let part = Bytes::from(vec![b'x'; 4096]);
    for _ in 0..12 {
        for framer in framers.iter_mut().filter(|framer| !framer.is_over_limit()) {
            framer.push(part.clone());
            assert!(budget.used() <= BUDGET);
        }
    }
    let mut framer = EventFramer::new(&budget);
    assert_eq!(framer.push(Bytes::from_static(b"id: 1\nda")), None);
    assert_eq!(framer.push(Bytes::from_static(b"ta: a\n\n")).unwrap().len(), 15);
    drop(framers);
    assert_eq!(budget.used(), 0);
}

/// An event whose bytes were not all buffered is neither forwarded nor taken for the stream's end.
#[test]
fn event_over_the_budget_never_completes() {
    let mut framer = EventFramer::new(&BufferBudget::new(100));
    let complete = framer.push(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"));
    assert_eq!(complete.unwrap().len(), 15);
    assert!(framer.is_over_limit() && framer.has_partial());
    assert_eq!(framer.push(Bytes::from_static(b"ta: b\n\n")), None);
    assert_eq!(framer.last_event_id(), Some(1));
}
