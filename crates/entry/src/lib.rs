//! The process on an entry host.
//!
//! It takes callers' requests, sends them to endpoints, and one of the hosts places models on
//! endpoints. Decisions are free of input and output and stand in modules of their own:
//! `layout`, `path`, `detour`, `silence`, `health`. docs/design/platform.md gives the design.

mod adapter;
mod answer;
mod call;
mod detour;
mod duty;
mod endpoints;
mod events;
mod expiry;
mod inflight;
mod follow;
mod front;
mod health;
mod journal;
mod layout;
mod line;
mod loads;
mod orders;
mod path;
mod peers;
mod plain;
mod pool;
mod quota;
mod repath;
mod rules;
mod run;
mod sending;
mod silence;
mod state;
mod stream;
mod watchdog;

pub use adapter::{
    CallCodec, CallHead, EndpointReport, NoteGroup, RegistryClient, RegistryError, RegistryNote,
    RegistryResult, ReplyHead, SendHead,
};
pub use detour::detour;
pub use endpoints::{
    ChangeNumber, EndpointChange, EndpointEntry, EndpointTable, EndpointUpdate, LayerSpan,
    RegistryVersion,
};
pub use events::EventCutter;
pub use inflight::{FlightTable, StageLoad, StreamFlight, StreamRecord};
pub use health::{CallEnd, HealthTable};
pub use jacinthrock::{DomainName, EndpointName, ServiceName};
pub use journal::start_logs;
pub use layout::{CardView, LayoutOrder, LayoutPlanner, ModelShape};
pub use line::{LineTicket, WaitClass, WaitLine};
pub use loads::{LoadAggregator, LoadMap, LoadSum, PeerLoads, retry_share};
pub use path::{PathStage, StageView, cheapest_path, crossings, first_gap};
pub use pool::{
    ConnectionLease, ConnectionPool, PooledReply, SendError, SendOptions, build_request,
    host_header,
};
pub use quota::CrossingQuota;
pub use rules::{
    CallerLimits, CardProfile, CustomerRule, EngineProfile, KeyVerdict, RetryPolicy, RouteRule,
    RuleIndex, RulesVersion, ServiceRule, ServingRules,
};
pub use run::{EntryError, run_entry};
pub use silence::{SilenceFindings, StreamNumber, StreamView, silence_findings};
pub use state::{PlacementHolder, EntryOptions, EntryState, PathDemand, PeerHost};
