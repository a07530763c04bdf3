//! Number of seeded schedules that a test runs.

/// The default_count for CI, or what `JACINTHROCK_SCHEDULES` says.
pub(crate) fn schedule_count(default_count: u64) -> u64 {
    let requested = std::env::var("JACINTHROCK_SCHEDULES").ok();
    requested.and_then(|count| count.parse().ok()).unwrap_or(default_count)
}
