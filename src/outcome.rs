//! Outcome of a call: done, not run or unknown.

use serde::{Deserialize, Serialize};

/// What is known about whether a call ran at an endpoint.
///
/// ```
/// use jacinthrock::CallOutcome;
///
/// assert!(CallOutcome::NotRun.may_be_sent_again());
/// assert!(!CallOutcome::Unknown.may_be_sent_again());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The call ran and its complete answer was received.
    Done,
    /// Nothing was sent to an endpoint, or the endpoint refused the call before starting it.
    NotRun,
    /// The call may have run; if it is not idempotent, it is never sent again.
    Unknown,
}

impl CallOutcome {
    /// Whether a non-idempotent call with this outcome may be sent again.
    pub fn may_be_sent_again(self) -> bool {
        self == Self::NotRun
    }

    /// Name of the outcome in responses to callers and in metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}
