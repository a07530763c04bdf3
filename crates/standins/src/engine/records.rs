//! What an engine ran, for checkers that trust nothing else.

use jacinthrock::{AttemptNumber, LayerIndex, RequestId, TokenPosition};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Records kept of each sort.
const KEPT_RECORDS: usize = 200_000;

/// Layers that ran for one token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Request of the token.
    pub request: RequestId,
    /// Attempt of the token.
    pub attempt: AttemptNumber,
    /// Position of the token.
    pub position: TokenPosition,
    /// First layer that ran.
    pub first_layer: LayerIndex,
    /// Last layer that ran.
    pub last_layer: LayerIndex,
}

/// How an attempt ended at its first stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptEnd {
    /// The answer is whole.
    Whole,
    /// A stage failed.
    Failed,
    /// The caller went away.
    Cancelled,
}

/// End of an attempt at its first stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRecord {
    /// Request of the attempt.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub end: AttemptEnd,
}

/// Every record of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecords {
    /// Layers that ran, in the order in which they ran.
    pub runs: VecDeque<RunRecord>,
    /// Ends of attempts.
    pub ends: VecDeque<EndRecord>,
}

impl EngineRecords {
    /// Records layers that ran.
    pub fn add_run(&mut self, record: RunRecord) {
        keep(&mut self.runs, record);
    }

    /// Records the end of an attempt.
    pub fn add_end(&mut self, record: EndRecord) {
        keep(&mut self.ends, record);
    }
}

fn keep<T>(records: &mut VecDeque<T>, record: T) {
    if records.len() == KEPT_RECORDS {
        records.pop_front();
    }
    records.push_back(record);
}
