//! What became of one call.

use serde::Serialize;
use std::time::Duration;

use super::scenario::CallKind;
use crate::caller::CallEnd;

/// One try of a call at one router. Times count from the start of the run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallAttempt {
    /// Index of the router.
    pub router: usize,
    /// Time at which the try was sent.
    pub started: Duration,
    /// Time at which it ended.
    pub ended: Duration,
    /// How it ended.
    pub end: CallEnd,
}

/// What became of a call after all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallResult {
    /// The whole answer came and is right.
    Whole,
    /// An answer came that is wrong.
    Wrong,
    /// The last try was refused with outcome not run.
    Refused,
    /// The outcome is unknown, said so by the router.
    Unknown,
    /// No router gave an answer or a refusal.
    Lost,
}

/// A call with its tries. Times count from the start of the run.
#[derive(Clone, Debug)]
pub struct CallSample {
    /// Kind of the call.
    pub kind: CallKind,
    /// Index of the customer.
    pub customer: usize,
    /// Time at which the call was due.
    pub due: Duration,
    /// Time at which it ended.
    pub ended: Duration,
    /// Times at which tokens came, over all tries.
    pub token_times: Vec<Duration>,
    /// Identifier of the last try's answer; empty where none came.
    pub request: Box<str>,
    /// Idempotency key; empty where the call had none.
    pub key: Box<str>,
    /// Tries in order.
    pub attempts: Vec<CallAttempt>,
    /// What became of it.
    pub result: CallResult,
}

impl CallSample {
    /// Time from when the call was due to its first token.
    pub fn first_token(&self) -> Option<Duration> {
        self.token_times.first().map(|time| time.saturating_sub(self.due))
    }

    /// Time from when the call was due to its end.
    pub fn total(&self) -> Duration {
        self.ended.saturating_sub(self.due)
    }

    /// Whether every try says that the call did not run.
    pub fn is_reported_not_run(&self) -> bool {
        let not_run = |end: &CallEnd| match end {
            CallEnd::Refused(refusal) => &*refusal.outcome == "not-run",
            CallEnd::NotReached => true,
            CallEnd::Whole | CallEnd::Cut => false,
        };
        !self.attempts.is_empty() && self.attempts.iter().all(|attempt| not_run(&attempt.end))
    }
}
