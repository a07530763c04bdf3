//! The entry process, one per entry host.
//!
//! It accepts callers' requests and sends them to endpoints; one of the hosts also places models on
//! endpoints. The modules that make decisions do no I/O: `layout`, `path`, `partials`, `routing`,
//! `detour`, `stall`, `relay`, `returns`, `demand`, `admission`, `waiting`, `health`, `attempts`,
//! `freshness`, `shutdown`, `notices`, `poison`, `ends`, `starts`, `down_reports`, `refusals`,
//! `reach`, `takeover`, `empty_endpoints`, `call_line`, `memory`.
//! docs/design/platform.md describes the design.

mod adapter;
mod admission;
mod answers;
mod attempts;
mod call;
mod call_line;
mod call_wait;
mod connections;
mod context;
mod decision;
mod demand;
mod detour;
mod dispatch;
mod down_reports;
mod empty_endpoints;
mod endpoints;
mod ends;
mod events;
mod exclusions;
mod expiry;
mod failure;
mod fingerprint;
mod follow;
mod forward;
mod freshness;
mod front;
mod health;
mod heartbeat;
mod inflight;
mod layout;
mod lease;
mod levels;
mod loads;
mod logs;
mod memory;
mod notices;
mod objective_wait;
mod observed;
mod orders;
mod partials;
mod path;
mod peers;
mod permits;
mod placement;
mod plain;
mod poison;
mod pool;
mod queue;
mod quota;
mod rates;
mod reach;
mod refusals;
mod relay;
mod reply;
mod reroute;
mod response;
mod returns;
mod routing;
mod rules;
mod run;
mod search;
mod sending;
mod shutdown;
mod source;
mod stall;
mod starts;
mod state;
mod stream;
mod takeover;
mod times;
mod version;
mod waiting;
mod watchdog;

pub use adapter::{
    CallCodec, CallHead, EndpointReport, PromptPart, RateNotice, RecordGroup, RegistryClient,
    RegistryError, RegistryRecord, RegistryResult, ReplyHead, SendHead,
};
pub use admission::{
    AdmissionRefusal, AdmissionTable, LevelChange, LevelInputs, NewStream, StageCapacity,
    admitted_shares, domain_usage, queue_usage, service_usage,
};
pub use attempts::AttemptLog;
pub use call_line::{
    CallEndpoint, CallLine, CallNumber, CallRoom, CountedCalls, LineInputs, LineRefusal, LineStep,
    WaitingCall,
};
pub use demand::{DemandCount, DemandMap, DemandMeter, OnTimeMap, PriorityDemand, level_of};
pub use detour::detour;
pub use down_reports::{DownReport, DownTable};
pub use empty_endpoints::{EmptyEndpoints, StageRoom, short_domains};
pub use endpoints::{
    ChangeNumber, EndpointChange, EndpointEntry, EndpointTable, EndpointUpdate, LayerSpan,
    PeerUpdate, UnlistedNames,
};
pub use ends::EndClaims;
pub use events::EventFramer;
pub use exclusions::{ExclusionTable, SharedExclusion};
pub use expiry::ExpiringFlags;
pub use fingerprint::RequestFingerprint;
pub use freshness::{RulesEvidence, RulesFreshness};
pub use health::{CallEnd, HealthTable};
pub use heartbeat::{HeartbeatWatcher, LookFinding, LoopHeartbeat};
pub use inflight::{StageLoad, StreamGuard, StreamRecord, StreamTable};
pub use jacinthrock::{DomainName, EndpointName, HostName, ServiceName};
pub use layout::{CardView, LayoutOrder, LayoutPlanner, ModelShape, StartRate};
pub use loads::{
    LoadAggregator, LoadMap, LoadSum, PeerLoads, RelayLoads, SmoothedShare, retry_share,
};
pub use logs::start_logs;
pub use memory::MemoryPlan;
pub use notices::{EndpointNotices, EndpointStart};
pub use path::{
    PathStage, SearchOutcome, StageView, added_crossings, cheapest_path, crossings, first_gap,
    search_path, stage_at,
};
pub use permits::PermitPools;
pub use poison::{BlamedSuspect, CrashSuspect, PoisonReport, PoisonTable, RequestTag, SendVerdict};
pub use pool::{
    ConnectionLease, ConnectionPool, PooledReply, SendError, SendOptions, build_request,
    host_header,
};
pub use queue::{ObjectiveQueue, QueueNumber, QueuePosition, WaitClass, WaitQueue};
pub use quota::{CrossingQuota, LinkQuota};
pub use rates::{ObservationId, PermitDraw, PermitGrant, RateChange, RateTable, SharedRate};
pub use reach::{HeardAges, HostQuery, ReachReport, ReachTable};
pub use refusals::{RefusalMemory, RefusedFilter, RequestKey};
pub use relay::{RelayCandidate, RelayPicker, host_capacity, spread_time};
pub use reply::{BufferBudget, ReplyBody, ReplyError, collect_body};
pub use returns::{ReturnSchedule, ReturnSchedules};
pub use routing::{LinkUse, PathQuery, RoutingView, explain_gap};
pub use rules::{
    CallerLimits, CardProfile, CustomerRule, EngineProfile, KeyVerdict, RetryPolicy, RouteRule,
    RuleIndex, RulesVersion, ServiceRule, ServingRules,
};
pub use run::{EntryError, run_entry};
pub use shutdown::{OtherHosts, StopPlan};
pub use stall::{StallFindings, StreamNumber, StreamView, detect_stalls};
pub use starts::{StartChange, StartInputs, StartPlanner};
pub use state::{EntryOptions, EntryState, PeerHost, PlacementHolder};
pub use takeover::{BootId, LeaseInputs, LeaseText, TakeReason, TakeoverTable};
pub use times::{CallTimes, EndedStream, StreamLength, StreamTimes};
pub use version::{RegistryEra, RegistryRevision, RegistryVersion};
pub use waiting::{FreeStarts, SiteQueue, WaitOrder, WaitingStream, free_starts};
