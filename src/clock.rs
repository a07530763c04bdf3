//! Wall clock, for timestamps that leave the host; decisions use the runtime's monotonic clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the time since the Unix epoch by this host's wall clock; zero if the clock is set to an
/// earlier time.
pub(crate) fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
