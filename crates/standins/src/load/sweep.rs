//! Sweeps: runs of one scenario at several fractions of its throughput bound.

use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::time::Duration;

use super::report::RunReport;
use super::run::RunOptions;
use super::sample::CallResult;
use super::scenario::{CallKind, LoadScenario};

/// One run of a sweep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SweepRow {
    /// Answers requested, in percent of the bound.
    pub offered_percent: f64,
    /// Answers completed correctly while calls were scheduled, after the warm-up, in percent of the
    /// bound.
    pub whole_percent: f64,
    /// Answers that were refused, with a known outcome.
    pub refused: u32,
    /// Answers that were lost, incorrect or of unknown outcome.
    pub broken: u32,
    /// Median time to the first token, in milliseconds.
    pub first_token_p50_ms: f64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub first_token_p99_ms: f64,
    /// 99th percentile of the time between tokens, in milliseconds.
    pub token_gap_p99_ms: f64,
    /// Whether the consistency checks passed.
    #[serde(rename = "holds")]
    pub has_passed: bool,
}

/// Every run of a sweep.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SweepReport {
    /// Runs in the order in which they were made.
    pub rows: Vec<SweepRow>,
}

/// Options of a run that requests `percent` percent of the answer bound, without bursts or faults.
pub fn sweep_options(
    scenario: &LoadScenario,
    seed: u64,
    percent: f64,
    length: Duration,
) -> RunOptions {
    let scenario = LoadScenario { bursts: Vec::new(), faults: Vec::new(), ..scenario.clone() };
    let (words, tokens) = scenario.mean_answer();
    let answers = scenario.fleet.answer_bound(words, tokens) * percent / 100.0;
    RunOptions { seed, rate: answers / scenario.answer_share(), length, scenario }
}

impl SweepRow {
    /// Summarizes the report of a run.
    pub fn new(report: &RunReport) -> Self {
        let percent = |rate: f64| 100.0 * rate / report.answer_bound;
        let count = |result| report.count(CallKind::Answer, result);
        let first_token = &report.latencies["answer first token"];
        Self {
            offered_percent: percent(report.answers_offered),
            whole_percent: percent(report.answers_whole),
            refused: count(CallResult::Refused),
            broken: count(CallResult::Lost) + count(CallResult::Wrong) + count(CallResult::Unknown),
            first_token_p50_ms: first_token.p50_ms,
            first_token_p99_ms: first_token.p99_ms,
            token_gap_p99_ms: report.latencies["answer token gap"].p99_ms,
            has_passed: report.checks.has_passed(),
        }
    }
}

impl SweepReport {
    /// Formats the report as a text table.
    pub fn render(&self) -> String {
        let mut text = String::from(
            "offered %  whole %  refused  broken  ttft p50  ttft p99   gap p99  checks\n",
        );
        for row in &self.rows {
            // Writing to a `String` never fails.
            let _ = writeln!(
                text,
                "{:>9.1} {:>8.1} {:>8} {:>7} {:>9.1} {:>9.1} {:>9.1}  {}",
                row.offered_percent,
                row.whole_percent,
                row.refused,
                row.broken,
                row.first_token_p50_ms,
                row.first_token_p99_ms,
                row.token_gap_p99_ms,
                if row.has_passed { "hold" } else { "BROKEN" }
            );
        }
        text
    }
}
