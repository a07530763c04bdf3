//! What a host that is told to stop still takes, and when it ends.
//!
//! Answers to the load pattern of a rolling stop, of one host or of all at once: the load balancer
//! sends calls to a stopping host until it has missed two readiness checks, and for as long as too
//! few others are in rotation. Each call that the host takes must be whole before the process is
//! killed; each that it refuses should come back to a host that serves.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use jacinthrock::ServiceName;
use tokio::time::Instant;

/// Time after SIGTERM for which connections stay open. The readiness check is polled once per
/// second, and two failures take the host out of rotation.
const ROTATION_DELAY: Duration = Duration::from_millis(2_600);
/// Time after SIGTERM in which any stream that can be resumed is taken: a caller whose stream
/// breaks off at the end resumes it at another host.
const RESUMABLE_TIME: Duration = Duration::from_millis(2_900);
/// Time after SIGTERM until which connections may still arrive that the load balancer chose before
/// it took the host out of rotation.
const MIN_TIME: Duration = Duration::from_millis(3_200);
/// Time before the expected SIGKILL at which the process exits by itself.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Time before the exit at which every call must be answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Time that a call to a plain service must have at least; most take a tenth of it.
const MIN_CALL_TIME: Duration = Duration::from_millis(600);
/// Retry-After while other hosts serve: the caller's next connection reaches one of them.
const OTHERS_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time over which the returns of refused callers are spread.
const RETURN_SPREAD: Duration = Duration::from_millis(400);
/// Time from the exit of a process until its host serves again.
const RESTART_TIME: Duration = Duration::from_millis(800);
/// Streams or calls of a service whose times are kept.
const KEPT_TIMES: usize = 256;
/// Ratio of the time that a stream or a call is expected to take at most to the longest that was
/// seen.
const TIME_MARGIN: f64 = 1.25;
/// Quantile of the times per token that streams are expected to take; the lengths that callers name
/// are estimates.
const TOKEN_TIME_QUANTILE: f64 = 0.9;
/// Longest time of a stream until streams have ended for as long: those that end in the first
/// seconds of a process are the short ones.
const UNKNOWN_STREAM_TIME: Duration = Duration::from_secs(20);

/// Whether other hosts take calls while this host stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherHosts {
    /// Some take calls.
    Serve,
    /// All stop too. The first of them exits at this time, if it is known.
    Stop(Option<Instant>),
}

/// Plan of a stop.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    started: Instant,
    exit: Instant,
    others: OtherHosts,
}

impl StopPlan {
    /// Plans a stop that began at a time, with SIGKILL after `grace`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthrock_entry::StopPlan;
    /// use tokio::time::Instant;
    ///
    /// let plan = StopPlan::new(Instant::now(), Duration::from_secs(8));
    /// let longest = Duration::from_millis(600);
    /// assert!(plan.accepts_call(Instant::now(), longest));
    /// assert!(!plan.accepts_call(Instant::now() + Duration::from_secs(7), longest));
    /// ```
    pub fn new(started: Instant, grace: Duration) -> Self {
        let exit = started + grace.saturating_sub(KILL_MARGIN);
        Self { started, exit, others: OtherHosts::Serve }
    }

    /// Sets whether other hosts take calls.
    pub fn set_others(&mut self, others: OtherHosts) {
        self.others = others;
    }

    /// When connections close after their next answer, since the host is out of rotation.
    pub fn closing(&self) -> Instant {
        (self.started + ROTATION_DELAY).min(self.exit)
    }

    /// When the process exits at the latest.
    pub fn exit(&self) -> Instant {
        self.exit
    }

    /// When every call must be answered.
    pub fn last_answer(&self) -> Instant {
        self.exit - ANSWER_MARGIN
    }

    /// Whether to take a call to a plain service that takes `longest` at most.
    pub fn accepts_call(&self, now: Instant, longest: Duration) -> bool {
        now + longest <= self.last_answer()
    }

    /// Whether to take a stream that lasts `longest` at most.
    pub fn accepts_stream(&self, now: Instant, longest: Duration, is_resumable: bool) -> bool {
        let is_early = is_resumable && now <= self.started + RESUMABLE_TIME;
        is_early || now + longest <= self.last_answer()
    }

    /// Whether to stop listening: a caller whose connection is refused connects to another host at
    /// once.
    pub fn ends_listening(&self, now: Instant) -> bool {
        self.others == OtherHosts::Serve && now >= self.started + MIN_TIME
    }

    /// Whether the process may exit when nothing is open.
    pub fn may_exit(&self, now: Instant) -> bool {
        now >= self.exit || now >= self.started + MIN_TIME
    }

    /// Delay after which a refused caller should come back: until another host or the first that
    /// restarts takes calls. `draw` is a random number from 0 to 1 that spreads the callers.
    pub fn return_delay(&self, now: Instant, draw: f64) -> Duration {
        let earliest = match self.others {
            OtherHosts::Serve => OTHERS_RETRY_AFTER,
            OtherHosts::Stop(first) => {
                let exit = first.map_or(self.exit, |first| first.min(self.exit));
                (exit + RESTART_TIME).saturating_duration_since(now)
            }
        };
        earliest + RETURN_SPREAD.mul_f64(draw)
    }
}

