//! How many of this host's streams may begin on paths between failure domains.
//!
//! Load pattern: endpoints die in each domain, no domain holds a whole copy of the model, and all
//! hosts turn to paths between domains at the same moment. Each such stream sends its whole prompt
//! through the pipe at once, some 40 ms of it, so that the streams of one exchange of loads fill it
//! for seconds, and every stream that crosses falls silent. Each host keeps to its share of the pipe
//! second by second; a share of less than one stream is drawn by chance.

use std::time::Duration;

use tokio::time::Instant;

/// Time for which tickets are handed out: as long as callers wait for a first event.
const TICKET_PERIOD: Duration = Duration::from_millis(500);

/// Tickets for paths between failure domains.
///
/// ```
/// use jacinthrock_entry::CrossingTickets;
/// use tokio::time::Instant;
///
/// let mut tickets = CrossingTickets::default();
/// let now = Instant::now();
/// assert!(tickets.is_left(now, 2.0, 0.5));
/// tickets.take(1);
/// assert!(!tickets.is_left(now, 2.0, 0.5));
/// ```
#[derive(Debug, Default)]
pub struct CrossingQuota {
    since: Option<Instant>,
    left: u32,
}

impl CrossingQuota {
    /// Whether a stream may cross; `per_s` is this host's share of the pipe in crossings a second,
    /// `draw` a random number from 0 to 1.
    pub fn allows_crossing(&mut self, now: Instant, per_s: f64, draw: f64) -> bool {
        let is_over = self.since.is_none_or(|since| now - since >= TICKET_PERIOD);
        if is_over {
            let share = per_s * TICKET_PERIOD.as_secs_f64();
            self.left = share.floor() as u32 + u32::from(draw < share.fract());
            self.since = Some(now);
        }
        self.left > 0
    }

    /// Uses tickets for the crossings of a path.
    pub fn take(&mut self, crossings: usize) {
        self.left = self.left.saturating_sub(u32::try_from(crossings).unwrap_or(u32::MAX));
    }
}
