//! Stand-in for a model engine that holds a range of layers.

mod api;
mod batch;
mod cache;
mod chain;
mod control;
mod generate;
mod assignment;
mod records;
mod requests;
mod stage;

pub use api::EngineApi;
pub use batch::{LoadHistory, slowdown};
pub use cache::{CacheEvent, PrefixCache};
pub use chain::{ForwardCall, ForwardReply, ReleaseCall, StageFailure};
pub use control::EngineFaults;
pub use assignment::{EngineAssignment, StaleFence};
pub use records::{AttemptEnd, EndRecord, EngineRecords, RunRecord};
pub use requests::{LowerAttempt, RequestTable};
pub use stage::{EngineOptions, EngineStage};
