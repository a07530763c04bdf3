//! What a stopping host takes, and when it ends.

use std::time::Duration;

use jacinthrock_entry::{OtherHosts, StopPlan};
use tokio::time::Instant;

const GRACE: Duration = Duration::from_secs(8);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Whether a plan takes a stream whose request has just been received.
fn accepts_at(plan: &StopPlan, now: Instant, longest: Duration, is_resumable: bool) -> bool {
    plan.accepts_stream(now, now, longest, is_resumable)
}

/// Streams last up to 9 s and the grace is 8 s: none can be taken for certain.
#[test]
fn streams_that_outlast_the_grace_are_taken_only_right_after_the_signal() {
    let now = Instant::now();
    let plan = StopPlan::new(now, GRACE);
    assert!(accepts_at(&plan, now + seconds(2.8), seconds(9.0), true));
    assert!(!accepts_at(&plan, now + seconds(3.0), seconds(9.0), true));
    assert!(!accepts_at(&plan, now + seconds(1.0), seconds(9.0), false), "cannot be resumed");
}

/// A stream that was taken early stays so while it waits for a path.
#[test]
fn streams_are_early_by_when_they_were_received() {
    let now = Instant::now();
    let plan = StopPlan::new(now, GRACE);
    let later = now + seconds(3.2);
    assert!(plan.accepts_stream(now + seconds(2.8), later, seconds(9.0), true));
    assert!(!plan.accepts_stream(now + seconds(2.8), later, seconds(9.0), false));
    assert!(!plan.accepts_stream(now + seconds(3.0), later, seconds(4.5), true));
}

/// Hosts that are all out of rotation still get calls.
#[test]
fn short_work_is_taken_for_as_long_as_it_ends_in_time() {
    let now = Instant::now();
    let plan = StopPlan::new(now, GRACE);
    assert!(accepts_at(&plan, now + seconds(6.9), seconds(0.5), true));
    assert!(!accepts_at(&plan, now + seconds(7.1), seconds(0.5), true));
    assert!(plan.accepts_call(now + seconds(6.8), seconds(0.6)));
    assert!(!plan.accepts_call(now + seconds(7.0), seconds(0.6)));
    assert!(!plan.accepts_call(now + seconds(5.1), seconds(2.5)));
    assert!(plan.last_answer() < plan.exit() && plan.exit() < now + GRACE);
}

#[test]
fn host_ends_early_only_while_others_serve() {
    let now = Instant::now();
    let mut plan = StopPlan::new(now, GRACE);
    assert!(!plan.ends_listening(now + seconds(3.0)), "connections may still be on their way");
    assert!(!plan.may_exit(now + seconds(3.0)));
    assert!(plan.ends_listening(now + seconds(3.5)));
    plan.set_others(OtherHosts::Stop(None));
    assert!(!plan.ends_listening(now + seconds(7.0)));
    assert!(plan.may_exit(now + seconds(3.5)), "nothing is open");
}

/// Refused callers come back when the first of the hosts has started again, spread over some time.
#[test]
fn refused_callers_return_to_a_host_that_serves() {
    let now = Instant::now();
    let mut plan = StopPlan::new(now, GRACE);
    let at = now + seconds(4.0);
    assert!(plan.return_delay(at, 1.0) < seconds(0.5));
    let first_exit = now + seconds(5.5);
    plan.set_others(OtherHosts::Stop(Some(first_exit)));
    let (earliest, latest) = (at + plan.return_delay(at, 0.0), at + plan.return_delay(at, 1.0));
    assert!(earliest > first_exit + seconds(0.5), "restarting takes half a second");
    assert!(latest < first_exit + seconds(2.0));
    assert!(latest > earliest + seconds(0.3));
}

#[test]
fn short_grace_ends_before_the_host_is_out_of_rotation() {
    let now = Instant::now();
    let plan = StopPlan::new(now, Duration::from_secs(2));
    assert!(plan.closing() <= plan.exit() && plan.exit() < now + Duration::from_secs(2));
    assert!(plan.may_exit(plan.exit()));
}
