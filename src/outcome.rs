//! The three honest outcomes of a call.

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
    /// The call ran and its whole answer is known.
    Done,
    /// No byte of the call left for an endpoint, or the endpoint refused it before starting.
    NotRun,
    /// The call may have run; a non-idempotent call is never sent again.
    Unknown,
}

impl CallOutcome {
    /// Tells whether a non-idempotent call with this outcome may be sent again.
    pub fn may_be_sent_again(self) -> bool {
        self == Self::NotRun
    }

    /// Name of the outcome in answers to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}