/// Times of the latest streams of each service.
#[derive(Debug, Default)]
pub struct StreamTimes {
    by_service: BTreeMap<ServiceName, ServiceTimes>,
}

#[derive(Debug)]
struct ServiceTimes {
    since: Instant,
    latest: VecDeque<StreamTime>,
}

/// Time of a stream that has ended.
#[derive(Clone, Copy, Debug)]
struct StreamTime {
    time: Duration,
    /// Output tokens that its request named, 0 if it named none.
    tokens: u32,
}

impl StreamTimes {
    /// Records the time of a stream whose request named no length.
    pub fn record(&mut self, service: &str, time: Duration, now: Instant) {
        self.record_sized(service, time, 0, now);
    }

    /// Records the time of a stream that has ended, with the output tokens that its request named.
    pub fn record_sized(&mut self, service: &str, time: Duration, tokens: u32, now: Instant) {
        let times = self.by_service.entry(service.into());
        let times = times.or_insert_with(|| ServiceTimes { since: now, latest: VecDeque::new() });
        push_latest(&mut times.latest, StreamTime { time, tokens });
    }

    /// Longest time that a stream is expected to take.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthrock_entry::StreamTimes;
    /// use tokio::time::Instant;
    ///
    /// let mut times = StreamTimes::default();
    /// let now = Instant::now();
    /// times.record("guide", Duration::from_secs(2), now);
    /// let later = now + Duration::from_secs(60);
    /// assert_eq!(times.longest("guide", later), Duration::from_millis(2_500));
    /// ```
    pub fn longest(&self, service: &str, now: Instant) -> Duration {
        let times = self.by_service.get(service);
        let known =
            times.filter(|times| now.saturating_duration_since(times.since) >= UNKNOWN_STREAM_TIME);
        let longest = known.and_then(|times| times.latest.iter().map(|it| it.time).max());
        longest.map_or(UNKNOWN_STREAM_TIME, |time| time.mul_f64(TIME_MARGIN))
    }

    /// Longest time that a stream is expected to take whose request names a number of output tokens,
    /// 0 for none: it may be longer than all that were seen.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthrock_entry::StreamTimes;
    /// use tokio::time::Instant;
    ///
    /// let mut times = StreamTimes::default();
    /// let now = Instant::now();
    /// times.record_sized("guide", Duration::from_secs(1), 40, now);
    /// let later = now + Duration::from_secs(60);
    /// assert_eq!(times.longest_sized("guide", 20, later), Duration::from_millis(1_250));
    /// assert_eq!(times.longest_sized("guide", 200, later), Duration::from_millis(6_250));
    /// ```
    pub fn longest_sized(&self, service: &str, tokens: u32, now: Instant) -> Duration {
        let token_time =
            self.by_service.get(service).map_or(Duration::ZERO, ServiceTimes::token_time);
        let sized = (token_time * tokens).mul_f64(TIME_MARGIN);
        self.longest(service, now).max(sized)
    }
}

impl ServiceTimes {
    /// Time per output token of streams of the mean length or more; in short streams, the wait for
    /// the first token counts for most.
    fn token_time(&self) -> Duration {
        let sized: Vec<_> = self.latest.iter().filter(|it| it.tokens > 0).collect();
        let total: u64 = sized.iter().map(|it| u64::from(it.tokens)).sum();
        let count = sized.len() as u64;
        let long = sized.iter().filter(|it| u64::from(it.tokens) * count >= total);
        let mut times: Vec<_> = long.map(|it| it.time / it.tokens).collect();
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        let index = (last as f64 * TOKEN_TIME_QUANTILE).round() as usize;
        times.get(index).copied().unwrap_or_default()
    }
}

/// Times of the latest calls to each plain service.
#[derive(Debug, Default)]
pub struct CallTimes {
    by_service: BTreeMap<ServiceName, VecDeque<Duration>>,
}

impl CallTimes {
    /// Records the time that a call took until its answer was complete.
    pub fn record(&mut self, service: &str, time: Duration) {
        if let Some(latest) = self.by_service.get_mut(service) {
            push_latest(latest, time);
        } else {
            self.by_service.insert(service.into(), VecDeque::from([time]));
        }
    }

    /// Longest time that a call is expected to take.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthrock_entry::CallTimes;
    ///
    /// let mut times = CallTimes::default();
    /// assert_eq!(times.longest("desk"), Duration::from_millis(600));
    /// times.record("desk", Duration::from_secs(2));
    /// assert_eq!(times.longest("desk"), Duration::from_millis(2_500));
    /// ```
    pub fn longest(&self, service: &str) -> Duration {
        let longest = self.by_service.get(service).and_then(|latest| latest.iter().max());
        longest.map_or(MIN_CALL_TIME, |time| time.mul_f64(TIME_MARGIN).max(MIN_CALL_TIME))
    }
}

/// Adds a time to the latest ones.
fn push_latest<T>(latest: &mut VecDeque<T>, time: T) {
    if latest.len() >= KEPT_TIMES {
        latest.pop_front();
    }
    latest.push_back(time);
}
