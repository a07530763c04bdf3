//! Decides when callers that were refused for want of a path are to come back.
//!
//! Answers to a load pattern: many cards are lost at once, and for seconds most streams are refused
//! until layers are loaded elsewhere. A caller comes back once or twice at most, so that one who is
//! sent back into the same shortage is lost. While most streams are refused, callers are told to come
//! back later, and over a longer time; a single refusal is followed by an early return.

use std::time::Duration;

use tokio::time::Instant;

/// Shortest delay; loading a range of layers takes one to two seconds.
const MIN_DELAY: Duration = Duration::from_millis(900);
/// Delay while all streams are refused.
const MAX_DELAY: Duration = Duration::from_millis(3_000);
/// Time after which an outcome counts for a third.
const MEMORY_TIME: Duration = Duration::from_secs(2);
/// Part of the time left for which callers wait at most; see the platform's protocol.
pub(crate) const MAX_SHARE_OF_REMAINING: f64 = 1.0 / 3.0;
/// Largest factor by which the delay in a refusal is randomly prolonged.
pub(crate) const MAX_JITTER_FACTOR: f64 = 2.0;

/// Delay while the given share of streams is refused.
pub(crate) fn shortage_delay(refused_share: f64) -> Duration {
    MIN_DELAY + (MAX_DELAY - MIN_DELAY).mul_f64(refused_share)
}

/// Recent outcomes of streams, and the delay that follows from them.
///
/// ```
/// use std::time::Duration;
///
/// use jacinthrock_entry::ReturnSchedule;
/// use tokio::time::Instant;
///
/// let (mut schedule, now) = (ReturnSchedule::default(), Instant::now());
/// schedule.record_served(now);
/// let calm = schedule.delay(now, Duration::from_secs(20));
/// for _ in 0..20 {
///     schedule.record_refused(now);
/// }
/// assert!(schedule.delay(now, Duration::from_secs(20)) > calm * 2);
/// ```
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    served: f64,
    refused: f64,
    updated: Option<Instant>,
}

impl ReturnSchedule {
    /// Records that a stream got a path.
    pub fn record_served(&mut self, now: Instant) {
        self.decay(now);
        self.served += 1.0;
    }

    /// Records that a stream was refused for want of a path.
    pub fn record_refused(&mut self, now: Instant) {
        self.decay(now);
        self.refused += 1.0;
    }

    /// Shortest delay after which a caller with `remaining` time is to come back.
    pub fn delay(&mut self, now: Instant, remaining: Duration) -> Duration {
        self.decay(now);
        let total = self.served + self.refused;
        let refused_share = if total > 0.0 { self.refused / total } else { 0.0 };
        let delay = shortage_delay(refused_share);
        let longest = remaining.mul_f64(MAX_SHARE_OF_REMAINING / MAX_JITTER_FACTOR);
        delay.min(longest.max(MIN_DELAY))
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = self.updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = (-elapsed.div_duration_f64(MEMORY_TIME)).exp();
        self.served *= factor;
        self.refused *= factor;
        self.updated = Some(now);
    }
}
