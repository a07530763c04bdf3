//! The entry process, one per entry host.
//!
//! It accepts callers' requests and sends them to endpoints; one of the hosts also places models on
//! endpoints. The modules that make decisions do no I/O: `layout`, `path`, `detour`, `stall`,
//! `health`. docs/design/platform.md describes the design.

mod answer;
mod health;
mod call;
mod detour;
mod adapter;
mod duty;
mod endpoints;
mod events;
mod follow;
mod front;
mod inflight;
mod layout;
mod loads;
mod logs;
mod expiry;
mod orders;
mod path;
mod peers;
mod plain;
mod pool;
mod queue;
mod repath;
mod rules;
mod run;
mod sending;
mod stall;
mod state;
mod stream;
mod quota;
mod watchdog;

pub use health::{HealthTable, CallEnd};
pub use detour::detour;
pub use adapter::{
    CallCodec, CallHead, EndpointReport, NoteGroup, RegistryError, RegistryClient, RegistryNote,
    RegistryResult, ReplyHead, SendHead,
};
pub use endpoints::{
    ChangeNumber, EndpointChange, EndpointEntry, EndpointUpdate, EndpointTable, LayerSpan,
    RegistryVersion,
};
pub use events::EventFramer;
pub use inflight::{StageLoad, StreamGuard, StreamRecord, StreamTable};
pub use jacinthrock::{DomainName, EndpointName, ServiceName};
pub use layout::{CardView, LayoutOrder, LayoutPlanner, ModelShape};
pub use loads::{LoadAggregator, LoadMap, LoadSum, PeerLoads, retry_share};
pub use logs::start_logs;
pub use path::{PathStage, StageView, cheapest_path, crossings, first_gap};
pub use pool::{
    ConnectionLease, ConnectionPool, PooledReply, SendError, SendOptions, host_header, build_request,
};
pub use queue::{QueueTicket, WaitClass, WaitQueue};
pub use rules::{
    CallerLimits, CardProfile, CustomerRule, EngineProfile, KeyVerdict, RetryPolicy, RouteRule, RuleIndex,
    RulesVersion, ServiceRule, ServingRules,
};
pub use run::{EntryError, run_entry};
pub use stall::{StallFindings, StreamNumber, StreamView, detect_stalls};
pub use state::{EntryOptions, EntryState, PathQuery, PeerHost, PlacementHolder};
pub use quota::CrossingQuota;
