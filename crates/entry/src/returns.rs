//! Decides when callers that were refused for want of a path are to come back.
//!
//! Answers to a load pattern: many cards are lost at once, and for seconds most streams are refused
//! until layers are loaded elsewhere. A caller comes back once or twice at most, so that one who is
//! sent back into the same shortage is lost. While most streams are refused, callers are told to come
//! back later, and over a longer time; a single refusal is followed by an early return.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock::ServiceName;
use tokio::time::Instant;

/// Shortest delay; loading a range of layers takes one to two seconds.
pub(crate) const MIN_RETURN_DELAY: Duration = Duration::from_millis(900);
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
    MIN_RETURN_DELAY + (MAX_DELAY - MIN_RETURN_DELAY).mul_f64(refused_share)
}

/// Longest delay that fits into a caller's remaining time after it was randomly prolonged.
fn longest_delay(remaining: Duration) -> Duration {
    remaining.mul_f64(MAX_SHARE_OF_REMAINING / MAX_JITTER_FACTOR).max(MIN_RETURN_DELAY)
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
        shortage_delay(refused_share).min(longest_delay(remaining))
    }

    /// Shortest delay after which a caller with `remaining` time is to come back to a queue in which
    /// it is then expected to wait for `wait`. A forged total may claim any wait; a caller that is told
    /// to come back later than it may wait gives up.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use jacinthrock_entry::ReturnSchedule;
    /// use tokio::time::Instant;
    ///
    /// let (mut schedule, now) = (ReturnSchedule::default(), Instant::now());
    /// let (remaining, wait) = (Duration::from_secs(20), Duration::from_millis(400));
    /// let delay = schedule.delay_with_wait(now, remaining, wait);
    /// assert_eq!(delay, schedule.delay(now, remaining) + wait);
    /// ```
    pub fn delay_with_wait(
        &mut self,
        now: Instant,
        remaining: Duration,
        wait: Duration,
    ) -> Duration {
        self.delay(now, remaining).saturating_add(wait).min(longest_delay(remaining))
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = self.updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = (-elapsed.div_duration_f64(MEMORY_TIME)).exp();
        self.served *= factor;
        self.refused *= factor;
        self.updated = Some(now);
    }
}

/// Schedules of a host: one for each service whose streams have different priorities, and one for all
/// others. Admission refuses many streams of a service while other services have capacity.
#[derive(Debug, Default)]
pub struct ReturnSchedules {
    shared: ReturnSchedule,
    by_service: BTreeMap<ServiceName, ReturnSchedule>,
}

impl ReturnSchedules {
    /// Schedule of a service.
    pub fn get_mut(&mut self, service: &ServiceName, has_priorities: bool) -> &mut ReturnSchedule {
        if has_priorities {
            self.by_service.entry(service.clone()).or_default()
        } else {
            &mut self.shared
        }
    }

    /// Forgets services whose streams no longer have different priorities.
    pub(crate) fn retain(&mut self, has_priorities: impl Fn(&str) -> bool) {
        self.by_service.retain(|service, _| has_priorities(service));
    }
}
