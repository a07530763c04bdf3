//! Declarations as operators write them: one TOML file for each node of the tree.

use serde::{Deserialize, Serialize};

use crate::endpoint::PriorityClass;
use crate::ids::{DomainName, EndpointName, LayerIndex, ServiceName};

/// Kind of a node in the declaration tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeKind {
    /// Holds settings that its descendants inherit.
    Group,
    /// A model or a plain service.
    Service,
    /// An organisation or site that calls services.
    Customer,
}

/// A node of the declaration tree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeDeclaration {
    /// Name, unique in the tree.
    pub name: Box<str>,
    /// Kind of the node.
    pub kind: NodeKind,
    /// Parent; only the root has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<Box<str>>,
    /// Settings that differ from the parent's.
    #[serde(default)]
    pub settings: NodeSettings,
    /// A model service's own part.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelDeclaration>,
    /// A plain service's own part.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plain: Option<PlainDeclaration>,
    /// A customer's own part.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerDeclaration>,
    /// Links between failure domains; only on the root.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub links: Vec<LinkDeclaration>,
}

/// Settings that a node inherits from its parent unless it sets them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeSettings {
    /// Priority class of a service's requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<PriorityClass>,
    /// Time for a whole answer, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Longest wait for the next token before the attempt is given up, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub token_gap_ms: Option<u64>,
    /// Longest answer, in tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Requests of a customer that may be in flight, over all hosts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent_requests: Option<u32>,
    /// Requests of a customer in a second, over all hosts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// Weight of a customer when capacity is short.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<u32>,
    /// Requests that may wait for a service on each host.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_length: Option<u32>,
}

/// A model service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelDeclaration {
    /// Name of the model at the engines.
    pub name: Box<str>,
    /// Version of the model.
    pub version: Box<str>,
    /// Number of layers.
    pub layers: LayerIndex,
    /// Number of stages in a chain.
    pub stages: u16,
    /// Requests that one endpoint works on at once without slowing down.
    pub endpoint_slots: u32,
    /// Engines.
    pub endpoints: Vec<EndpointDeclaration>,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainDeclaration {
    /// Path prefix, such as `/bookings`.
    pub prefix: Box<str>,
    /// Operations; a call that none matches is non-idempotent.
    #[serde(default)]
    pub operations: Vec<OperationDeclaration>,
    /// Requests that one endpoint works on at once.
    pub endpoint_slots: u32,
    /// Endpoints.
    pub endpoints: Vec<EndpointDeclaration>,
}

/// Operation of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationDeclaration {
    /// HTTP method in upper case.
    pub method: Box<str>,
    /// Path after the service's prefix; a last `*` matches any rest.
    pub path: Box<str>,
    /// Whether the call may be repeated.
    pub idempotent: bool,
}

/// An endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointDeclaration {
    /// Name, unique in the tree.
    pub name: EndpointName,
    /// IP address and port.
    pub address: Box<str>,
    /// Failure domain that the endpoint is in.
    pub domain: DomainName,
    /// Kind of accelerator; empty for a plain service.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub accelerator: Box<str>,
    /// Whether the endpoint refuses an order with an old fence.
    #[serde(default)]
    pub checks_fence: bool,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerDeclaration {
    /// SHA-256 of each bearer key, in hexadecimal.
    pub key_hashes: Vec<Box<str>>,
    /// Services that the customer may call.
    pub services: Vec<ServiceName>,
}

/// The link between two failure domains, the same in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkDeclaration {
    /// The two failure domains; twice the same for the link inside one.
    pub between: [DomainName; 2],
    /// Latency one way, in microseconds.
    pub latency_us: u64,
    /// Bandwidth, in megabits a second.
    pub megabits: u64,
}
