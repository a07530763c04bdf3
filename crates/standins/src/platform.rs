//! Stand-in for the platform's object API, with versions, conditional updates, watches and rate
//! limits.

mod api;
mod limit;
mod objects;

pub use api::{PlatformApi, PlatformFaults, PlatformOptions, PlatformUsage};
pub use limit::RateLimit;
pub use objects::{ObjectChange, ObjectEntry, ObjectError, ObjectTable};
