//! Stall detection: lost stages, overload, and single streams that hang.

mod support;

use jacinthrock_entry::{PathStage, StreamView, detect_stalls};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use support::stage;
use tokio::time::Instant;

const FIRST_EVENT_DELAY: Duration = Duration::from_millis(60);

fn path(names: &[&str]) -> Rc<[PathStage]> {
    let layers = names.iter().zip(0_u16..);
    layers.map(|(name, layer)| stage(name, "north", layer, layer + 1)).collect()
}

fn stream(number: u64, names: &[&str], last_activity: Instant, interval_ms: u64) -> StreamView {
    let event_interval = Some(Duration::from_millis(interval_ms));
    StreamView { number, path: path(names), last_activity, event_interval }
}

fn names(list: &[&str]) -> BTreeSet<Box<str>> {
    list.iter().map(|name| (*name).into()).collect()
}

/// A middle stage is lost under three streams, while a fourth that avoids it continues.
#[tokio::test(start_paused = true)]
async fn lost_stage_is_suspected_before_callers_notice() {
    let start = Instant::now();
    let now = start + Duration::from_millis(100);
    let streams = [
        stream(1, &["a", "b", "c"], start, 25),
        stream(2, &["a", "b", "c"], start, 30),
        stream(3, &["a", "b", "d"], start, 25),
        stream(4, &["a", "e", "c", "d"], now, 25),
    ];
    let findings = detect_stalls(now, FIRST_EVENT_DELAY, &streams);
    assert_eq!(findings.suspects, names(&["b"]));
    assert!(findings.overdue.is_empty());
}

#[tokio::test(start_paused = true)]
async fn streams_at_their_usual_interval_raise_no_suspicion() {
    let start = Instant::now();
    let streams = [stream(1, &["a", "b"], start, 25), stream(2, &["a", "c"], start, 60)];
    let findings = detect_stalls(start + Duration::from_millis(65), FIRST_EVENT_DELAY, &streams);
    assert_eq!(findings.suspects, names(&[]));
}

/// Under overload every stream is slow. Stages become suspects, which a probe clears, but no stream
/// is moved, since that would repeat its prefill.
#[tokio::test(start_paused = true)]
async fn slow_streams_are_not_rerouted() {
    let start = Instant::now();
    let streams: Vec<_> = (0..40).map(|n| stream(n, &["a", "b"], start, 90)).collect();
    let findings = detect_stalls(start + Duration::from_millis(600), FIRST_EVENT_DELAY, &streams);
    assert!(findings.overdue.is_empty());
}

/// A single request hangs while its stages serve others. It must be moved before its caller gives
/// up.
#[tokio::test(start_paused = true)]
async fn single_hanging_stream_is_overdue_before_callers_give_up() {
    let start = Instant::now();
    let now = start + Duration::from_millis(1_300);
    let streams = [stream(1, &["a", "b"], start, 25), stream(2, &["a", "b"], now, 25)];
    let findings = detect_stalls(now, FIRST_EVENT_DELAY, &streams);
    assert_eq!(findings.suspects, names(&[]));
    assert_eq!(findings.overdue, [1]);
}

#[tokio::test(start_paused = true)]
async fn new_stream_has_time_for_its_prefill() {
    let start = Instant::now();
    let waiting =
        StreamView { number: 1, path: path(&["a"]), last_activity: start, event_interval: None };
    let early = detect_stalls(
        start + Duration::from_millis(150),
        FIRST_EVENT_DELAY,
        std::slice::from_ref(&waiting),
    );
    assert_eq!(early.suspects, names(&[]));
    let late = detect_stalls(start + Duration::from_millis(250), FIRST_EVENT_DELAY, &[waiting]);
    assert_eq!(late.suspects, names(&["a"]));
}
