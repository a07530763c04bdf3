//! When a stream that says nothing has lost a stage, and which one.
//!
//! Load pattern: a stage dies or goes dark in the middle of many streams. The endpoint that a
//! stream was sent to notices only after its own stall time of seconds, while callers accept a
//! pause of a few event intervals. All streams through the dead stage fall silent at the same
//! moment and streams around it go on. Silence alone only names suspects, which are then asked for
//! their state: under overload all streams are slow, and moving them would read every prompt again.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use jacinthrock::EndpointName;
use tokio::time::Instant;

use crate::path::PathStage;

/// Number of a stream on this host.
pub type StreamNumber = u64;

/// Multiple of a stream's own event interval after which its silence is doubtful. A doubt costs a
/// probe; with 3, moved streams came too late for the pause that callers accept.
const SUSPECT_FACTOR: f64 = 2.0;
/// Shortest silence that is doubtful. Below 70 ms, reading of long prompts between two tokens
/// gave false alarms.
const MIN_SUSPECT_SILENCE: Duration = Duration::from_millis(70);
/// Longest silence that is not doubtful.
const MAX_SUSPECT_SILENCE: Duration = Duration::from_millis(400);
/// Multiple of the usual time to the first event after which a new stream is doubtful.
const FIRST_EVENT_FACTOR: f64 = 3.0;
/// Bounds on the doubtful silence of a new stream.
const FIRST_EVENT_SILENCE: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(700)];
/// Multiple of the doubtful silence after which a stream is given up although all its stages
/// answer: one request can hang alone. Another path reads its whole prompt again, which makes an
/// overload worse, so that this comes shortly before callers leave.
const OVERDUE_FACTOR: u32 = 8;
/// Bounds on the silence after which a stream is given up; callers leave after 2 s.
const OVERDUE_SILENCE: [Duration; 2] = [Duration::from_millis(700), Duration::from_millis(1_300)];

/// One stream as seen by this host.
#[derive(Clone, Debug)]
pub struct StreamView {
    /// Number of the stream.
    pub number: StreamNumber,
    /// Stages that it runs through.
    pub path: Rc<[PathStage]>,
    /// Last event, or the time at which it was sent.
    pub last_activity: Instant,
    /// Interval between its events; none before the first.
    pub event_interval: Option<Duration>,
}

/// What the silence of streams tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StallFindings {
    /// Stages of silent streams that no other stream has heard of lately.
    pub suspects: BTreeSet<EndpointName>,
    /// Streams to go on over another path although no stage is known to be dead.
    pub overdue: Vec<StreamNumber>,
}

/// Finds what the streams' silence tells; `first_event_delay` is the usual time to a first event.
pub fn detect_stalls(
    now: Instant,
    first_event_delay: Duration,
    streams: &[StreamView],
) -> StallFindings {
    let mut last_activity: BTreeMap<&EndpointName, Instant> = BTreeMap::new();
    for stream in streams.iter().filter(|stream| stream.event_interval.is_some()) {
        for stage in stream.path.iter() {
            let latest = last_activity.entry(&stage.name).or_insert(stream.last_activity);
            *latest = (*latest).max(stream.last_activity);
        }
    }
    let mut findings = StallFindings::default();
    for stream in streams {
        let silent = now.saturating_duration_since(stream.last_activity);
        let threshold = suspect_silence(stream.event_interval, first_event_delay);
        if silent < threshold {
            continue;
        }
        let quiet = stream.path.iter().map(|stage| &stage.name).filter(|name| {
            let last_activity = last_activity.get(name);
            last_activity.is_none_or(|last_activity| {
                now.saturating_duration_since(*last_activity) >= threshold / 2
            })
        });
        findings.suspects.extend(quiet.cloned());
        let [least, most] = OVERDUE_SILENCE;
        if silent >= (threshold * OVERDUE_FACTOR).clamp(least, most) {
            findings.overdue.push(stream.number);
        }
    }
    findings
}

fn suspect_silence(event_interval: Option<Duration>, first_event_delay: Duration) -> Duration {
    match event_interval {
        Some(event_interval) => {
            event_interval.mul_f64(SUSPECT_FACTOR).clamp(MIN_SUSPECT_SILENCE, MAX_SUSPECT_SILENCE)
        }
        None => first_event_delay
            .mul_f64(FIRST_EVENT_FACTOR)
            .clamp(FIRST_EVENT_SILENCE[0], FIRST_EVENT_SILENCE[1]),
    }
}
