//! Runs of one scenario at parts of its bound.

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
    /// Answers offered, in hundredths of the bound.
    pub offered_percent: f64,
    /// Answers that became whole while calls were due, in hundredths of the bound.
    pub whole_percent: f64,
    /// Answers that were refused.
    pub refused: u32,
    /// Answers that were lost, and wrong ones.
    pub broken: u32,
    /// Time to the first token, median, in milliseconds.
    pub first_token_p50_ms: f64,
    /// Time to the first token, 99th percentile, in milliseconds.
    pub first_token_p99_ms: f64,
    /// Time between tokens, 99th percentile, in milliseconds.
    pub token_gap_p99_ms: f64,
    /// Whether the checks of the promises hold.
    #[serde(rename = "holds")]
    pub has_passed: bool,
}

/// Every run of a sweep.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SweepReport {
    /// Rows in the order of the runs.
    pub rows: Vec<SweepRow>,
}

/// Options of the run that offers `percent` hundredths of the bound, without bursts and faults.
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
    /// The row of a run.
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
    /// The table for people.
    pub fn render(&self) -> String {
        let mut text = String::from(
            "offered %  whole %  refused  broken  ttft p50  ttft p99   gap p99  checks\n",
        );
        for row in &self.rows {
            // Writing to a string does not fail.
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
