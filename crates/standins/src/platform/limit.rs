//! Rate limit on calls.

use tokio::time::Instant;

/// Token bucket with a capacity of one second's calls.
pub struct RateLimit {
    per_second: f64,
    available: f64,
    refilled_at: Instant,
}

impl RateLimit {
    /// Creates a full bucket.
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second: f64::from(per_second),
            available: f64::from(per_second),
            refilled_at: now,
        }
    }

    /// Takes one call from the bucket; false if it is empty.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let refill = (now - self.refilled_at).as_secs_f64() * self.per_second;
        self.available = (self.available + refill).min(self.per_second);
        self.refilled_at = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
