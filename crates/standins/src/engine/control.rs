//! Fault injection through the engine's control API.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

use jacinthrock::TokenPosition;

/// Active faults; a call to `/control/faults` replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Time from the call during which every step is suspended, in milliseconds.
    pub freeze_ms: u64,
    /// Extra time per token, in microseconds.
    pub extra_us_per_token: u64,
    /// Position at which the stage fails once.
    pub fail_at_position: Option<TokenPosition>,
    /// Version that the stage reports instead of its own.
    pub lie_version: Option<Box<str>>,
}

/// Active faults and the end of the freeze that they started.
pub(crate) struct FaultState {
    faults: EngineFaults,
    frozen_until: Instant,
}

impl FaultState {
    pub(crate) fn new(now: Instant) -> Self {
        Self { faults: EngineFaults::default(), frozen_until: now }
    }

    pub(crate) fn replace(&mut self, faults: EngineFaults, now: Instant) {
        self.frozen_until = now + Duration::from_millis(faults.freeze_ms);
        self.faults = faults;
    }

    pub(crate) fn frozen_until(&self) -> Instant {
        self.frozen_until
    }

    pub(crate) fn extra_per_token(&self) -> Duration {
        Duration::from_micros(self.faults.extra_us_per_token)
    }

    pub(crate) fn reported_version<'a>(&'a self, version: &'a str) -> &'a str {
        self.faults.lie_version.as_deref().unwrap_or(version)
    }

    /// Returns whether the stage fails at a position, and clears that fault.
    pub(crate) fn take_failure(&mut self, position: TokenPosition) -> bool {
        let fails = self.faults.fail_at_position == Some(position);
        if fails {
            self.faults.fail_at_position = None;
        }
        fails
    }
}
