//! What a host that is told to stop still takes, and when it ends.
//!
//! Answers to the load pattern of a rolling stop, of one host or of all at once: the load balancer
//! sends calls to a stopping host until it has missed two readiness checks, and for as long as too
//! few others are in rotation. Each call that the host takes must be whole before the process is
//! killed; each that it refuses should come back to a host that serves.

use std::time::Duration;

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
/// Retry-After while other hosts serve: the caller's next connection reaches one of them.
const OTHERS_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time over which the returns of refused callers are spread.
const RETURN_SPREAD: Duration = Duration::from_millis(400);
/// Time from the exit of a process until its host serves again.
const RESTART_TIME: Duration = Duration::from_millis(800);

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

    /// Time that a call to a plain service must have left if nothing is known of how long it takes:
    /// all are taken until the host is out of rotation.
    pub fn unknown_call_time(&self) -> Duration {
        self.last_answer().saturating_duration_since(self.closing())
    }

    /// Whether to take a call to a plain service that takes `longest` at most.
    pub fn accepts_call(&self, now: Instant, longest: Duration) -> bool {
        now + longest <= self.last_answer()
    }

    /// Whether to take a stream that lasts `longest` at most from now on and whose request was
    /// received at a time.
    pub fn accepts_stream(
        &self,
        received: Instant,
        now: Instant,
        longest: Duration,
        is_resumable: bool,
    ) -> bool {
        let is_early = is_resumable && received <= self.started + RESUMABLE_TIME;
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
