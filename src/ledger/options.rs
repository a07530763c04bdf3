//! Sizes and times of the ledger.

use std::time::Duration;

/// Protection of the ledger that a test switches off to show that its checker notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LedgerGuard {
    /// Grants a claim only after its write was confirmed.
    WriteBeforeGrant,
    /// Reads the page back after a write whose reply was lost, instead of taking it for done.
    ReadBack,
    /// Decides again after a conflict, instead of writing the old decision over the new page.
    DecideAgain,
    /// Keeps an unknown outcome for good, instead of letting the key be claimed again.
    UnknownIsFinal,
    /// Leaves a dead holder's claim in place, instead of handing it to the next caller.
    DeadHolderKeepsClaim,
    /// Reads the floor after a page was created, so that a deleted page is not used anew.
    FloorCheck,
}

/// Sizes and times of the ledger; every host must use the same `page_span` and `shards`.
#[derive(Clone, Debug)]
pub struct LedgerOptions {
    /// Time of keys that share a page.
    pub page_span: Duration,
    /// Pages for each span.
    pub shards: u32,
    /// Age up to which a key is accepted.
    pub window: Duration,
    /// How far a key's time may lie ahead, and how long a page outlives the window.
    pub clock_margin: Duration,
    /// Size from which a page takes no further claims, in bytes.
    pub full_page_bytes: usize,
    /// Size that a page never exceeds, in bytes; stored answers are left out before.
    pub max_page_bytes: usize,
    /// Longest answer that is stored, in bytes.
    pub max_response_bytes: usize,
    /// Longest time to record a claim.
    pub claim_timeout: Duration,
    /// Longest time to record a settlement, also while the platform is down.
    pub settle_timeout: Duration,
    /// Time that a settlement waits for others to share its write.
    pub settle_linger: Duration,
    /// Time without an answer after which a platform call counts as ambiguous.
    pub call_timeout: Duration,
    /// First wait after a failed platform call; doubles with each failure.
    pub initial_backoff: Duration,
    /// Longest wait after a failed platform call.
    pub max_backoff: Duration,
    /// Time between a host's writes of a page after one conflict; doubles with each further one
    /// and shrinks with each write that meets none.
    pub initial_write_interval: Duration,
    /// Longest time between a host's writes of a page because of conflicts.
    pub max_write_interval: Duration,
    /// Age from which a page that other hosts write too is read again before a write.
    pub stale_after: Duration,
    /// Time past its deadline after which a claim is given up although its holder is alive.
    pub abandon_after: Duration,
    /// Pages that a host keeps in memory.
    pub max_cached_pages: usize,
    /// Seed of the jitter in waits.
    pub jitter_seed: u64,
    /// Protection that is switched off; only for tests.
    pub disabled: Option<LedgerGuard>,
}

impl Default for LedgerOptions {
    fn default() -> Self {
        Self {
            page_span: Duration::from_secs(1),
            shards: 4,
            window: Duration::from_secs(24 * 60 * 60),
            clock_margin: Duration::from_secs(60),
            full_page_bytes: 256 * 1024,
            max_page_bytes: 768 * 1024,
            max_response_bytes: 4 * 1024,
            claim_timeout: Duration::from_secs(1),
            settle_timeout: Duration::from_secs(600),
            settle_linger: Duration::from_millis(20),
            call_timeout: Duration::from_millis(500),
            initial_backoff: Duration::from_millis(10),
            max_backoff: Duration::from_secs(2),
            initial_write_interval: Duration::from_millis(10),
            max_write_interval: Duration::from_millis(160),
            stale_after: Duration::from_millis(2),
            abandon_after: Duration::from_secs(60),
            max_cached_pages: 256,
            jitter_seed: 0,
            disabled: None,
        }
    }
}

impl LedgerOptions {
    pub(crate) fn is_enabled(&self, guard: LedgerGuard) -> bool {
        self.disabled != Some(guard)
    }
}
