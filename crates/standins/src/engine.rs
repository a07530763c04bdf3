//! Stand-in for a model engine that serves a range of layers.

mod api;
mod assignment;
mod batch;
mod cache;
mod chain;
mod control;
mod generate;
mod records;
mod requests;
mod stage;

pub use api::EngineApi;
pub use assignment::{EngineAssignment, StaleFence};
pub use batch::{LoadHistory, slowdown};
pub use cache::{CacheEvent, PrefixCache};
pub use chain::{ForwardCall, ForwardReply, ReleaseCall, StageFailure};
pub use control::EngineFaults;
pub use records::{AttemptEnd, EndRecord, EngineRecords, RunRecord};
pub use requests::{RequestTable, StaleAttempt};
pub use stage::{EngineOptions, EngineStage};
