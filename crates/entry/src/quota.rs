//! Rate limit for streams of this host that start on paths between failure domains.
//!
//! When endpoints fail in every domain, no domain holds a whole copy of the model, and all hosts
//! switch to paths between domains at the same time. Each such stream first sends the activations
//! of its whole prompt over the inter-domain link, which occupies the link for about 40 ms. The
//! streams started within one load exchange interval would saturate the link for seconds and stall
//! every stream that uses it. Each host therefore keeps to its share of the link in each short
//! period; a share of less than one stream is granted by a random draw.

use std::time::Duration;

use tokio::time::Instant;

/// Period after which the quota is renewed; callers wait as long for a first event.
const QUOTA_PERIOD: Duration = Duration::from_millis(500);

/// Number of crossings between failure domains that this host may still start in this period.
///
/// ```
/// use jacinthrock_entry::CrossingQuota;
/// use tokio::time::Instant;
///
/// let mut quota = CrossingQuota::default();
/// let now = Instant::now();
/// assert!(quota.allows_crossing(now, 2.0, 0.5));
/// quota.consume(1);
/// assert!(!quota.allows_crossing(now, 2.0, 0.5));
/// ```
#[derive(Debug, Default)]
pub struct CrossingQuota {
    since: Option<Instant>,
    left: u32,
}

impl CrossingQuota {
    /// Whether a stream may cross; renews the quota once the period is over. `per_s` is this host's
    /// share of the link in crossings per second, `draw` a random number from 0 to 1.
    pub fn allows_crossing(&mut self, now: Instant, per_s: f64, draw: f64) -> bool {
        let is_over = self.since.is_none_or(|since| now - since >= QUOTA_PERIOD);
        if is_over {
            let share = per_s * QUOTA_PERIOD.as_secs_f64();
            self.left = share.floor() as u32 + u32::from(draw < share.fract());
            self.since = Some(now);
        }
        self.left > 0
    }

    /// Deducts the crossings of a path from the quota.
    pub fn consume(&mut self, crossings: usize) {
        self.left = self.left.saturating_sub(u32::try_from(crossings).unwrap_or(u32::MAX));
    }
}
