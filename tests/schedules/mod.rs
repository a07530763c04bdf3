//! Number of seeded schedules that a test runs.

/// The share for CI, or what `JACINTHROCK_SCHEDULES` says.
pub(crate) fn schedule_count(share: u64) -> u64 {
    let asked = std::env::var("JACINTHROCK_SCHEDULES").ok();
    asked.and_then(|count| count.parse().ok()).unwrap_or(share)
}
