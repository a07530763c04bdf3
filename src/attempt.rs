//! Faults of an attempt at an answer, and its timeouts between tokens.

use std::time::Duration;

use crate::codes::ResultCode;
use crate::endpoint::PriorityClass;
use crate::ids::EndpointName;

/// Why an attempt did not complete the answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptFault {
    /// The first stage could not be reached.
    #[error("first stage not reached")]
    NotSent,
    /// The first stage refused the attempt before starting it.
    #[error("first stage refused the attempt before starting")]
    Refused,
    /// The connection to the first stage broke or carried an invalid event.
    #[error("connection to the first stage broke")]
    Broken,
    /// The connection closed or the answer ended before it was complete.
    #[error("answer ended early")]
    Truncated,
    /// A stage reported that it, or the stage after it, failed.
    #[error("stage {0:?} failed")]
    StageFailed(EndpointName),
    /// A stage ran a version or layer range other than the route's.
    #[error("stage {0:?} ran a version or layer range other than the route's")]
    WrongStage(EndpointName),
    /// A stage did not answer a liveness probe while tokens were overdue.
    #[error("stage {0:?} does not answer probes")]
    Frozen(EndpointName),
    /// Tokens were overdue although every stage answered.
    #[error("tokens overdue")]
    Slow,
}

impl AttemptFault {
    /// Name of the fault, used as a metric label.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Refused => "refused",
            Self::Broken => "broken",
            Self::Truncated => "truncated",
            Self::StageFailed(_) => "stage_failed",
            Self::WrongStage(_) => "wrong_stage",
            Self::Frozen(_) => "frozen",
            Self::Slow => "slow",
        }
    }

    /// Result code to refuse the request with if no other attempt may follow.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::NotSent | Self::Refused => ResultCode::EndpointRefused,
            Self::Truncated => ResultCode::AnswerTruncated,
            Self::WrongStage(_) => ResultCode::WrongStage,
            _ => ResultCode::EndpointFailed,
        }
    }

    /// Whether the attempt certainly did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent | Self::Refused)
    }

    /// Whether the attempt has only fallen silent and may still go on.
    pub fn is_silence(&self) -> bool {
        matches!(self, Self::Frozen(_) | Self::Slow)
    }
}

/// Bounds on the timeouts of an attempt without new tokens.
#[derive(Clone, Debug)]
pub struct TimeoutOptions {
    /// Shortest time without a token after which the stages are probed.
    pub shortest_probe_delay: Duration,
    /// Longest time without a token after which the stages are probed.
    pub longest_probe_delay: Duration,
    /// Shortest timeout of a liveness probe.
    pub shortest_probe_timeout: Duration,
    /// Longest timeout of a liveness probe.
    pub longest_probe_timeout: Duration,
    /// Shortest time without a token after which an attempt is given up although its stages are
    /// alive.
    pub shortest_give_up_delay: Duration,
    /// Longest time without a sign of life for which an attempt waits for an endpoint if no other
    /// attempt can replace it.
    pub longest_silence: Duration,
}

impl Default for TimeoutOptions {
    fn default() -> Self {
        Self {
            shortest_probe_delay: Duration::from_millis(40),
            longest_probe_delay: Duration::from_millis(120),
            shortest_probe_timeout: Duration::from_millis(40),
            longest_probe_timeout: Duration::from_millis(250),
            shortest_give_up_delay: Duration::from_millis(250),
            longest_silence: Duration::from_millis(1500),
        }
    }
}

/// Weight of the newest sample in the smoothed mean.
const MEAN_WEIGHT: f64 = 0.125;

/// Weight of the newest sample in the smoothed deviation.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Number of smoothed deviations above the smoothed mean at which a time is overdue.
const OVERDUE_DEVIATIONS: f64 = 4.0;

/// Multiple of the overdue time after which an attempt is given up although its stages are alive.
const GIVE_UP_FACTOR: f64 = 2.0;

/// Exponentially smoothed mean and deviation of a time, as in TCP's retransmission timer.
#[derive(Clone, Debug)]
pub(crate) struct SmoothedTime {
    mean: f64,
    deviation: f64,
}

impl SmoothedTime {
    /// Starts with an expected time, until the first observation.
    pub(crate) fn new(expected: Duration) -> Self {
        let mean = expected.as_secs_f64();
        Self { mean, deviation: mean / 2.0 }
    }

    pub(crate) fn observe(&mut self, time: Duration) {
        let error = time.as_secs_f64() - self.mean;
        self.mean += MEAN_WEIGHT * error;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
    }

    /// Time that a sample rarely exceeds.
    pub(crate) fn overdue(&self) -> Duration {
        Duration::from_secs_f64(self.mean + OVERDUE_DEVIATIONS * self.deviation)
    }
}

/// Timeouts of an attempt without new tokens, adapted to the observed time between tokens.
///
/// ```
/// use jacinthrock::{PriorityClass, TimeoutOptions, TokenTimeouts};
/// use std::time::Duration;
///
/// let expected = Duration::from_millis(10);
/// let timeouts = TokenTimeouts::new(TimeoutOptions::default(), PriorityClass::Guidance, expected);
/// assert!(timeouts.probe_delay() >= Duration::from_millis(40));
/// assert!(timeouts.give_up_delay(Duration::from_secs(5), 0) < Duration::from_millis(500));
/// ```
#[derive(Clone, Debug)]
pub struct TokenTimeouts {
    options: TimeoutOptions,
    priority: PriorityClass,
    interval: SmoothedTime,
}

impl TokenTimeouts {
    /// Creates timeouts from the expected time between tokens, until the first observation.
    pub fn new(options: TimeoutOptions, priority: PriorityClass, expected: Duration) -> Self {
        Self { options, priority, interval: SmoothedTime::new(expected) }
    }

    /// Records the time between two tokens.
    pub fn observe(&mut self, interval: Duration) {
        self.interval.observe(interval);
    }

    /// Time without a token after which the stages are probed.
    pub fn probe_delay(&self) -> Duration {
        let options = &self.options;
        self.interval.overdue().clamp(options.shortest_probe_delay, options.longest_probe_delay)
    }

    /// Time without a token after which an attempt is given up although its stages are alive.
    ///
    /// Doubles with each earlier attempt given up for this reason, as the endpoints may be
    /// overloaded. Always `longest` unless a user waits for each token.
    pub fn give_up_delay(&self, longest: Duration, slow_attempts: u32) -> Duration {
        if self.priority != PriorityClass::Guidance {
            return longest;
        }
        let adaptive = self
            .interval
            .overdue()
            .mul_f64(GIVE_UP_FACTOR)
            .max(self.options.shortest_give_up_delay);
        adaptive.saturating_mul(1 << slow_attempts.min(8)).min(longest)
    }
}
