//! The report of a run: the input needed to repeat it, and the measured results.

use hdrhistogram::Histogram;
use jacinthrock::RequestId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::check::CheckReport;
use super::recovery::{RecoveryReport, recovery_report};
use super::run::RunMode;
use super::sample::{CallResult, CallSample};
use super::scenario::{CallKind, LoadScenario};
use super::usage::UsageReport;
use crate::caller::CallEnd;

/// Largest latency that the histograms record, in microseconds; larger ones are clamped.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Fraction of a run that is excluded from the throughput while the engines fill up.
const WARM_UP_FRACTION: f64 = 0.25;

/// Percentiles on the latency plot.
const PLOTTED_PERCENTILES: [f64; 9] = [10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0];

/// Distribution of one latency, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyReport {
    /// Number of recorded values.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub worst_ms: f64,
    /// Pairs of percentile and latency, for the plot.
    pub curve: Vec<(f64, f64)>,
}

/// Counts of one second of the run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondReport {
    /// Calls that were scheduled.
    pub due: u32,
    /// Calls that completed correctly.
    pub whole: u32,
    /// Calls that ended with any other result.
    pub failed: u32,
    /// Tokens that were received.
    pub tokens: u32,
}

/// Report of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// The complete scenario.
    pub scenario: LoadScenario,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Calls per second, of all kinds, outside of bursts.
    pub rate: f64,
    /// Length of the run, in seconds.
    pub seconds: u64,
    /// Target of the calls.
    #[serde(rename = "way")]
    pub mode: RunMode,
    /// Calls by kind and result.
    pub results: BTreeMap<Box<str>, BTreeMap<Box<str>, u32>>,
    /// Refusals by numeric result code, over all attempts.
    pub refusals: BTreeMap<u16, u32>,
    /// Attempts whose connection broke, by index of the router.
    pub cut_tries: BTreeMap<usize, u32>,
    /// Attempts for which no connection could be established.
    pub unreached_tries: u32,
    /// Latencies by name.
    pub latencies: BTreeMap<Box<str>, LatencyReport>,
    /// Tokens received per second while calls were scheduled, after the warm-up.
    pub tokens_per_second: f64,
    /// Upper bound on the tokens per second that the engines can produce.
    pub token_bound: f64,
    /// Upper bound on the answers per second that the engines can produce.
    pub answer_bound: f64,
    /// Answers requested per second.
    pub answers_offered: f64,
    /// Answers completed correctly per second while calls were scheduled, after the warm-up.
    pub answers_whole: f64,
    /// Effect of each fault.
    pub recoveries: Vec<RecoveryReport>,
    /// Results of the consistency checks.
    pub checks: CheckReport,
    /// Counts of each second.
    pub timeline: Vec<SecondReport>,
    /// Resource usage of the processes; empty for a system that was not started by the run.
    pub usage: UsageReport,
}

/// Input of a run, and the requests that resumed on another chain.
#[derive(Clone, Debug)]
pub(super) struct RunInput {
    pub(super) scenario: LoadScenario,
    pub(super) seed: u64,
    pub(super) rate: f64,
    pub(super) length: Duration,
    pub(super) mode: RunMode,
    pub(super) resumed: BTreeSet<RequestId>,
}

impl RunReport {
    pub(super) fn new(input: RunInput, samples: &[CallSample], checks: CheckReport) -> Self {
        let RunInput { scenario, seed, rate, length, mode, resumed } = input;
        let (words, tokens) = scenario.mean_answer();
        let seconds = length.as_secs_f64();
        let window = length.mul_f64(WARM_UP_FRACTION)..length;
        let window_s = (window.end - window.start).as_secs_f64();
        let in_window = |sample: &CallSample| {
            sample.token_times.iter().filter(|time| window.contains(*time)).count()
        };
        let answers = || samples.iter().filter(|sample| sample.kind == CallKind::Answer);
        let whole = answers().filter(|sample| sample.result == CallResult::Whole);
        let whole_in_window = whole.filter(|sample| window.contains(&sample.ended)).count();
        let faults = scenario.faults.iter().filter(|fault| fault.at() <= length);
        let recoveries = faults.map(|fault| recovery_report(fault, samples, &resumed));
        Self {
            seed,
            rate,
            seconds: length.as_secs(),
            mode,
            results: results(samples),
            refusals: refusals(samples),
            cut_tries: attempts_by_router(samples, &CallEnd::Cut),
            unreached_tries: attempts_by_router(samples, &CallEnd::NotReached).values().sum(),
            latencies: latencies(samples),
            tokens_per_second: samples.iter().map(in_window).sum::<usize>() as f64 / window_s,
            token_bound: scenario.fleet.token_bound(),
            answer_bound: scenario.fleet.answer_bound(words, tokens),
            answers_offered: answers().count() as f64 / seconds,
            answers_whole: whole_in_window as f64 / window_s,
            recoveries: recoveries.collect(),
            checks,
            timeline: timeline(samples),
            usage: UsageReport::default(),
            scenario,
        }
    }

