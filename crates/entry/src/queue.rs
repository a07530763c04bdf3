//! Queue of streams that wait for a path.
//!
//! For a second or longer, more streams may arrive than the KV caches of the engines have room for.
//! Streams interrupted in the middle of their answer are served first, then those of callers that
//! retry after a refusal, then the others by priority and arrival. A stream whose expected wait
//! exceeds the time for which its caller still benefits is refused at once, with a retry delay that
//! includes the time to drain the queue.
//!
//! Services whose stream routes have different priorities have a queue of their own each, ordered by
//! what can still be on time; the module `waiting` decides on it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::demand::known_level;
use crate::waiting::{FreeStarts, WaitOrder, WaitingStream};

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
        (position, self.interval() * ahead)
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

    /// Number of streams that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
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

    /// Average time between two streams that got a path.
    pub fn interval(&self) -> Duration {
        self.interval.unwrap_or(INITIAL_INTERVAL)
    }

    /// Expected time until all waiting streams are served.
    pub fn drain_time(&self) -> Duration {
        self.interval() * self.len() as u32
    }
}

/// Number of a stream in an [`ObjectiveQueue`].
pub type QueueNumber = u64;

/// Waiting streams of one service whose stream routes have different priorities. The order of a
/// stream changes when its objective has passed.
#[derive(Debug, Default)]
pub struct ObjectiveQueue {
    streams: BTreeMap<QueueNumber, (WaitingStream, WaitOrder)>,
    order: BTreeSet<(WaitOrder, QueueNumber)>,
    changes: BTreeSet<(Instant, QueueNumber)>,
    next: QueueNumber,
    free_starts: FreeStarts,
}

impl ObjectiveQueue {
    /// Adds a stream; returns its number and the number of streams that are served before it,
    /// as of the last update.
    pub fn join(&mut self, stream: WaitingStream, now: Instant) -> (QueueNumber, u32) {
        self.next += 1;
        let (number, order) = (self.next, stream.order(now));
        let ahead = self.order.range(..(order, number)).count();
        self.order.insert((order, number));
        self.changes.extend(stream.order_change(now).map(|at| (at, number)));
        self.streams.insert(number, (stream, order));
        (number, u32::try_from(ahead).unwrap_or(u32::MAX))
    }

    /// Removes a stream; returns whether it was the first.
    pub fn leave(&mut self, number: QueueNumber) -> bool {
        let was_first = self.first() == Some(number);
        if let Some((stream, order)) = self.streams.remove(&number) {
            self.order.remove(&(order, number));
            self.changes.remove(&(stream.on_time_until(), number));
        }
        was_first
    }

    /// Moves streams whose objective has passed; returns whether another stream is first from then
    /// on.
    pub fn update(&mut self, now: Instant) -> bool {
        let before = self.first();
        while let Some((_, number)) = self.changes.first().copied().filter(|(at, _)| *at <= now) {
            self.changes.pop_first();
            if let Some((stream, order)) = self.streams.get_mut(&number) {
                self.order.remove(&(*order, number));
                *order = stream.order(now);
                self.order.insert((*order, number));
            }
        }
        self.first() != before
    }

    /// The stream that is served first, as of the last update.
    pub fn first(&self) -> Option<QueueNumber> {
        self.order.first().map(|(_, number)| *number)
    }

    /// Number of streams that are served before one that joins with the given order, as of the last
    /// update.
    pub fn ahead(&self, order: WaitOrder) -> u32 {
        let ahead = self.order.range(..=(order, QueueNumber::MAX)).count();
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    /// Whether a stream takes any start, and all before it leave theirs to others, as given by
    /// `leaves_start`.
    pub fn goes_past(
        &self,
        number: QueueNumber,
        leaves_start: impl Fn(&WaitingStream) -> bool,
        now: Instant,
    ) -> bool {
        let Some((stream, order)) = self.streams.get(&number) else { return false };
        let mut before = self.order.range(..(*order, number));
        stream.takes_any_start(now) && before.all(|(_, other)| leaves_start(&self.streams[other].0))
    }

    /// Records how many starts are free; returns these with the time since when.
    pub fn record_free(&mut self, count: u64, now: Instant) -> FreeStarts {
        self.free_starts.record(count, now);
        self.free_starts
    }

    /// Number of streams that can still be on time or were interrupted in the middle of their
    /// answer, for each priority level that waits.
    pub fn on_time(&self, now: Instant) -> BTreeMap<u8, u32> {
        let mut on_time = BTreeMap::new();
        for (stream, _) in self.streams.values() {
            let is_late = matches!(stream.order(now), WaitOrder::Late { .. });
            *on_time.entry(known_level(stream.priority)).or_default() += u32::from(!is_late);
        }
        on_time
    }

    /// Whether a stream that joins would be served before all others, as of the last update.
    pub fn would_be_first(&self, stream: &WaitingStream, now: Instant) -> bool {
        let order = stream.order(now);
        self.order.first().is_none_or(|(first, _)| order < *first)
    }

    /// Whether no stream waits.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Number of streams that wait.
    pub fn len(&self) -> usize {
        self.streams.len()
    }
}
