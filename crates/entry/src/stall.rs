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
const PACE_FACTOR: f64 = 2.0;
/// Shortest silence that is doubtful. Below 70 ms, reading of long prompts between two tokens
/// gave false alarms.
const MIN_SILENCE: Duration = Duration::from_millis(70);
/// Longest silence that is not doubtful.
const MAX_SILENCE: Duration = Duration::from_millis(400);
/// Multiple of the usual time to the first event after which a new stream is doubtful.
const FIRST_FACTOR: f64 = 3.0;
/// Bounds on the doubtful silence of a new stream.
const FIRST_SILENCE: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(700)];
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
    pub heard: Instant,
    /// Interval between its events; none before the first.
    pub pace: Option<Duration>,
}

/// What the silence of streams tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SilenceFindings {
    /// Stages of silent streams that no other stream has heard of lately.
    pub suspects: BTreeSet<EndpointName>,
    /// Streams to go on over another path although no stage is known to be dead.
    pub overdue: Vec<StreamNumber>,
}

/// Finds what the streams' silence tells; `usual_first` is the usual time to a first event.
pub fn silence_findings(
    now: Instant,
    usual_first: Duration,
    streams: &[StreamView],
) -> SilenceFindings {
    let mut heard: BTreeMap<&EndpointName, Instant> = BTreeMap::new();
    for stream in streams.iter().filter(|stream| stream.pace.is_some()) {
        for stage in stream.path.iter() {
            let latest = heard.entry(&stage.name).or_insert(stream.heard);
            *latest = (*latest).max(stream.heard);
        }
    }
    let mut findings = SilenceFindings::default();
    for stream in streams {
        let silent = now.saturating_duration_since(stream.heard);
        let doubtful = doubtful_silence(stream.pace, usual_first);
        if silent < doubtful {
            continue;
        }
        let quiet = stream.path.iter().map(|stage| &stage.name).filter(|name| {
            let heard = heard.get(name);
            heard.is_none_or(|heard| now.saturating_duration_since(*heard) >= doubtful / 2)
        });
        findings.suspects.extend(quiet.cloned());
        let [least, most] = OVERDUE_SILENCE;
        if silent >= (doubtful * OVERDUE_FACTOR).clamp(least, most) {
            findings.overdue.push(stream.number);
        }
    }
    findings
}

fn doubtful_silence(pace: Option<Duration>, usual_first: Duration) -> Duration {
    match pace {
        Some(pace) => pace.mul_f64(PACE_FACTOR).clamp(MIN_SILENCE, MAX_SILENCE),
        None => usual_first.mul_f64(FIRST_FACTOR).clamp(FIRST_SILENCE[0], FIRST_SILENCE[1]),
    }
}
