//! Looks at the heartbeat of the thread that runs all tasks.

use std::time::Duration;

use jacinthrock::{MetricName, MetricRegistry};
use jacinthrock_entry::{HeartbeatWatcher, LookFinding, LoopHeartbeat};

#[test]
fn stall_is_reported_once_with_its_end() {
    let mut watcher = HeartbeatWatcher::default();
    let findings: Vec<_> =
        [25, 50, 50, 50, 50, 50, 75, 100].iter().map(|beats| watcher.look(*beats)).collect();
    let unchanged = LookFinding::Unchanged;
    let stalled = LookFinding::Stalled(Duration::from_millis(1_500));
    let resumed = LookFinding::Resumed(Duration::from_secs(2));
    assert_eq!(
        findings,
        [unchanged, unchanged, unchanged, unchanged, stalled, unchanged, resumed, unchanged]
    );
}

#[test]
fn single_silent_looks_are_no_stall() {
    let mut watcher = HeartbeatWatcher::default();
    for look in 0..40 {
        assert_eq!(watcher.look(1 + look / 2), LookFinding::Unchanged);
    }
}

/// The thread that beats is blocked in this test, as by a lock that is never released.
#[test]
fn blocked_thread_is_counted_from_outside() {
    let (heartbeat, metrics) = (LoopHeartbeat::default(), MetricRegistry::new());
    heartbeat.watch(metrics.clone()).expect("a thread");
    heartbeat.beat();
    std::thread::sleep(Duration::from_millis(3_200));
    assert_eq!(metrics.value(MetricName::LoopStalls, &[]), 1);
}
