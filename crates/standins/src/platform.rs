//! Stand-in for the platform's object API: versions, conditional updates, watches and limits.

mod api;
mod limit;
mod objects;

pub use api::{PlatformApi, PlatformFaults, PlatformOptions, PlatformUsage};
pub use limit::RateLimit;
pub use objects::{ObjectChange, ObjectEntry, ObjectError, ObjectTable};
