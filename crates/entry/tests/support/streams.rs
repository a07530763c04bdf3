//! Waiting streams for tests.
#![allow(dead_code)]

use std::time::Duration;

use jacinthrock_entry::WaitingStream;
use tokio::time::Instant;

/// Time that callers give a stream.
pub(crate) const DEADLINE: Duration = Duration::from_secs(20);

pub(crate) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// First attempt of a stream.
pub(crate) fn new_stream(priority: u8, objective_ms: u64, arrived: Instant) -> WaitingStream {
    WaitingStream {
        is_interrupted: false,
        priority,
        objective: ms(objective_ms),
        first_arrived: arrived,
        silent_since: arrived,
        deadline: arrived + DEADLINE,
    }
}

/// A stream that returns `age` after its first attempt.
pub(crate) fn returned_stream(objective_ms: u64, arrived: Instant, age: Duration) -> WaitingStream {
    let first_arrived = arrived - age;
    WaitingStream {
        first_arrived,
        deadline: first_arrived + DEADLINE,
        ..new_stream(0, objective_ms, arrived)
    }
}
