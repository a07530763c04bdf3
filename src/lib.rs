//! A router for model pipelines spread over mixed accelerators.
//!
//! The library holds the decisions and the daemons; the programs in `src/main.rs` and `src/bin`
//! only start them. docs/DESIGN.md gives the design, docs/GLOSSARY.md the words.

mod answer;
mod attempt;
mod avoid;
mod chain;
mod choice;
mod codes;
mod counters;
mod declaration;
mod driver;
mod effective;
mod ejection;
mod endpoint;
mod fleet;
mod ids;
mod link;
mod outcome;
mod peer;
mod picker;
mod platform;
mod prefix;
mod probe;

pub use answer::{AnswerAssembler, AnswerChecks, AnswerShape, AnswerStep};
pub use attempt::{AttemptFault, SilenceOptions, TokenClock};
pub use avoid::AvoidSet;
pub use chain::{ChainPlanner, ChainPolicy, PlannedChain, PlannerOptions, StageCandidate};
pub use choice::PlainPicker;
pub use codes::{CodeRow, ResultCode};
pub use counters::{CounterRegistry, MetricKind, MetricName, MetricRow};
pub use declaration::{
    CustomerDeclaration, EndpointDeclaration, LinkDeclaration, ModelDeclaration, NodeDeclaration,
    NodeKind, NodeSettings, OperationDeclaration, PlainDeclaration,
};
pub use driver::{AnswerDriver, AnswerOrder, AnswerResult, DriverOptions};
pub use effective::{EffectiveConfig, EffectiveCustomer, EffectiveService, ServiceTarget};
pub use ejection::{EjectionOptions, EjectionTable, EndpointHealth};
pub use endpoint::{
    CallFailure, EndpointCaller, EngineOrder, EngineStatus, EventReceiver, GenerateCall,
    GenerateEvent, PlainCall, PlainReply, PriorityClass, RouteStage, StageReport,
};
pub use fleet::{ChainDemand, EndpointFleet, FleetOptions, FlightGuard, LeavingSource};
pub use ids::{
    AttemptNumber, ConfigRevision, CustomerName, DomainName, EndpointName, FenceNumber, HostName,
    Incarnation, LayerIndex, ObjectVersion, RequestId, ServiceName, TokenPosition,
};
pub use link::LinkTable;
pub use outcome::CallOutcome;
pub use peer::{ConfigSnapshot, PeerError, PeerNetwork};
pub use picker::EndpointPicker;
pub use platform::{
    MAX_VALUE_BYTES, PlatformStore, StoreChange, StoreError, StoreListing, StoredObject,
};
pub use probe::poll_engines;
