//! Declarations written by operators: one TOML file for each node of the tree.

use serde::{Deserialize, Serialize};

use crate::endpoint::PriorityClass;
use crate::ids::{DomainName, EndpointName, LayerIndex, ServiceName};

/// Kind of a node in the declaration tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeKind {
    /// Group whose descendants inherit its settings.
    Group,
    /// Model service or plain service.
    Service,
    /// Organisation or site that calls services.
    Customer,
}

/// Node of the declaration tree.
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
    /// Section of a model service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelDeclaration>,
    /// Section of a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plain: Option<PlainDeclaration>,
    /// Section of a customer.
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
    /// Deadline of a complete answer, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Maximum wait for the next token before the attempt is given up, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub token_gap_ms: Option<u64>,
    /// Maximum length of an answer, in tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Maximum number of a customer's requests in flight, summed over all hosts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent_requests: Option<u32>,
    /// Maximum request rate of a customer, per second, summed over all hosts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// Scheduling weight of a customer when capacity is short.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<u32>,
    /// Maximum number of queued requests of a service on each host.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_length: Option<u32>,
}

/// Section of a model service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelDeclaration {
    /// Name under which the engines serve the model.
    pub name: Box<str>,
    /// Version of the model.
    pub version: Box<str>,
    /// Number of layers.
    pub layers: LayerIndex,
    /// Number of stages in each chain.
    pub stages: u16,
    /// Number of requests that an endpoint processes concurrently without slowing down.
    pub endpoint_slots: u32,
    /// Engines that hold the model's layers.
    pub endpoints: Vec<EndpointDeclaration>,
}

/// Section of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainDeclaration {
    /// Path prefix, such as `/bookings`.
    pub prefix: Box<str>,
    /// Operations; a call that matches none of them is treated as non-idempotent.
    #[serde(default)]
    pub operations: Vec<OperationDeclaration>,
    /// Number of requests that an endpoint processes concurrently.
    pub endpoint_slots: u32,
    /// Endpoints that serve the calls.
    pub endpoints: Vec<EndpointDeclaration>,
}

/// Operation of a plain service, used to decide whether a call may be retried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationDeclaration {
    /// HTTP method in upper case.
    pub method: Box<str>,
    /// Path after the service's prefix; a trailing `*` matches any suffix.
    pub path: Box<str>,
    /// Whether the call may be retried after it may have run.
    pub idempotent: bool,
}

/// Endpoint of a service.
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
    /// Whether the endpoint refuses orders with an older fence.
    #[serde(default)]
    pub checks_fence: bool,
}

/// Section of a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerDeclaration {
    /// SHA-256 of each bearer key, in hexadecimal.
    pub key_hashes: Vec<Box<str>>,
    /// Services that the customer may call.
    pub services: Vec<ServiceName>,
}

/// Link between two failure domains, symmetric in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkDeclaration {
    /// The two failure domains; the same domain twice for the link within it.
    pub between: [DomainName; 2],
    /// One-way latency, in microseconds.
    pub latency_us: u64,
    /// Bandwidth, in megabits per second.
    pub megabits: u64,
}
