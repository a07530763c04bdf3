//! A router for model pipelines spread over mixed accelerators.
//!
//! The library holds the decisions and the daemons; the programs in `src/main.rs` and `src/bin`
//! only start them. docs/DESIGN.md gives the design, docs/GLOSSARY.md the words.

mod admission;
mod budget;
mod codes;
mod counters;
mod declaration;
mod effective;
mod endpoint;
mod gossip;
mod ids;
mod membership;
mod outcome;
mod peer;
#[rustfmt::skip]
#[allow(clippy::all, clippy::unimplemented, unreachable_pub, dead_code)]
mod peer_capnp;
mod peer_rpc;
mod peer_service;
mod picker;
mod platform;
mod queue;
mod quota;

pub use admission::{
    AdmissionGate, AdmissionPass, AdmissionRefusal, AdmissionRequest, AdmissionService, GateAction,
    GateEvent, GateOptions, ServiceLoad,
};
pub use budget::{BudgetOptions, BudgetRefusals, RetryBudget};
pub use codes::{CodeRow, ResultCode};
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
pub use gossip::{DrainMark, GossipAction, GossipCore, GossipOptions, LoadReport, PeerDigest};
pub use ids::{
    AttemptNumber, ConfigRevision, CustomerName, DomainName, EndpointName, FenceNumber, HostName,
    Incarnation, LayerIndex, ObjectVersion, RequestId, ServiceName, TokenPosition,
};
pub use membership::{
    HeartbeatCount, HeartbeatEcho, HostState, MemberBeat, MemberLiveness, MemberOptions,
    MemberRecord, MemberTable, NameHash, PeerStatus, name_hash,
};
pub use outcome::CallOutcome;
pub use peer::{
    ConfigSnapshot, ConfigSource, PeerError, PeerNetwork, PeerResponder, PeerTransport,
};
pub use peer_rpc::{RpcListener, RpcTransport, digest_bytes};
pub use peer_service::{PeerService, PeerSetup};
pub use picker::EndpointPicker;
pub use platform::{
    MAX_VALUE_BYTES, PlatformStore, StoreChange, StoreError, StoreListing, StoredObject,
};
pub use queue::TicketNumber;
pub use quota::{CustomerDemand, DemandReport, FleetView, QuotaKeeper, QuotaLimits, QuotaOptions};
