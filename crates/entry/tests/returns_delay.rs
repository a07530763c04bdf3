//! Delays after which refused callers come back.

use jacinthrock_entry::{ReturnSchedule, ReturnSchedules};
use std::time::Duration;
use tokio::time::Instant;

const REMAINING: Duration = Duration::from_secs(20);
/// Interval between two arrivals on one host.
const ARRIVAL: Duration = Duration::from_millis(100);

/// Replays ten seconds in which nine of ten streams are refused. A caller that comes back before the
/// shortage ends is refused again, and does not come back once more.
#[tokio::test(start_paused = true)]
async fn callers_of_a_long_shortage_come_back_after_it() {
    let (mut schedule, start) = (ReturnSchedule::default(), Instant::now());
    let shortage = Duration::from_secs(10);
    let (mut refused, mut returned_early) = (0, 0);
    for arrival in 0..100_u32 {
        let now = start + ARRIVAL * arrival;
        if arrival % 10 == 0 {
            schedule.record_served(now);
            continue;
        }
        schedule.record_refused(now);
        refused += 1;
        let factor = 1.0 + f64::from(arrival % 7) / 7.0;
        let back = now + schedule.delay(now, REMAINING).mul_f64(factor);
        returned_early += u32::from(back < start + shortage);
    }
    let share = f64::from(returned_early) / f64::from(refused);
    assert!(share < 0.66, "{share:.2} of the callers come back within the shortage");
}

#[tokio::test(start_paused = true)]
async fn caller_of_a_single_refusal_comes_back_early() {
    let (mut schedule, start) = (ReturnSchedule::default(), Instant::now());
    for arrival in 0..50 {
        schedule.record_served(start + ARRIVAL * arrival);
    }
    let now = start + ARRIVAL * 50;
    schedule.record_refused(now);
    assert!(schedule.delay(now, REMAINING) < Duration::from_millis(1_200));
}

#[tokio::test(start_paused = true)]
async fn shortage_is_forgotten() {
    let (mut schedule, start) = (ReturnSchedule::default(), Instant::now());
    for _ in 0..50 {
        schedule.record_refused(start);
    }
    let later = start + Duration::from_secs(10);
    (0..5).for_each(|_| schedule.record_served(later));
    assert!(schedule.delay(later, REMAINING) < Duration::from_millis(1_200));
}

/// Callers wait for a third of their time at most, and give up otherwise.
#[tokio::test(start_paused = true)]
async fn delay_fits_into_the_time_that_callers_have_left() {
    let (mut schedule, now) = (ReturnSchedule::default(), Instant::now());
    schedule.record_refused(now);
    let remaining = Duration::from_secs(9);
    assert!(schedule.delay(now, remaining) * 2 <= remaining / 3);
}

/// Guards against callers of other services that are told to come back later because admission
/// refuses streams of one service.
#[tokio::test(start_paused = true)]
async fn refusals_by_admission_lengthen_no_delay_of_other_services() {
    let (mut schedules, now) = (ReturnSchedules::default(), Instant::now());
    let services = [("a", true), ("b", true), ("c", false), ("d", false)];
    for (service, has_priorities) in services {
        schedules.get_mut(&service.into(), has_priorities).record_served(now);
    }
    let mut delays = |refused: u32| {
        for _ in 0..refused {
            schedules.get_mut(&"a".into(), true).record_refused(now);
        }
        services.map(|(service, has_priorities)| {
            schedules.get_mut(&service.into(), has_priorities).delay(now, REMAINING)
        })
    };
    let (before, after) = (delays(0), delays(20));
    assert!(after[0] > before[0]);
    assert_eq!(after[1..], before[1..]);
}

/// A forged total may claim any wait: callers must come back all the same.
#[tokio::test(start_paused = true)]
async fn delay_with_any_wait_fits_into_the_time_that_callers_have_left() {
    let (mut schedule, now) = (ReturnSchedule::default(), Instant::now());
    let short = Duration::from_millis(300);
    assert_eq!(schedule.delay_with_wait(now, REMAINING, short), Duration::from_millis(1_200));
    for wait in [Duration::from_secs(10), Duration::MAX] {
        assert!(schedule.delay_with_wait(now, REMAINING, wait) * 2 <= REMAINING / 3);
    }
}
