//! A router for model pipelines spread over mixed accelerators.
//!
//! The library contains the decision logic, the daemons and the operators' command line; the
//! programs in `src/main.rs` and `src/bin` only start them. docs/DESIGN.md describes the design,
//! docs/GLOSSARY.md defines the terms.

mod admission;
mod agent;
mod answer;
mod attempt;
mod avoid;
mod budget;
mod callers;
mod capacity;
mod chain;
mod chat;
mod check;
mod choice;
mod clock;
mod cmd;
mod codes;
mod config;
mod control;
mod controller;
mod daemon;
mod declaration;
mod driver;
mod effective;
mod ejection;
mod endpoint;
mod engine_http;
mod findings;
mod flags;
mod fleet;
mod follower;
mod gateway;
mod gossip;
mod hex;
mod ids;
mod inherit;
mod intake;
mod keys;
mod lease;
mod leaving;
mod ledger;
mod link;
mod logs;
mod membership;
mod metrics;
mod operator;
mod order;
mod outcome;
mod pack;
mod peer;
mod tracker;
mod trail;
#[rustfmt::skip]
#[allow(clippy::all, clippy::unimplemented, unreachable_pub, dead_code)]
mod peer_capnp;
mod peer_rpc;
mod peer_service;
mod permit;
mod picker;
mod placement;
mod plain;
mod plan;
mod platform;
mod prefix;
mod probe;
mod publish;
mod queue;
mod quota;
mod refusal;
mod registration;
mod retries;
mod revision;
mod rollout;
mod router;
mod schema;
mod signals;
mod store_http;
mod streaming;
mod tree;

pub use admission::{
    AdmissionGate, AdmissionPermit, AdmissionRefusal, AdmissionRequest, AdmissionService,
    GateAction, GateEvent, GateOptions, ServiceLoad,
};
pub use answer::{AnswerAssembler, AnswerChecks, AnswerStep, ExpectedAnswer};
pub use attempt::{AttemptFault, TimeoutOptions, TokenTimeouts};
pub use avoid::AvoidSet;
pub use budget::{BudgetOptions, BudgetRefusals, RetryBudget};
pub use capacity::CapacityView;
pub use chain::{ChainPlanner, ChainPolicy, PlannedChain, PlannerOptions, StageCandidate};
pub use choice::PlainPicker;
pub use cmd::{ExitRow, exit_codes, run_operator};
pub use codes::{CodeRow, ResultCode};
pub use config::{SETTINGS, SettingError, SettingRow};
pub use controller::{
    ConfigReader, ControllerLoop, ControllerOptions, ControllerStatus, DRAIN_PREFIX, DrainOrigin,
    ENDPOINT_LIST_PREFIX, ListedState,
};
pub use daemon::{run_controller, run_router};
pub use declaration::{
    CustomerDeclaration, EndpointDeclaration, LinkDeclaration, ModelDeclaration, NodeDeclaration,
    NodeKind, NodeSettings, OperationDeclaration, PlainDeclaration,
};
pub use driver::{AnswerDriver, AnswerRequest, AnswerResult, DriverOptions};
pub use effective::{EffectiveConfig, EffectiveCustomer, EffectiveService, ServiceTarget};
pub use ejection::{EjectionOptions, EjectionTable, EndpointHealth};
pub use endpoint::{
    CallFailure, EndpointClient, EngineOrder, EngineStatus, EventReceiver, GenerateCall,
    GenerateEvent, PlainCall, PlainReply, PriorityClass, RouteStage, StageReport,
};
pub use engine_http::HttpEndpointClient;
pub use findings::ConfigFinding;
pub use fleet::{
    ChainRequest, EndpointFleet, FleetOptions, InFlightGuard, LeavingSource, ModelLoad,
};
pub use follower::{ConfigFollower, FollowerOptions, FollowerStatus, HostMember, domain_position};
pub use gossip::{DrainMark, GossipAction, GossipCore, GossipOptions, LoadReport, PeerDigest};
pub use ids::{
    AttemptNumber, ConfigRevision, CustomerName, DomainName, EndpointName, FenceNumber, HostName,
    Incarnation, LayerIndex, ObjectVersion, RequestId, ServiceName, TokenPosition,
};
pub use lease::{
    HeldLease, LEASE_KEY, LeaseAction, LeaseElector, LeaseEvent, LeaseOptions, LeaseRecord,
    LeaseRule,
};
pub use ledger::{
    ClaimHolder, ClaimRecord, ClaimRequest, ClaimSettlement, ClaimTicket, ClaimVerdict,
    ExpiryReport, HolderLiveness, IdempotencyKey, IntentId, IntentResult, LedgerError, LedgerFloor,
    LedgerOptions, LedgerPage, LedgerRule, LedgerService, PageAction, PageCommitter, PageEvent,
    PageIntent, PageStep, RecordState, RequestFingerprint, StoredBody,
};
pub use link::LinkTable;
pub use membership::{
    HeartbeatCount, HeartbeatEcho, HostState, MemberBeat, MemberLiveness, MemberOptions,
    MemberRecord, MemberTable, NameHash, PeerStatus, name_hash,
};
pub use metrics::{MetricKind, MetricName, MetricRegistry, MetricRow};
pub use order::{OrderAction, OrderOptions, OrderReconciler, OrderRule};
pub use outcome::CallOutcome;
pub use peer::{
    ConfigSnapshot, ConfigSource, PeerError, PeerNetwork, PeerResponder, PeerTransport,
};
pub use peer_rpc::{RpcListener, RpcTransport, digest_bytes};
pub use peer_service::{PeerService, PeerSetup};
pub use picker::EndpointPicker;
pub use placement::{
    DesiredEngine, EngineSnapshot, LayerRange, PlacementPlan, plan_placement, stage_ranges,
};
pub use plain::{PlainContext, PlainDriver, PlainOptions, PlainRequest, PlainResult, PlainRule};
pub use plan::{ConfigPlan, DeletionImpact, FieldChange};
pub use platform::{
    MAX_VALUE_BYTES, PlatformStore, StoreChange, StoreError, StoreListing, StoredObject,
};
pub use probe::poll_engines;
pub use publish::{
    AcceptedConfig, ConfigEdit, ConfigPublisher, ConflictPolicy, ConflictingChange, PublishError,
    PublishOptions,
};
pub use queue::TicketNumber;
pub use quota::{
    CustomerDemand, DemandReport, FleetView, QuotaAllocator, QuotaLimits, QuotaOptions,
};
pub use refusal::CallRefusal;
pub use revision::{
    ChangeRecord, HistoryEntry, MAX_HISTORY_ENTRIES, ROOT_KEY, RevisionError, RootDocument,
    resolve_value,
};
pub use rollout::{HostAnswer, HostReport, RolloutCheck, RolloutVerdict};
pub use schema::{DeclarationField, declaration_fields};
pub use store_http::{HttpStore, HttpStoreOptions};
pub use tracker::{
    DomainPosition, RejectedRevision, RevisionSource, RevisionTracker, RuleSwitch, TrackerAction,
    TrackerEvent, TrackerOptions, TrackerState,
};
pub use trail::{TrailReader, TrailStep};
pub use tree::{DeclarationError, DeclarationTree, DeclaredNode, MAX_TREE_BYTES, SourcedValue};
