//! Number of seeded schedules per test.

/// Returns the value of `JACINTHROCK_SCHEDULES`, or `default_count` (used in CI) if it is not set.
pub(crate) fn schedule_count(default_count: u64) -> u64 {
    let requested = std::env::var("JACINTHROCK_SCHEDULES").ok();
    requested.and_then(|count| count.parse().ok()).unwrap_or(default_count)
}
