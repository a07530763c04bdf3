//! Rate limit for streams of this host that start on paths between failure domains.
//!
//! When endpoints fail in every domain, no domain holds a whole copy of the model, and all hosts
//! switch to paths between domains at the same time. Each such stream first sends the activations
//! of its whole prompt over the inter-domain link, which occupies the link for about 40 ms. The
//! streams started within one load exchange interval would saturate the link for seconds and stall
//! every stream that uses it. Each host therefore keeps to its share of the link in each short
//! period; a share of less than one stream is granted by a random draw.
//!
//! [`CrossingQuota`] counts crossings, and [`LinkQuota`] bytes. The latter applies to services whose
//! streams have different priorities: when a whole domain is short of room, hundreds of streams look
//! for paths with several crossings at once, and each crossing has to be paid for.

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

/// Bytes that this host may still send between failure domains in this period, for new streams of
/// services with several priorities.
///
/// A path is admitted while any bytes are left, and debits all its crossings. What it overdraws is
/// debited from the following periods. What is left of a period is not carried over, since hosts
/// that saved up would all start streams at the same moment.
///
/// ```
/// use std::time::Duration;
///
/// use jacinthrock_entry::LinkQuota;
/// use tokio::time::Instant;
///
/// let (mut quota, now) = (LinkQuota::default(), Instant::now());
/// assert!(quota.allows_crossing(now, 2_000.0, 1_000, 0.5));
/// quota.debit(2_000);
/// assert!(!quota.allows_crossing(now + Duration::from_millis(500), 2_000.0, 1_000, 0.5));
/// assert!(quota.allows_crossing(now + Duration::from_millis(1_000), 2_000.0, 1_000, 0.5));
/// ```
#[derive(Debug, Default)]
pub struct LinkQuota {
    since: Option<Instant>,
    /// Bytes granted at the last renewal.
    granted: i64,
    /// Bytes left, or overdrawn if negative.
    balance: i64,
}

impl LinkQuota {
    /// Whether a stream may cross; renews the quota once the period is over. `bytes_per_s` is this
    /// host's share of the link, `stream_bytes` what the stream sends per crossing, `draw` a random
    /// number from 0 to 1. Without a limit, `bytes_per_s` is infinite.
    pub fn allows_crossing(
        &mut self,
        now: Instant,
        bytes_per_s: f64,
        stream_bytes: u64,
        draw: f64,
    ) -> bool {
        if bytes_per_s == f64::INFINITY || stream_bytes == 0 {
            return true;
        }
        let elapsed = self.since.map(|since| now.saturating_duration_since(since));
        let periods = elapsed.map_or(1.0, |elapsed| elapsed.div_duration_f64(QUOTA_PERIOD).floor());
        if periods >= 1.0 {
            let share = bytes_per_s.max(0.0) * QUOTA_PERIOD.as_secs_f64();
            self.renew(share, periods, stream_bytes, draw);
            self.since = Some(now);
        }
        self.balance > 0
    }

    /// Starts a period. The shares of all periods since the last renewal pay off the overdraft, and
    /// what remains of the present one is granted in whole streams.
    fn renew(&mut self, share: f64, periods: f64, stream_bytes: u64, draw: f64) {
        let overdraft = (-self.balance).max(0) as f64;
        let unpaid = (overdraft - share * (periods - 1.0)).max(0.0);
        let rest = share - unpaid;
        if rest <= 0.0 {
            (self.granted, self.balance) = (0, rest as i64);
            return;
        }
        let streams = rest / stream_bytes as f64;
        let streams = streams.floor() + f64::from(u8::from(draw < streams.fract()));
        self.granted = (streams * stream_bytes as f64) as i64;
        self.balance = self.granted;
    }

    /// Bytes left of the present period; negative if overdrawn.
    pub fn balance(&self) -> i64 {
        self.balance
    }

    /// Deducts what a path sends between failure domains.
    pub fn debit(&mut self, bytes: u64) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.balance = self.balance.saturating_sub(bytes);
    }

    /// Returns what was debited for a path that was not taken, up to the grant of the present period.
    pub fn credit(&mut self, bytes: u64) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.balance = self.balance.saturating_add(bytes).min(self.granted);
    }
}
