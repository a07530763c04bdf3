//! The wall clock, for what leaves the host; decisions use the runtime's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since 1970 by this host's wall clock.
pub(crate) fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
