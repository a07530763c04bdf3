//! Stall detection: whether a silent stream has lost a stage, and which one.
//!
//! A stage may die or become unreachable in the middle of many streams. The endpoint that a stream
//! was sent to notices only after its own stall timeout of seconds, while callers tolerate a pause
//! of a few event intervals. All streams through the dead stage fall silent at the same moment,
//! while streams around it continue. Silence alone only yields suspects, which are then probed:
//! under overload all streams are slow, and moving them would repeat every prefill.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use jacinthrock::EndpointName;
use tokio::time::Instant;

use crate::path::PathStage;

/// Number of a stream on this host.
pub type StreamNumber = u64;

/// Multiple of a stream's own event interval after which its silence is suspect. A suspicion costs
/// a probe; with 3, streams were rerouted too late for the pause that callers tolerate.
const SUSPECT_FACTOR: f64 = 2.0;
/// Lower bound on the suspect silence. Below 70 ms, prefills of long prompts between two tokens
/// caused false alarms.
pub(crate) const MIN_SILENCE: Duration = Duration::from_millis(70);
/// Upper bound on the suspect silence.
const MAX_SILENCE: Duration = Duration::from_millis(400);
/// Multiple of the usual delay of the first event after which a new stream is suspect.
const FIRST_EVENT_FACTOR: f64 = 3.0;
/// Bounds on the suspect silence of a new stream.
const FIRST_EVENT_SILENCE: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(700)];
/// Multiple of the suspect silence after which a stream is overdue although all its stages respond,
/// since a single request can hang. Another path repeats the whole prefill, which worsens an
/// overload, so this happens only shortly before callers give up.
const OVERDUE_FACTOR: u32 = 8;
/// Bounds on the silence after which a stream is overdue; callers give up after 2 s.
const OVERDUE_SILENCE: [Duration; 2] = [Duration::from_millis(700), Duration::from_millis(1_300)];

/// A stream as stall detection sees it.
#[derive(Clone, Debug)]
pub struct StreamView {
    /// Number of the stream.
    pub number: StreamNumber,
    /// Stages that it runs through.
    pub path: Rc<[PathStage]>,
    /// Time of the last event, or of the send before the first.
    pub last_activity: Instant,
    /// Mean interval between events; none before the first.
    pub event_interval: Option<Duration>,
}

/// Result of a stall check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StallFindings {
    /// Stages of silent streams on which no other stream made progress recently.
    pub suspects: BTreeSet<EndpointName>,
    /// Streams to move to another path although no stage is known to be down.
    pub overdue: Vec<StreamNumber>,
}

/// Finds suspect stages and overdue streams; `first_event_delay` is the usual delay of a stream's
/// first event.
pub fn detect_stalls(
    now: Instant,
    first_event_delay: Duration,
    streams: &[StreamView],
) -> StallFindings {
    let mut last_progress: BTreeMap<&EndpointName, Instant> = BTreeMap::new();
    for stream in streams.iter().filter(|stream| stream.event_interval.is_some()) {
        for stage in stream.path.iter() {
            let latest = last_progress.entry(&stage.name).or_insert(stream.last_activity);
            *latest = (*latest).max(stream.last_activity);
        }
    }
    let mut findings = StallFindings::default();
    for stream in streams {
        let silence = now.saturating_duration_since(stream.last_activity);
        let threshold = suspect_silence(stream.event_interval, first_event_delay);
        if silence < threshold {
            continue;
        }
        let quiet = stream.path.iter().map(|stage| &stage.name).filter(|name| {
            let latest = last_progress.get(name);
            latest.is_none_or(|latest| now.saturating_duration_since(*latest) >= threshold / 2)
        });
        findings.suspects.extend(quiet.cloned());
        let [min, max] = OVERDUE_SILENCE;
        if silence >= (threshold * OVERDUE_FACTOR).clamp(min, max) {
            findings.overdue.push(stream.number);
        }
    }
    findings
}

/// Silence after which a stream is suspect.
fn suspect_silence(event_interval: Option<Duration>, first_event_delay: Duration) -> Duration {
    match event_interval {
        Some(interval) => interval.mul_f64(SUSPECT_FACTOR).clamp(MIN_SILENCE, MAX_SILENCE),
        None => first_event_delay
            .mul_f64(FIRST_EVENT_FACTOR)
            .clamp(FIRST_EVENT_SILENCE[0], FIRST_EVENT_SILENCE[1]),
    }
}
