//! The engine's own records of its work, for checks that are independent of the router.

use jacinthrock::{AttemptNumber, LayerIndex, RequestId, TokenPosition};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of records of each kind; the oldest are dropped first.
const MAX_RECORDS_PER_KIND: usize = 200_000;

/// Layer range that ran for one token.
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

/// Outcome of an attempt at its first stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptEnd {
    /// The answer is complete.
    Whole,
    /// A stage failed.
    Failed,
    /// The caller disconnected.
    Cancelled,
}

/// End of an attempt at its first stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRecord {
    /// Request of the attempt.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Outcome of the attempt.
    pub end: AttemptEnd,
}

/// All records of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecords {
    /// Layer ranges in the order in which they ran.
    pub runs: VecDeque<RunRecord>,
    /// Ended attempts, in order.
    pub ends: VecDeque<EndRecord>,
}

impl EngineRecords {
    /// Records a layer range that ran.
    pub fn add_run(&mut self, record: RunRecord) {
        push_bounded(&mut self.runs, record);
    }

    /// Records the end of an attempt.
    pub fn add_end(&mut self, record: EndRecord) {
        push_bounded(&mut self.ends, record);
    }
}

fn push_bounded<T>(records: &mut VecDeque<T>, record: T) {
    if records.len() == MAX_RECORDS_PER_KIND {
        records.pop_front();
    }
    records.push_back(record);
}
