//! Settings in force: the tree with inheritance resolved.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::declaration::{LinkDeclaration, ModelDeclaration, PlainDeclaration};
use crate::endpoint::PriorityClass;
use crate::ids::{ConfigRevision, CustomerName, ServiceName};

/// What a service routes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceTarget {
    /// A model over chains of engines.
    Model(ModelDeclaration),
    /// A plain service.
    Plain(PlainDeclaration),
}

/// A service with every setting resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectiveService {
    /// Name of the service.
    pub name: ServiceName,
    /// Priority class of its requests.
    pub priority: PriorityClass,
    /// Time for a whole answer.
    pub deadline: Duration,
    /// Longest wait for the next token.
    pub token_gap: Duration,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Requests that may wait for it on each host.
    pub queue_length: u32,
    /// What it routes to.
    pub target: ServiceTarget,
}

/// A customer with every setting resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectiveCustomer {
    /// Name of the customer.
    pub name: CustomerName,
    /// SHA-256 of each bearer key, in hexadecimal.
    pub key_hashes: BTreeSet<Box<str>>,
    /// Services that it may call.
    pub services: BTreeSet<ServiceName>,
    /// Requests that may be in flight, over all hosts.
    pub concurrent_requests: u32,
    /// Requests in a second, over all hosts.
    pub requests_per_second: u32,
    /// Weight when capacity is short.
    pub share: u32,
}

/// The whole configuration in force at one revision.
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
