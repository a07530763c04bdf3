//! Detects from a thread of its own that the thread that runs everything else stands still.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use jacinthrock::{MetricName, MetricRegistry};

/// Interval between two looks at the heartbeat.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Looks without a beat after which the thread stands still. A host that was suspended wakes up in
/// the middle of an interval, in which there may have been no beat.
const MAX_SILENT_LOOKS: u32 = 3;

/// Counter of the beats of the thread that runs all tasks.
#[derive(Clone, Debug, Default)]
pub struct LoopHeartbeat {
    beats: Arc<AtomicU64>,
}

/// What a look at the heartbeat has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookFinding {
    /// Nothing new.
    Unchanged,
    /// The thread stands still, for this long at least.
    Stalled(Duration),
    /// The thread runs again, after about this long.
    Resumed(Duration),
}

/// Looks at a heartbeat at regular intervals.
#[derive(Debug, Default)]
pub struct HeartbeatWatcher {
    last_beats: u64,
    silent_looks: u32,
}

impl LoopHeartbeat {
    /// Records a beat.
    pub fn beat(&self) {
        self.beats.fetch_add(1, Ordering::Relaxed);
    }

    /// Starts a thread that logs and counts when the beats stop, until the process ends.
    pub fn watch(&self, metrics: MetricRegistry) -> std::io::Result<()> {
        let beats = self.beats.clone();
        let look = move || {
            let mut watcher = HeartbeatWatcher::default();
            loop {
                thread::sleep(LOOK_INTERVAL);
                match watcher.look(beats.load(Ordering::Relaxed)) {
                    LookFinding::Unchanged => {}
                    LookFinding::Stalled(time) => {
                        metrics.count(MetricName::LoopStalls, &[]);
                        log::error!(
                            event = "loop_stalled", stalled_ms = time.as_millis() as u64;
                            "event loop stands still"
                        );
                    }
                    LookFinding::Resumed(time) => log::warn!(
                        event = "loop_resumed", stalled_ms = time.as_millis() as u64;
                        "event loop runs again"
                    ),
                }
            }
        };
        thread::Builder::new().name("heartbeat".into()).spawn(look).map(drop)
    }
}

impl HeartbeatWatcher {
    /// Takes the number of beats so far, one look interval after the last look.
    ///
    /// ```
    /// use jacinthrock_entry::{HeartbeatWatcher, LookFinding};
    ///
    /// let mut watcher = HeartbeatWatcher::default();
    /// assert_eq!(watcher.look(25), LookFinding::Unchanged);
    /// ```
    pub fn look(&mut self, beats: u64) -> LookFinding {
        let silent_time = LOOK_INTERVAL * self.silent_looks;
        if beats != self.last_beats {
            self.last_beats = beats;
            let was_stalled = self.silent_looks >= MAX_SILENT_LOOKS;
            self.silent_looks = 0;
            return if was_stalled {
                LookFinding::Resumed(silent_time)
            } else {
                LookFinding::Unchanged
            };
        }
        self.silent_looks += 1;
        if self.silent_looks == MAX_SILENT_LOOKS {
            LookFinding::Stalled(LOOK_INTERVAL * MAX_SILENT_LOOKS)
        } else {
            LookFinding::Unchanged
        }
    }
}
