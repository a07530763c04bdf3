//! When a stream that says nothing has lost a stage, and which one.
//!
//! Load pattern: a stage dies or goes dark in the middle of many streams. The endpoint that a
//! stream was sent to notices only after its own stall time of seconds, while callers accept a
//! pause of a few event intervals. All streams through the dead stage fall silent at the same
//! moment and streams around it go on: that tells a dead stage from a slow answer.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use jacinthrock::EndpointName;
use tokio::time::Instant;

use crate::path::PathStage;

/// Number of a stream on this host.
pub type StreamNumber = u64;

/// Multiple of a stream's own event interval after which its silence is doubtful.
const PACE_FACTOR: f64 = 3.0;
/// Shortest silence that is doubtful. Below 90 ms, reading of long prompts between two tokens
/// gave false alarms.
const MIN_SILENCE: Duration = Duration::from_millis(90);
/// Longest silence before a stream is given up for another path; callers leave after 2 s.
const MAX_SILENCE: Duration = Duration::from_millis(900);
/// Silence before the first event, in which the prompt is read.
const FIRST_SILENCE: Duration = Duration::from_millis(350);
/// Multiple of the limit for a stream whose every stage serves others meanwhile: it waits for
/// memory, and another path would read its prompt again.
const SERVED_FACTOR: u32 = 5;

/// One stream as seen by this host.
#[derive(Clone, Debug)]
pub struct StreamView {
    /// Number of the stream.
    pub number: StreamNumber,
    /// Stages that it runs through.
    pub path: Rc<[PathStage]>,
    /// Last event, or the time at which it was sent.
    pub heard: Instant,
    /// Interval between its events; none before the first.
    pub pace: Option<Duration>,
}

/// A stream that should go on over another path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilentStream {
    /// Number of the stream.
    pub number: StreamNumber,
    /// How long it has been silent.
    pub silent: Duration,
    /// Stages that no other stream has heard of lately.
    pub suspects: BTreeSet<EndpointName>,
}

/// Names the streams that have been silent for too long, with the stages to suspect.
pub fn silent_streams(now: Instant, streams: &[StreamView]) -> Vec<SilentStream> {
    let mut heard: BTreeMap<&EndpointName, Instant> = BTreeMap::new();
    for stream in streams.iter().filter(|stream| stream.pace.is_some()) {
        for stage in stream.path.iter() {
            let latest = heard.entry(&stage.name).or_insert(stream.heard);
            *latest = (*latest).max(stream.heard);
        }
    }
    streams.iter().filter_map(|stream| judge(now, stream, &heard)).collect()
}

fn judge(
    now: Instant,
    stream: &StreamView,
    heard: &BTreeMap<&EndpointName, Instant>,
) -> Option<SilentStream> {
    let silent = now.saturating_duration_since(stream.heard);
    let limit = silence_limit(stream.pace);
    if silent < limit {
        return None;
    }
    let is_quiet = |name: &EndpointName| {
        heard.get(name).is_none_or(|heard| now.saturating_duration_since(*heard) >= limit / 2)
    };
    let suspects: BTreeSet<_> = stream
        .path
        .iter()
        .map(|stage| &stage.name)
        .filter(|name| is_quiet(name))
        .cloned()
        .collect();
    let is_served = suspects.is_empty();
    let patience = if is_served { (limit * SERVED_FACTOR).min(MAX_SILENCE) } else { limit };
    (silent >= patience).then_some(SilentStream { number: stream.number, silent, suspects })
}

fn silence_limit(pace: Option<Duration>) -> Duration {
    match pace {
        Some(pace) => pace.mul_f64(PACE_FACTOR).clamp(MIN_SILENCE, MAX_SILENCE),
        None => FIRST_SILENCE,
    }
}
