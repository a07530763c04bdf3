//! A router for model pipelines spread over mixed accelerators.
//!
//! The library holds the decisions and the daemons; the programs in `src/main.rs` and `src/bin`
//! only start them. docs/DESIGN.md gives the design, docs/GLOSSARY.md the words.

mod check;
mod cmd;
mod codes;
mod counters;
mod declaration;
mod effective;
mod endpoint;
mod follower;
mod ids;
mod inherit;
mod keeper;
mod outcome;
mod peer;
mod picker;
mod plan;
mod platform;
mod publish;
mod revision;
mod shape;
mod spread;
mod store_http;
mod tree;

pub use cmd::{ExitRow, exit_codes, run_operator};
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
pub use follower::{ConfigFollower, FollowerOptions, FollowerStatus, HostMember, domain_place};
pub use ids::{
    AttemptNumber, ConfigRevision, CustomerName, DomainName, EndpointName, FenceNumber, HostName,
    Incarnation, LayerIndex, ObjectVersion, RequestId, ServiceName, TokenPosition,
};
pub use keeper::{
    DomainPlace, KeeperAction, KeeperEvent, KeeperGuard, KeeperOptions, KeeperState,
    RejectedRevision, RevisionKeeper, RevisionSource,
};
pub use outcome::CallOutcome;
pub use peer::{ConfigSnapshot, PeerError, PeerNetwork};
pub use picker::EndpointPicker;
pub use plan::{ConfigPlan, FieldChange, StrandedUse};
pub use platform::{
    MAX_VALUE_BYTES, PlatformStore, StoreChange, StoreError, StoreListing, StoredObject,
};
pub use publish::{
    AcceptedConfig, ConfigEdit, ConfigPublisher, PublishError, PublishOptions, RaceHandling,
    RacingChange,
};
pub use revision::{
    ChangeRecord, HISTORY_LENGTH, PastChange, ROOT_KEY, RevisionError, RootDocument, resolve_value,
};
pub use shape::{DeclarationField, declaration_fields};
pub use spread::{HostAnswer, HostReport, SpreadCheck, SpreadVerdict};
pub use store_http::{HttpStore, HttpStoreOptions};
pub use tree::{DeclarationError, DeclarationTree, DeclaredNode, MAX_TREE_BYTES, SourcedValue};
