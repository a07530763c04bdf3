//! A router for model pipelines spread over mixed accelerators.
//!
//! The library holds the decisions and the daemons; the programs in `src/main.rs` and `src/bin`
//! only start them. docs/DESIGN.md gives the design, docs/GLOSSARY.md the words.

mod codes;
mod controller;
mod counters;
mod declaration;
mod effective;
mod endpoint;
mod ids;
mod lease;
mod ledger;
mod order;
mod outcome;
mod peer;
mod picker;
mod placement;
mod plain;
mod platform;

pub use codes::{CodeRow, ResultCode};
pub use controller::{
    ConfigSource, ControllerLoop, ControllerOptions, ControllerStatus, DRAIN_PREFIX, DrainMark,
    HOST_LIST_PREFIX, HostMark,
};
pub use counters::{CounterRegistry, MetricKind, MetricName, MetricRow};
pub use declaration::{
    CustomerDeclaration, EndpointDeclaration, LinkDeclaration, ModelDeclaration, NodeDeclaration,
    NodeKind, NodeSettings, OperationDeclaration, PlainDeclaration,
};
pub use effective::{EffectiveConfig, EffectiveCustomer, EffectiveService, ServiceTarget};
pub use endpoint::{
    CallFailure, EndpointCaller, EngineOrder, EngineStatus, EventReceiver, GenerateCall,
    GenerateEvent, PlainCall, PlainReply, PriorityClass, RouteStage, StageReport,
};
pub use ids::{
    AttemptNumber, ConfigRevision, CustomerName, DomainName, EndpointName, FenceNumber, HostName,
    Incarnation, LayerIndex, ObjectVersion, RequestId, ServiceName, TokenPosition,
};
pub use lease::{
    HeldLease, LEASE_KEY, LeaseAction, LeaseEvent, LeaseGuard, LeaseKeeper, LeaseOptions,
    LeaseRecord,
};
pub use ledger::{
    ClaimHolder, ClaimKey, ClaimRecord, ClaimRequest, ClaimSettlement, ClaimTicket, ClaimVerdict,
    ExpiryReport, HolderLiveness, IntentAnswer, IntentId, LedgerError, LedgerFloor, LedgerGuard,
    LedgerOptions, LedgerPage, LedgerService, PageAction, PageEvent, PageIntent, PageLedger,
    PageStep, RecordState, RequestFingerprint, StoredBody,
};
pub use order::{OrderAction, OrderGuard, OrderKeeper, OrderOptions};
pub use outcome::CallOutcome;
pub use peer::{ConfigSnapshot, PeerError, PeerNetwork};
pub use picker::EndpointPicker;
pub use placement::{
    DesiredEngine, EngineKnowledge, LayerRange, PlacementPlan, place, stage_ranges,
};
pub use plain::{PlainContext, PlainDriver, PlainGuard, PlainOptions, PlainRequest, PlainResult};
pub use platform::{
    MAX_VALUE_BYTES, PlatformStore, StoreChange, StoreError, StoreListing, StoredObject,
};
