//! Decides how long a stream waits for a path, in which order, and when it leaves a free start to
//! others, for services whose stream routes have different priorities.
//!
//! Answers to a load pattern: a burst of two to three times the usual traffic uses up the starts of
//! a service for seconds, at many hosts with a few streams a second each. Callers retry once, and
//! only after their objective has passed, so that a refusal costs most of the value of a stream and
//! its only retry. A stream therefore waits for an on-time answer first, then behind those that can
//! still be on time. Waits are estimated from totals over all hosts, since the interval between two
//! streams of one host among many says nothing about how fast starts become free.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::RangeBounds;
use std::time::Duration;

use tokio::time::Instant;

use crate::demand::{PriorityDemand, known_level};

/// Time since the last event after which callers have given up, so that an interrupted stream is
/// not resumed.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_millis(1_900);
/// Part of an objective, and of the time after which a caller gives up, for which a stream waits.
/// The rest is left for the path's first event.
const WAIT_SHARE: f64 = 0.7;
/// Shortest silence after which callers give up a stream; see the platform's protocol.
const MIN_GIVE_UP_TIME: Duration = Duration::from_secs(2);
/// Callers give up a stream after this many times its objective, if that is longer.
const GIVE_UP_OBJECTIVES: u32 = 4;

/// Rate of started streams below which it says nothing about the wait: the average of a few that
/// started before an idle time.
const MIN_STARTED_PER_S: f64 = 1.0;

/// Time for which a start must have been free before a late stream takes it from those of other
/// hosts that can still be on time: they learn of it with the next exchange of loads, after 200 ms at
/// most. If late streams took starts at once, 0.67 of the streams of priority 0 were on time at 195
/// hosts and 0.95 at 6, in the replay of `tests/waiting_streams.rs`.
const START_NOTICE_TIME: Duration = Duration::from_millis(200);

/// A stream that waits for a path.
///
/// ```
/// use std::time::Duration;
///
/// use jacinthrock_entry::{WaitOrder, WaitingStream};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let stream = WaitingStream {
///     is_interrupted: false,
///     priority: 1,
///     objective: Duration::from_millis(500),
///     first_arrived: now,
///     silent_since: now,
///     deadline: now + Duration::from_secs(20),
/// };
/// assert_eq!(stream.order(now), WaitOrder::OnTime { priority: 1 });
/// assert_eq!(stream.on_time_until(), now + Duration::from_millis(350));
/// assert_eq!(stream.last_moment(), now + Duration::from_millis(1_400));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingStream {
    /// Whether it was interrupted in the middle of its answer.
    pub is_interrupted: bool,
    /// Priority of the customer or route, 0 first.
    pub priority: u8,
    /// Latency objective of the route.
    pub objective: Duration,
    /// When the caller first sent the request; before this attempt if it returns after a refusal.
    pub first_arrived: Instant,
    /// When the last event was sent to the caller, or this attempt of the request arrived.
    pub silent_since: Instant,
    /// End of the caller's deadline.
    pub deadline: Instant,
}

/// Order of a waiting stream among those of its service; the lowest is served first, and the first
/// to arrive among equals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitOrder {
    /// It was interrupted in the middle of its answer.
    Interrupted {
        /// Priority of the stream.
        priority: u8,
    },
    /// Its objective can still be met.
    OnTime {
        /// Priority of the stream.
        priority: u8,
    },
    /// Its objective has passed. The longest goes first, whose value falls the slowest.
    Late {
        /// Objective of the stream.
        objective: Reverse<Duration>,
        /// When its caller first sent it.
        first_arrived: Instant,
    },
}

/// Streams of a service over all hosts, from a recent exchange of loads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteQueue {
    /// Streams that wait at other hosts, by priority level.
    pub waiting_elsewhere: BTreeMap<u8, u32>,
    /// Those of them that can still be on time.
    pub on_time_elsewhere: BTreeMap<u8, u32>,
    /// Streams that get a path per second, at all hosts.
    pub started_per_s: f64,
}

/// Starts of a service that are free.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreeStarts {
    /// Number of streams that may still start.
    pub count: u64,
    /// Since when some have been free without a break, as far as this host has looked.
    pub since: Option<Instant>,
}

impl FreeStarts {
    /// Records how many starts are free.
    pub fn record(&mut self, count: u64, now: Instant) {
        self.count = count;
        self.since = (count > 0).then(|| self.since.unwrap_or(now));
    }
}

impl SiteQueue {
    /// Creates the queue from the demand at all hosts and at the other hosts, and from the number
    /// of streams at the other hosts that can still be on time.
    pub fn new(
        total: &PriorityDemand,
        elsewhere: &PriorityDemand,
        on_time_elsewhere: BTreeMap<u8, u32>,
    ) -> Self {
        Self {
            waiting_elsewhere: elsewhere.iter().map(|(level, it)| (*level, it.waiting)).collect(),
            on_time_elsewhere,
            started_per_s: total.values().map(|demand| demand.started_per_s).sum(),
        }
    }

    fn waiting(&self, levels: impl RangeBounds<u8>) -> u64 {
        self.waiting_elsewhere.range(levels).map(|(_, streams)| u64::from(*streams)).sum()
    }

    fn on_time(&self, levels: impl RangeBounds<u8>) -> u64 {
        self.on_time_elsewhere.range(levels).map(|(_, streams)| u64::from(*streams)).sum()
    }
}

impl WaitingStream {
    /// Longest wait for a path after which an answer can meet an objective.
    pub(crate) fn on_time_wait(objective: Duration) -> Duration {
        objective.mul_f64(WAIT_SHARE)
    }

