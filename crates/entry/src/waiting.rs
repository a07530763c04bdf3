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

use crate::demand::{PriorityDemand, level_of};

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
    /// Streams that get a path per second, at all hosts.
    pub started_per_s: f64,
}

impl SiteQueue {
    /// Creates the queue from the demand at all hosts and at the other hosts.
    pub fn new(total: &PriorityDemand, elsewhere: &PriorityDemand) -> Self {
        Self {
            waiting_elsewhere: elsewhere.iter().map(|(level, it)| (*level, it.waiting)).collect(),
            started_per_s: total.values().map(|demand| demand.started_per_s).sum(),
        }
    }

    fn waiting(&self, levels: impl RangeBounds<u8>) -> u64 {
        self.waiting_elsewhere.range(levels).map(|(_, streams)| u64::from(*streams)).sum()
    }
}

impl WaitingStream {
    /// Until when the stream can get a path for an on-time answer.
    pub fn on_time_until(&self) -> Instant {
        self.moment(self.first_arrived, self.objective.mul_f64(WAIT_SHARE))
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
            WaitOrder::OnTime { priority } => site.waiting(..=level_of(priority)),
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

    /// Whether the stream leaves the free starts of the service to more urgent streams of other
    /// hosts. Once it can no longer wait for an on-time answer, it takes any.
    pub fn leaves_start(
        &self,
        free_starts: impl FnOnce() -> u64,
        site: Option<&SiteQueue>,
        now: Instant,
    ) -> bool {
        let (WaitOrder::OnTime { priority }, Some(site)) = (self.order(now), site) else {
            return false;
        };
        let urgent = site.waiting(..level_of(priority));
        urgent > 0 && free_starts() <= urgent
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
