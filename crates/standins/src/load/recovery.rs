//! Effect of a fault on streamed answers: the time to the next token, and the answers that did not
//! complete.

use jacinthrock::RequestId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

use super::faults::FaultPlan;
use super::sample::{CallResult, CallSample};
use super::scenario::CallKind;
use crate::engine::EndRecord;
use crate::fleet::EngineProcess;

/// A token gap longer than this multiple of the stream's median gap, plus the margin, counts as
/// an interruption.
const INTERRUPTION_FACTOR: u32 = 2;

/// Margin by which a gap must exceed that multiple.
const INTERRUPTION_MARGIN: Duration = Duration::from_millis(10);

/// Effect of a fault on the answers that were being streamed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecoveryReport {
    /// The fault.
    pub fault: FaultPlan,
    /// Answers that were being streamed when the fault occurred.
    pub streaming: u32,
    /// Streams that resumed on another chain, that the caller retried, or whose tokens paused for
    /// longer than usual.
    pub interrupted: u32,
    /// Streams that did not complete correctly.
    pub lost: u32,
    /// Time from the fault to the next token of the interrupted streams, in milliseconds: median,
    /// 95th percentile, 99th percentile and maximum.
    pub next_token_ms: [f64; 4],
}

/// Computes the effect of a fault; `resumed` holds the requests that resumed on another chain.
pub fn recovery_report(
    fault: &FaultPlan,
    samples: &[CallSample],
    resumed: &BTreeSet<RequestId>,
) -> RecoveryReport {
    let at = fault.at();
    let streaming: Vec<&CallSample> =
        samples.iter().filter(|sample| is_streaming(sample, at)).collect();
    let mut recovery_times: Vec<Duration> =
        streaming.iter().filter_map(|sample| interruption_time(sample, at, resumed)).collect();
    recovery_times.sort();
    let lost = streaming.iter().filter(|sample| sample.result != CallResult::Whole).count();
    RecoveryReport {
        fault: fault.clone(),
        streaming: streaming.len() as u32,
        interrupted: recovery_times.len() as u32,
        lost: lost as u32,
        next_token_ms: [0.5, 0.95, 0.99, 1.0].map(|rank| percentile_ms(&recovery_times, rank)),
    }
}

fn is_streaming(sample: &CallSample, at: Duration) -> bool {
    let started = sample.token_times.first().is_some_and(|&first| first <= at);
    sample.kind == CallKind::Answer && started && sample.ended > at
}

/// Time from the fault to the next token, or `None` if the stream was not interrupted.
///
/// A stream was interrupted if it resumed on another chain, if an attempt ended between the tokens
/// before and after the fault, or if the gap between these tokens is longer than usual.
fn interruption_time(
    sample: &CallSample,
    at: Duration,
    resumed: &BTreeSet<RequestId>,
) -> Option<Duration> {
    let times = &sample.token_times;
    let next = times.partition_point(|&time| time <= at);
    let (before, after) = (*times.get(next.checked_sub(1)?)?, *times.get(next)?);
    let mut gaps: Vec<Duration> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    gaps.sort();
    let max_usual_gap = gaps[gaps.len() / 2] * INTERRUPTION_FACTOR + INTERRUPTION_MARGIN;
    let has_retried =
        sample.attempts.iter().any(|attempt| attempt.ended >= before && attempt.ended < after);
    let is_interrupted =
        resumed.contains(&sample.request) || has_retried || after - before > max_usual_gap;
    is_interrupted.then(|| after - at)
}

/// Requests for which a router needed more than one attempt, according to the engines' records.
pub(super) fn resumed_requests(engines: &[EngineProcess]) -> BTreeSet<RequestId> {
    let ends = engines.iter().filter_map(|engine| read_ends(&engine.address)).flatten();
    ends.filter(|end| end.attempt > 1).map(|end| end.request).collect()
}

fn read_ends(address: &str) -> Option<Vec<EndRecord>> {
    let mut response = ureq::get(format!("http://{address}/control/ends")).call().ok()?;
    let body = response.body_mut().with_config().limit(u64::MAX).read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}

fn percentile_ms(sorted: &[Duration], rank: f64) -> f64 {
    let Some(last) = sorted.len().checked_sub(1) else {
        return 0.0;
    };
    let index = (rank * sorted.len() as f64).ceil() as usize;
    sorted[index.saturating_sub(1).min(last)].as_secs_f64() * 1e3
}
