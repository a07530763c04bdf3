//! Recorded result of one call.

use serde::Serialize;
use std::time::Duration;

use super::scenario::CallKind;
use crate::caller::CallEnd;

/// One attempt of a call at one router. Times count from the start of the run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallAttempt {
    /// Index of the router.
    pub router: usize,
    /// Time at which the attempt was sent.
    pub started: Duration,
    /// Time at which the attempt ended.
    pub ended: Duration,
    /// How the attempt ended.
    pub end: CallEnd,
}

/// Result of a call after all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallResult {
    /// The complete response was received and is correct.
    Whole,
    /// A response was received and is incorrect.
    Wrong,
    /// The last attempt was refused, and the router did not report an unknown outcome.
    Refused,
    /// The last attempt was refused with an unknown outcome.
    Unknown,
    /// The last attempt got neither a complete response nor a refusal.
    Lost,
}

/// A call with its attempts. Times count from the start of the run.
#[derive(Clone, Debug)]
pub struct CallSample {
    /// Kind of the call.
    pub kind: CallKind,
    /// Index of the customer.
    pub customer: usize,
    /// Time at which the call was scheduled.
    pub due: Duration,
    /// Time at which the last attempt ended.
    pub ended: Duration,
    /// Times at which tokens were received, over all attempts.
    pub token_times: Vec<Duration>,
    /// Request id from the last attempt's answer; empty if none was received.
    pub request: Box<str>,
    /// Idempotency key; empty if the call has none.
    pub key: Box<str>,
    /// Attempts in the order in which they were made.
    pub attempts: Vec<CallAttempt>,
    /// Result of the call.
    pub result: CallResult,
}

impl CallSample {
    /// Time from the scheduled time of the call to its first token.
    pub fn first_token(&self) -> Option<Duration> {
        self.token_times.first().map(|time| time.saturating_sub(self.due))
    }

    /// Time from the scheduled time of the call to its end.
    pub fn total(&self) -> Duration {
        self.ended.saturating_sub(self.due)
    }

    /// Whether no attempt can have run the call, as far as the caller was informed.
    ///
    /// An attempt counts as not run if the router reported it so or no connection was established.
    pub fn is_reported_not_run(&self) -> bool {
        let not_run = |end: &CallEnd| match end {
            CallEnd::Refused(refusal) => &*refusal.outcome == "not-run",
            CallEnd::NotReached => true,
            CallEnd::Whole | CallEnd::Cut => false,
        };
        !self.attempts.is_empty() && self.attempts.iter().all(|attempt| not_run(&attempt.end))
    }
}
