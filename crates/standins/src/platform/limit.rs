//! Limit on calls in a second.

use tokio::time::Instant;

/// A token bucket that holds the calls of one second.
pub struct RateLimit {
    per_second: f64,
    left: f64,
    refilled: Instant,
}

impl RateLimit {
    /// A full bucket.
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self { per_second: f64::from(per_second), left: f64::from(per_second), refilled: now }
    }

    /// Takes one call out of the bucket; false where none is left.
    pub fn take(&mut self, now: Instant) -> bool {
        let refill = (now - self.refilled).as_secs_f64() * self.per_second;
        self.left = (self.left + refill).min(self.per_second);
        self.refilled = now;
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