    /// Until when the stream can get a path for an on-time answer.
    pub fn on_time_until(&self) -> Instant {
        self.moment(self.first_arrived, Self::on_time_wait(self.objective))
    }

    /// Until when the stream waits at most: its caller would give up before the first event of a
    /// path that is found later.
    pub fn last_moment(&self) -> Instant {
        if self.is_interrupted {
            return self.moment(self.silent_since, CALLER_TIMEOUT);
        }
        let give_up_time = self.objective.saturating_mul(GIVE_UP_OBJECTIVES).max(MIN_GIVE_UP_TIME);
        self.moment(self.silent_since, give_up_time.mul_f64(WAIT_SHARE))
    }

    /// From when on the stream takes any start of which others know: the midpoint between the moment
    /// at which it becomes late and its last moment. It bounds the time for which a forged total can
    /// hold it back.
    pub fn any_start_from(&self) -> Instant {
        let (late_from, last) = (self.on_time_until(), self.last_moment());
        late_from + last.saturating_duration_since(late_from) / 2
    }

    /// Order of the stream at the given time.
    pub fn order(&self, now: Instant) -> WaitOrder {
        let priority = self.priority;
        if self.is_interrupted {
            WaitOrder::Interrupted { priority }
        } else if now < self.on_time_until() {
            WaitOrder::OnTime { priority }
        } else {
            let objective = Reverse(self.objective);
            WaitOrder::Late { objective, first_arrived: self.first_arrived }
        }
    }

    /// When the order of the stream changes, if it still does.
    pub fn order_change(&self, now: Instant) -> Option<Instant> {
        let at = self.on_time_until();
        (!self.is_interrupted && now < at).then_some(at)
    }

    /// When the stream may find a start without any having become free: its order changes, or it
    /// takes any start from then on. Its last moment after that.
    pub fn next_change(&self, now: Instant) -> Instant {
        let any_start = (now < self.any_start_from()).then(|| self.any_start_from());
        let change = self.order_change(now).or(any_start).unwrap_or_else(|| self.last_moment());
        change.min(self.last_moment())
    }

    /// Whether the stream is late and takes any start of which others know.
    pub fn takes_any_start(&self, now: Instant) -> bool {
        matches!(self.order(now), WaitOrder::Late { .. }) && now >= self.any_start_from()
    }

    /// Expected wait. `ahead` streams of this host are served before it, and `interval` is the time
    /// between two streams of this host, which counts while no recent total is known.
    pub fn expected_wait(
        &self,
        ahead: u32,
        site: Option<&SiteQueue>,
        interval: Duration,
        now: Instant,
    ) -> Duration {
        let is_usable = |site: &&SiteQueue| {
            site.started_per_s.is_finite() && site.started_per_s >= MIN_STARTED_PER_S
        };
        let Some(site) = site.filter(is_usable) else { return interval.saturating_mul(ahead) };
        let elsewhere = match self.order(now) {
            WaitOrder::Interrupted { .. } => 0,
            WaitOrder::OnTime { priority } => site.waiting(..=known_level(priority)),
            WaitOrder::Late { .. } => site.waiting(..),
        };
        let seconds = (elsewhere + u64::from(ahead)) as f64 / site.started_per_s;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Whether the stream is refused at once, since its expected wait ends after the last moment
    /// until which it may wait.
    pub fn is_refused(&self, expected_wait: Duration, now: Instant) -> bool {
        now.checked_add(expected_wait).is_none_or(|end| end > self.last_moment())
    }

    /// Whether the stream leaves the free starts of the service to streams of other hosts that can
    /// still be on time: while it can be on time itself, to those of lower priority numbers; when it
    /// is late, to all of them. From [`any_start_from`](Self::any_start_from) on, it takes the starts
    /// that the others have not taken although they know of them.
    pub fn leaves_start(
        &self,
        free_starts: impl FnOnce() -> FreeStarts,
        site: Option<&SiteQueue>,
        now: Instant,
    ) -> bool {
        let Some(site) = site else { return false };
        let urgent = match self.order(now) {
            WaitOrder::Interrupted { .. } => 0,
            WaitOrder::OnTime { priority } => site.on_time(..known_level(priority)),
            WaitOrder::Late { .. } => site.on_time(..),
        };
        if urgent == 0 {
            return false;
        }
        let free = free_starts();
        free.count <= urgent && !(self.takes_any_start(now) && self.is_known_elsewhere(&free, now))
    }

    /// Whether the other hosts know of the free starts. A stream that has little time does not wait
    /// for that.
    fn is_known_elsewhere(&self, free: &FreeStarts, now: Instant) -> bool {
        let longest_wait = self.last_moment().saturating_duration_since(self.silent_since);
        longest_wait < START_NOTICE_TIME * 2
            || free.since.is_some_and(|at| now.saturating_duration_since(at) >= START_NOTICE_TIME)
    }

    /// A moment after another, at most the deadline.
    fn moment(&self, from: Instant, after: Duration) -> Instant {
        from.checked_add(after).map_or(self.deadline, |at| at.min(self.deadline))
    }
}

/// Number of streams that may still start at an endpoint with the given number of slots. `max_usage`
/// is the share of the slots at which no further stream starts there.
///
/// ```
/// use jacinthrock_entry::free_starts;
///
/// assert_eq!(free_starts(192, 100, 0.95), 82);
/// assert_eq!(free_starts(192, 182, 0.95), 0);
/// ```
pub fn free_starts(slots: u32, starts: u32, max_usage: f64) -> u32 {
    let most = (f64::from(slots) * max_usage).ceil() as u32;
    most.saturating_sub(1).saturating_sub(starts)
}
