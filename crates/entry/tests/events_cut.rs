//! Framing of event streams that arrive split at arbitrary bytes.

use bytes::Bytes;
use jacinthrock_entry::EventFramer;
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
