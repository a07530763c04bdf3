//! The line of streams that wait for a path.
//!
//! Load pattern: more streams arrive than memory has room for, for a second or longer. Streams that
//! were broken off in the middle of their answer come first, then callers who came back after a
//! refusal, then the others by rank and time. A stream that cannot have its turn while its caller
//! still gains by waiting is turned away at once, with the time at which the line will have moved on.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

/// Weight of the newest interval in the pace of the line.
const NEWEST_WEIGHT: f64 = 0.1;
/// Interval between two streams that found a path, before any were seen: some ten a second.
const FIRST_INTERVAL: Duration = Duration::from_millis(100);
/// Longest interval that counts; a calm minute says nothing of an overload.
const MAX_INTERVAL: Duration = Duration::from_millis(400);

/// Why a stream waits, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitClass {
    /// Its answer was broken off midway.
    Interrupted,
    /// Its caller came back after a refusal.
    Retried,
    /// Any other.
    New,
}

/// A place in the line; the least is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket {
    /// Why it waits.
    pub class: WaitClass,
    /// Rank of the customer or route, 0 first.
    pub priority: u8,
    /// Order of arrival.
    pub number: u64,
}

/// Streams that wait, and how fast the line moves.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeSet<QueueTicket>,
    next: u64,
    last_served: Option<Instant>,
    interval: Option<Duration>,
}

impl WaitQueue {
    /// Takes a place; tells how long it will take to get to the front.
    pub fn join(&mut self, class: WaitClass, priority: u8) -> (QueueTicket, Duration) {
        self.next += 1;
        let ticket = QueueTicket { class, priority, number: self.next };
        let ahead = self.waiting.range(..ticket).count() as u32;
        self.waiting.insert(ticket);
        (ticket, self.interval.unwrap_or(FIRST_INTERVAL) * ahead)
    }

    /// Leaves the line.
    pub fn leave(&mut self, ticket: QueueTicket) {
        self.waiting.remove(&ticket);
    }

    /// Whether nobody is served before the ticket.
    pub fn is_first(&self, ticket: QueueTicket) -> bool {
        self.waiting.first().is_none_or(|first| *first >= ticket)
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records that a stream found a path.
    pub fn record_served(&mut self, now: Instant) {
        if let Some(last) = self.last_served.replace(now) {
            let interval = now.saturating_duration_since(last).min(MAX_INTERVAL);
            let known = self.interval.unwrap_or(FIRST_INTERVAL);
            let mixed = known.mul_f64(1.0 - NEWEST_WEIGHT) + interval.mul_f64(NEWEST_WEIGHT);
            self.interval = Some(mixed);
        }
    }

    /// Time until the whole line will have been served.
    pub fn drain_time(&self) -> Duration {
        self.interval.unwrap_or(FIRST_INTERVAL) * self.waiting.len() as u32
    }
}
