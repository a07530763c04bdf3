//! How long streams and calls are expected to take at a host that stops.

use std::time::Duration;

use jacinthrock_entry::{CallTimes, EndedStream, StreamLength, StreamTimes};
use tokio::time::Instant;

const GRACE: Duration = Duration::from_secs(8);
/// Time per event; an event has two tokens.
const EVENT_TIME: Duration = Duration::from_millis(45);

const UNNAMED: StreamLength = StreamLength { max_tokens: None, event_tokens: 2, resume_after: 0 };

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Length of a stream whose request names a maximum.
fn named(max_tokens: u32) -> StreamLength {
    StreamLength { max_tokens: Some(max_tokens), ..UNNAMED }
}

/// A stream with a number of events.
fn ended(length: StreamLength, events: u32) -> EndedStream {
    let first_event = EVENT_TIME;
    let time = EVENT_TIME * events;
    EndedStream { length, time, first_event, last_event: u64::from(events) }
}

/// Times after many streams of the same kind, and the time at which they are known.
fn after_streams(length: StreamLength, events: u32) -> (StreamTimes, Instant) {
    let now = Instant::now();
    let mut times = StreamTimes::default();
    for _ in 0..100 {
        times.record("guide", ended(length, events), now);
    }
    (times, now + seconds(30.0))
}

/// The streams that end in the first seconds of a process are the short ones.
#[test]
fn times_of_a_process_that_has_just_started_are_not_relied_on() {
    let now = Instant::now();
    let mut times = StreamTimes::default();
    for number in 0..100 {
        times.record("guide", ended(UNNAMED, 10), now + seconds(0.02) * number);
    }
    assert!(times.longest("guide", UNNAMED, now + seconds(3.0)) > GRACE);
    let later = now + seconds(30.0);
    let longest = EndedStream { time: seconds(4.0), ..ended(UNNAMED, 10) };
    times.record("guide", longest, later);
    assert_eq!(times.longest("guide", UNNAMED, later), seconds(5.0));
    assert!(times.longest("other", UNNAMED, later) > GRACE);
}

/// A single stream tells nothing of others.
#[test]
fn few_streams_are_not_relied_on() {
    let now = Instant::now();
    let mut times = StreamTimes::default();
    times.record("guide", ended(named(2), 1), now);
    assert!(times.longest("guide", named(2), now + seconds(30.0)) > GRACE);
}

/// A stopping host took a stream whose request named more tokens than any that it had seen, and cut
/// it at its end.
#[test]
fn stream_that_names_more_tokens_is_expected_to_take_longer() {
    let (times, now) = after_streams(named(40), 20);
    let usual = times.longest("guide", named(40), now);
    assert!(usual >= seconds(0.9) && usual < seconds(1.3), "{usual:?}");
    assert!(times.longest("guide", named(220), now) > seconds(4.9));
    let too_new = now - seconds(30.0);
    assert_eq!(times.longest("guide", named(220), too_new), seconds(20.0));
}

/// A stopping host took a long stream since those that it had seen were short, and cut it at its end.
#[test]
fn stream_is_expected_to_be_as_long_as_its_request_allows() {
    let (times, now) = after_streams(named(220), 20);
    assert!(times.longest("guide", named(220), now) > seconds(4.9));
    assert!(times.longest("guide", named(220), now) < seconds(6.5));
}

/// A short stream would be refused for the longest that was seen.
#[test]
fn longest_stream_does_not_count_for_a_request_that_allows_less() {
    let (times, now) = after_streams(named(220), 110);
    assert!(times.longest("guide", named(40), now) < seconds(1.3));
}

/// The engine puts single tokens into its events, though the rules say two.
#[test]
fn events_may_have_fewer_tokens_than_the_rules_say() {
    let (times, now) = after_streams(named(40), 40);
    assert!(times.longest("guide", named(110), now) > seconds(4.9));
}

/// The engines have just turned slower; a host took streams by how fast they had been.
#[test]
fn streams_are_expected_to_be_as_slow_as_the_last_ones() {
    let (mut times, now) = after_streams(named(40), 20);
    assert!(times.longest("guide", named(60), now) < seconds(1.8));
    for _ in 0..4 {
        let fast = ended(named(40), 20);
        times.record("guide", EndedStream { time: fast.time * 2, ..fast }, now);
    }
    assert!(times.longest("guide", named(60), now) > seconds(2.7));
}

#[test]
fn resumed_stream_is_expected_to_take_the_time_of_what_is_left() {
    let (times, now) = after_streams(named(220), 110);
    let resumed =
        |resume_after| times.longest("guide", StreamLength { resume_after, ..named(220) }, now);
    assert!(resumed(100) < seconds(1.0));
    assert!(resumed(10) > seconds(4.5));
    assert!(resumed(1_000) < seconds(0.2), "nothing is left");
}

/// Streams whose requests name no maximum are not like those that name one.
#[test]
fn stream_without_a_maximum_is_judged_by_others_without() {
    let (mut times, now) = after_streams(named(40), 20);
    assert!(times.longest("guide", UNNAMED, now) > GRACE);
    times.record("guide", ended(UNNAMED, 20), now);
    assert_eq!(times.longest("guide", UNNAMED, now), seconds(0.9 * 1.25));
}

/// Short streams, which wait for most of their time, say nothing of long ones.
#[test]
fn wait_of_short_streams_does_not_count_for_long_ones() {
    let now = Instant::now();
    let mut times = StreamTimes::default();
    for _ in 0..50 {
        let first_event = seconds(0.5);
        let short = EndedStream { first_event, time: seconds(0.5), ..ended(named(2), 2) };
        let long = EndedStream { time: seconds(1.0), ..ended(named(200), 200) };
        times.record("guide", short, now);
        times.record("guide", long, now);
    }
    assert!(times.longest("guide", named(300), now + seconds(30.0)) < seconds(2.5));
}

#[test]
fn calls_to_a_slow_service_need_more_time() {
    let mut times = CallTimes::default();
    times.record("desk", seconds(0.05));
    times.record("registry", seconds(2.0));
    for _ in 0..200 {
        times.record("registry", seconds(0.1));
    }
    assert_eq!(times.longest("desk"), Some(seconds(0.6)));
    assert_eq!(times.longest("registry"), Some(seconds(2.5)));
    for _ in 0..256 {
        times.record("registry", seconds(0.8));
    }
    assert_eq!(times.longest("registry"), Some(seconds(1.0)));
    assert_eq!(times.longest("other"), None);
}
