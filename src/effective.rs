//! Effective configuration: the declaration tree with inheritance resolved.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::declaration::{LinkDeclaration, ModelDeclaration, PlainDeclaration};
use crate::endpoint::PriorityClass;
use crate::ids::{ConfigRevision, CustomerName, ServiceName};

/// Target to which a service routes its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceTarget {
    /// Model served by chains of engines.
    Model(ModelDeclaration),
    /// Plain service.
    Plain(PlainDeclaration),
}

/// Service with its effective settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectiveService {
    /// Name of the service.
    pub name: ServiceName,
    /// Priority class of its requests.
    pub priority: PriorityClass,
    /// Deadline of a complete answer.
    pub deadline: Duration,
    /// Maximum wait for the next token.
    pub token_gap: Duration,
    /// Maximum length of an answer, in tokens.
    pub max_tokens: u32,
    /// Maximum number of queued requests on each host.
    pub queue_length: u32,
    /// Target of its requests.
    pub target: ServiceTarget,
}

/// Customer with its effective settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectiveCustomer {
    /// Name of the customer.
    pub name: CustomerName,
    /// SHA-256 of each bearer key, in hexadecimal.
    pub key_hashes: BTreeSet<Box<str>>,
    /// Services that the customer may call.
    pub services: BTreeSet<ServiceName>,
    /// Maximum number of requests in flight, summed over all hosts.
    pub concurrent_requests: u32,
    /// Maximum request rate per second, summed over all hosts.
    pub requests_per_second: u32,
    /// Scheduling weight when capacity is short.
    pub share: u32,
}

/// Effective configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EffectiveConfig {
    /// Revision of the configuration.
    pub revision: ConfigRevision,
    /// Services by name.
    pub services: BTreeMap<ServiceName, EffectiveService>,
    /// Customers by name.
    pub customers: BTreeMap<CustomerName, EffectiveCustomer>,
    /// Links between failure domains.
    pub links: Vec<LinkDeclaration>,
}