    /// Number of calls of a kind that ended with a result.
    pub fn count(&self, kind: CallKind, result: CallResult) -> u32 {
        let results = self.results.get(&variant_name(kind));
        results.and_then(|results| results.get(&variant_name(result))).copied().unwrap_or(0)
    }
}

/// Serialized name of a unit variant.
fn variant_name(value: impl Serialize) -> Box<str> {
    let value = serde_json::to_value(value).expect("unit variants serialize");
    value.as_str().unwrap_or("").into()
}

fn results(samples: &[CallSample]) -> BTreeMap<Box<str>, BTreeMap<Box<str>, u32>> {
    let mut results: BTreeMap<Box<str>, BTreeMap<Box<str>, u32>> = BTreeMap::new();
    for sample in samples {
        let kind = results.entry(variant_name(sample.kind)).or_default();
        *kind.entry(variant_name(sample.result)).or_default() += 1;
    }
    results
}

fn refusals(samples: &[CallSample]) -> BTreeMap<u16, u32> {
    let mut refusals = BTreeMap::new();
    for attempt in samples.iter().flat_map(|sample| &sample.attempts) {
        if let CallEnd::Refused(refusal) = &attempt.end {
            *refusals.entry(refusal.code).or_default() += 1;
        }
    }
    refusals
}

fn attempts_by_router(samples: &[CallSample], end: &CallEnd) -> BTreeMap<usize, u32> {
    let mut attempts = BTreeMap::new();
    for attempt in samples.iter().flat_map(|sample| &sample.attempts) {
        if attempt.end == *end {
            *attempts.entry(attempt.router).or_default() += 1;
        }
    }
    attempts
}

fn latencies(samples: &[CallSample]) -> BTreeMap<Box<str>, LatencyReport> {
    let whole = |kind: CallKind| {
        samples
            .iter()
            .filter(move |sample| sample.kind == kind && sample.result == CallResult::Whole)
    };
    let gaps = whole(CallKind::Answer)
        .flat_map(|sample| sample.token_times.windows(2).map(|pair| pair[1] - pair[0]));
    BTreeMap::from([
        ("answer first token".into(), latency(first_tokens(whole(CallKind::Answer)))),
        ("answer token gap".into(), latency(gaps)),
        ("answer total".into(), latency(whole(CallKind::Answer).map(CallSample::total))),
        ("run total".into(), latency(whole(CallKind::Run).map(CallSample::total))),
        ("look-up total".into(), latency(whole(CallKind::LookUp).map(CallSample::total))),
    ])
}

fn first_tokens<'a>(
    samples: impl Iterator<Item = &'a CallSample>,
) -> impl Iterator<Item = Duration> {
    samples.filter_map(CallSample::first_token)
}

fn latency(values: impl Iterator<Item = Duration>) -> LatencyReport {
    let mut histogram: Histogram<u64> =
        Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the histogram's bounds are valid");
    for value in values {
        histogram.saturating_record(value.as_micros() as u64);
    }
    let at = |percentile: f64| histogram.value_at_percentile(percentile) as f64 / 1e3;
    LatencyReport {
        count: histogram.len(),
        p50_ms: at(50.0),
        p95_ms: at(95.0),
        p99_ms: at(99.0),
        worst_ms: histogram.max() as f64 / 1e3,
        curve: PLOTTED_PERCENTILES.iter().map(|&percentile| (percentile, at(percentile))).collect(),
    }
}

fn timeline(samples: &[CallSample]) -> Vec<SecondReport> {
    let last = samples.iter().map(|sample| sample.ended.as_secs()).max().unwrap_or(0);
    let mut seconds = vec![SecondReport::default(); last as usize + 1];
    for sample in samples {
        seconds[(sample.due.as_secs() as usize).min(last as usize)].due += 1;
        let end_second = &mut seconds[sample.ended.as_secs() as usize];
        match sample.result {
            CallResult::Whole => end_second.whole += 1,
            _ => end_second.failed += 1,
        }
        for time in &sample.token_times {
            seconds[(time.as_secs() as usize).min(last as usize)].tokens += 1;
        }
    }
    seconds
}
