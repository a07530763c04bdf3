//! How an attempt at an answer can fail, and how long its silence is borne.

use std::time::Duration;

use crate::codes::ResultCode;
use crate::endpoint::PriorityClass;
use crate::ids::EndpointName;

/// Why an attempt gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptFault {
    /// The first stage was not reached.
    #[error("first stage not reached")]
    NotSent,
    /// The first stage refused the attempt before starting it.
    #[error("first stage refused the attempt before starting")]
    Refused,
    /// The connection to the first stage broke or carried nonsense.
    #[error("connection to the first stage broke")]
    Broken,
    /// The connection closed or the answer ended before it was whole.
    #[error("answer ended early")]
    Truncated,
    /// A stage said that it, or the stage after it, failed.
    #[error("stage {0:?} failed")]
    StageFailed(EndpointName),
    /// A stage ran another version or range than the route says.
    #[error("stage {0:?} ran another version or layer range than the route says")]
    WrongStage(EndpointName),
    /// A stage did not answer while tokens were overdue.
    #[error("stage {0:?} does not answer")]
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

    /// Code of a refusal where no other attempt may follow.
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
}

/// Bounds of the silence that an attempt bears.
#[derive(Clone, Debug)]
pub struct TimeoutOptions {
    /// Shortest silence after which the stages are asked whether they live.
    pub shortest_probe_delay: Duration,
    /// Longest silence after which the stages are asked whether they live.
    pub longest_probe_delay: Duration,
    /// Shortest time for a stage to say that it lives.
    pub shortest_probe_timeout: Duration,
    /// Longest time for a stage to say that it lives.
    pub longest_probe_timeout: Duration,
    /// Shortest silence after which an attempt whose stages all live is given up.
    pub shortest_give_up_delay: Duration,
}

impl Default for TimeoutOptions {
    fn default() -> Self {
        Self {
            shortest_probe_delay: Duration::from_millis(40),
            longest_probe_delay: Duration::from_millis(120),
            shortest_probe_timeout: Duration::from_millis(40),
            longest_probe_timeout: Duration::from_millis(250),
            shortest_give_up_delay: Duration::from_millis(250),
        }
    }
}

/// Weight of the newest interval in the smoothed interval.
const INTERVAL_WEIGHT: f64 = 0.125;

/// Weight of the newest deviation in the smoothed deviation.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Smoothed deviations beyond the smoothed interval after which a token is overdue.
const OVERDUE_DEVIATIONS: f64 = 4.0;

/// Multiple of the overdue time after which an attempt whose stages live is given up.
const GIVE_UP_FACTOR: f64 = 2.0;

/// A smoothed time and its smoothed deviation.
#[derive(Clone, Debug)]
pub(crate) struct SmoothedTime {
    mean: f64,
    deviation: f64,
}

impl SmoothedTime {
    /// Expects a time until one was observed.
    pub(crate) fn new(expected: Duration) -> Self {
        let mean = expected.as_secs_f64();
        Self { mean, deviation: mean / 2.0 }
    }

    pub(crate) fn observe(&mut self, time: Duration) {
        let error = time.as_secs_f64() - self.mean;
        self.mean += INTERVAL_WEIGHT * error;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
    }

    /// Time that is rarely exceeded.
    pub(crate) fn overdue(&self) -> Duration {
        Duration::from_secs_f64(self.mean + OVERDUE_DEVIATIONS * self.deviation)
    }
}

/// Bounds of silence that follow the observed time between tokens.
///
/// ```
/// use jacinthrock::{PriorityClass, SilenceOptions, TokenClock};
/// use std::time::Duration;
///
/// let expected = Duration::from_millis(10);
/// let clock = TokenClock::new(SilenceOptions::default(), PriorityClass::Guidance, expected);
/// assert!(clock.suspect_after() >= Duration::from_millis(40));
/// assert!(clock.give_up_after(Duration::from_secs(5), 0) < Duration::from_millis(500));
/// ```
#[derive(Clone, Debug)]
pub struct TokenTimeouts {
    options: TimeoutOptions,
    priority: PriorityClass,
    interval: SmoothedTime,
}

impl TokenTimeouts {
    /// A clock that expects some time between tokens until it has observed it.
    pub fn new(options: TimeoutOptions, priority: PriorityClass, expected: Duration) -> Self {
        Self { options, priority, interval: SmoothedTime::new(expected) }
    }

    /// Takes the time between two tokens.
    pub fn observe(&mut self, interval: Duration) {
        self.interval.observe(interval);
    }

    /// Silence after which the stages are asked whether they live.
    pub fn suspect_after(&self) -> Duration {
        let options = &self.options;
        self.interval.overdue().clamp(options.shortest_probe_delay, options.longest_probe_delay)
    }

    /// Silence after which an attempt is given up though its stages live.
    ///
    /// Doubles with each earlier attempt that was given up so, as the endpoints may be crowded.
    /// Only where someone waits for each token is it shorter than `longest`.
    pub fn give_up_after(&self, longest: Duration, given_up: u32) -> Duration {
        if self.priority != PriorityClass::Guidance {
            return longest;
        }
        let adaptive = self
            .interval
            .overdue()
            .mul_f64(GIVE_UP_FACTOR)
            .max(self.options.shortest_give_up_delay);
        adaptive.saturating_mul(1 << given_up.min(8)).min(longest)
    }
}
