//! The process on an entry host.
//!
//! It takes callers' requests, sends them to endpoints, and one of the hosts places models on
//! endpoints. Decisions are free of input and output and stand in modules of their own:
//! `layout`, `path`, `detour`, `silence`, `belief`. docs/design/platform.md gives the design.

mod answer;
mod belief;
mod call;
mod detour;
mod dialect;
mod duty;
mod endpoints;
mod events;
mod inflight;
mod follow;
mod front;
mod journal;
mod layout;
mod line;
mod loads;
mod marks;
mod orders;
mod path;
mod peers;
mod plain;
mod pool;
mod repath;
mod rules;
mod run;
mod sending;
mod silence;
mod state;
mod stream;
mod tickets;
mod watchdog;

pub use belief::{HealthTable, CallEnd};
pub use detour::detour;
pub use dialect::{
    CallCodec, CallHead, EndpointReport, NoteGroup, RegistryError, RegistryClient, RegistryNote,
    RegistryResult, ReplyHead, SendHead,
};
pub use endpoints::{
    ChangeNumber, EndpointChange, EndpointEntry, EndpointUpdate, EndpointTable, LayerSpan,
    RegistryVersion,
};
pub use events::EventCutter;
pub use inflight::{FlightTable, StageLoad, StreamFlight, StreamRecord};
pub use jacinthrock::{DomainName, EndpointName, ServiceName};
pub use journal::start_logs;
pub use layout::{CardView, LayoutOrder, LayoutPlanner, ModelShape};
pub use line::{LineTicket, WaitClass, WaitLine};
pub use loads::{LoadAggregator, LoadMap, LoadSum, PeerLoads, retry_share};
pub use path::{PathStage, StageView, cheapest_path, crossings, first_gap};
pub use pool::{
    ConnectionLease, ConnectionPool, PooledReply, SendError, SendOptions, host_header, build_request,
};
pub use rules::{
    CallerLimits, CardProfile, CustomerRule, EngineProfile, KeyVerdict, RetryPolicy, RouteRule, RuleIndex,
    RulesVersion, ServiceRule, ServingRules,
};
pub use run::{EntryError, run_entry};
pub use silence::{SilenceFindings, StreamNumber, StreamView, silence_findings};
pub use state::{PlacementHolder, EntryOptions, EntryState, PathDemand, PeerHost};
pub use tickets::CrossingQuota;
