//! Options of the ledger.

use std::time::Duration;

/// Safety rule of the ledger that a test disables to prove that its checker detects the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LedgerRule {
    /// Grants a claim only after its write is confirmed.
    WriteBeforeGrant,
    /// Reads the page back after a write whose reply was lost, instead of assuming success.
    ReadBack,
    /// Decides again after a conflict, instead of overwriting the new page with the old decision.
    DecideAgain,
    /// Refuses a key with an unknown outcome for good, instead of granting it again.
    UnknownIsFinal,
    /// Marks the outcome of a dead holder's claim as unknown, instead of granting the key to the
    /// next caller.
    DeadHolderKeepsClaim,
    /// Reads the floor after a page is created, so that a deleted page is not reused.
    FloorCheck,
}

/// Options of the ledger; every host must use the same `page_span` and `shards`.
#[derive(Clone, Debug)]
pub struct LedgerOptions {
    /// Length of a time bucket; keys of one bucket share its pages.
    pub page_span: Duration,
    /// Number of pages per bucket.
    pub shards: u32,
    /// Maximum age of an accepted key.
    pub window: Duration,
    /// Allowance for clock skew: how far a key's timestamp may lie in the future, and how long a
    /// page is kept past the window.
    pub clock_margin: Duration,
    /// Page size from which new claims are refused, in bytes.
    pub full_page_bytes: usize,
    /// Page size above which stored response bodies are dropped, in bytes.
    pub max_page_bytes: usize,
    /// Largest response body that is stored, in bytes.
    pub max_response_bytes: usize,
    /// Timeout for recording a claim.
    pub claim_timeout: Duration,
    /// Timeout for recording a settlement; it also covers platform outages.
    pub settle_timeout: Duration,
    /// Delay of a settlement's write, so that other settlements can share it.
    pub settle_linger: Duration,
    /// Time without a reply after which a platform call counts as ambiguous.
    pub call_timeout: Duration,
    /// Backoff after a first failed platform call; doubles with each further failure.
    pub initial_backoff: Duration,
    /// Maximum backoff after failed platform calls.
    pub max_backoff: Duration,
    /// Minimum interval between a host's writes of a page after a first conflict; doubles with
    /// each further conflict and shrinks with each write without one.
    pub initial_write_interval: Duration,
    /// Upper limit of that interval.
    pub max_write_interval: Duration,
    /// Age from which a cached page that other hosts also write is read again before a write.
    pub stale_after: Duration,
    /// Time past its deadline after which a claim is abandoned even if its holder is alive.
    pub abandon_after: Duration,
    /// Number of cached pages at which a host starts to evict idle ones.
    pub max_cached_pages: usize,
    /// Seed of the random jitter in delays.
    pub jitter_seed: u64,
    /// Safety rule to disable; only for tests.
    pub disabled: Option<LedgerRule>,
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
    pub(crate) fn is_enabled(&self, rule: LedgerRule) -> bool {
        self.disabled != Some(rule)
    }
}
