//! Queue of streams that wait for a path.
//!
//! For a second or longer, more streams may arrive than the KV caches of the engines have room for.
//! Streams interrupted in the middle of their answer are served first, then those of callers that
//! retry after a refusal, then the others by priority and arrival. A stream whose expected wait
//! exceeds the time for which its caller still benefits is refused at once, with a retry delay that
//! includes the time to drain the queue.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

/// Weight of the newest interval in the moving average.
const NEWEST_WEIGHT: f64 = 0.1;
/// Assumed interval between two served streams before any was measured, about ten per second.
const INITIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Upper bound on a measured interval, since idle periods say nothing about the rate under
/// overload.
const MAX_INTERVAL: Duration = Duration::from_millis(400);

/// Why a stream waits, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitClass {
    /// It was interrupted in the middle of its answer.
    Interrupted,
    /// It is a retry after a refusal.
    Retried,
    /// Any other stream.
    New,
}

/// Position of a stream in the queue; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// Why the stream waits.
    pub class: WaitClass,
    /// Priority of the customer or route, 0 first.
    pub priority: u8,
    /// Order of arrival.
    pub number: u64,
}

/// Waiting streams and the rate at which they are served.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeSet<QueuePosition>,
    next: u64,
    last_served: Option<Instant>,
    interval: Option<Duration>,
}

impl WaitQueue {
    /// Adds a stream; returns its position and its expected wait.
    pub fn join(&mut self, class: WaitClass, priority: u8) -> (QueuePosition, Duration) {
        self.next += 1;
        let position = QueuePosition { class, priority, number: self.next };
        let ahead = self.waiting.range(..position).count() as u32;
        self.waiting.insert(position);
        (position, self.interval.unwrap_or(INITIAL_INTERVAL) * ahead)
    }

    /// Removes a stream.
    pub fn leave(&mut self, position: QueuePosition) {
        self.waiting.remove(&position);
    }

    /// Whether no other stream is served before this position.
    pub fn is_first(&self, position: QueuePosition) -> bool {
        self.waiting.first().is_none_or(|first| *first >= position)
    }

    /// Whether no stream waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records that a stream got a path.
    pub fn record_served(&mut self, now: Instant) {
        if let Some(last) = self.last_served.replace(now) {
            let interval = now.saturating_duration_since(last).min(MAX_INTERVAL);
            let average = self.interval.unwrap_or(INITIAL_INTERVAL);
            let updated = average.mul_f64(1.0 - NEWEST_WEIGHT) + interval.mul_f64(NEWEST_WEIGHT);
            self.interval = Some(updated);
        }
    }

    /// Expected time until all waiting streams are served.
    pub fn drain_time(&self) -> Duration {
        self.interval.unwrap_or(INITIAL_INTERVAL) * self.waiting.len() as u32
    }
}
