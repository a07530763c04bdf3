//! Plan of a fleet: the processes to start and the declarations to apply.

use jacinthrock::{LinkDeclaration, PriorityClass};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time that a caller waits beyond the deadline of an answer.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// Everything that a run starts and declares.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPlan {
    /// Name of the root node.
    pub root: Box<str>,
    /// Number of routers.
    pub routers: u16,
    /// Number of controllers.
    pub controllers: u16,
    /// Additional arguments of every router.
    #[serde(default)]
    pub router_args: Vec<Box<str>>,
    /// Failure domains; routers, controllers and plain endpoints are assigned to them round robin.
    pub domains: Vec<Box<str>>,
    /// The model service.
    pub model: ModelPlan,
    /// The plain services.
    pub services: Vec<PlainPlan>,
    /// The customers.
    pub customers: Vec<CustomerPlan>,
    /// Links between failure domains.
    #[serde(default)]
    pub links: Vec<LinkDeclaration>,
}

/// A model service with its engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelPlan {
    /// Name of the service.
    pub service: Box<str>,
    /// Name by which the engines know the model.
    pub name: Box<str>,
    /// Version of the model.
    pub version: Box<str>,
    /// Number of layers.
    pub layers: u16,
    /// Number of stages in a chain.
    pub stages: u16,
    /// Requests that one engine processes concurrently without slowing down.
    pub slots: u32,
    /// Time to prefill one token, in microseconds.
    pub prefill_us: u64,
    /// Time to import one token of KV cache, in microseconds.
    pub kv_import_us: u64,
    /// Priority class of the service.
    pub priority: PriorityClass,
    /// Deadline of a whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Timeout for the next token, in milliseconds.
    pub token_gap_ms: u64,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Chains of the model, by kind.
    pub chains: Vec<ChainPlan>,
}

/// Chains of one kind of accelerator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChainPlan {
    /// Kind of accelerator.
    pub accelerator: Box<str>,
    /// Number of chains.
    pub count: u16,
    /// Time to compute one layer for one token, in microseconds.
    pub layer_us: u64,
    /// Failure domains, assigned to the chains round robin.
    pub domains: Vec<Box<str>>,
    /// Whether the engines reject an order with a stale fence.
    #[serde(default)]
    pub checks_fence: bool,
}

/// A plain service with its endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainPlan {
    /// Name of the service.
    pub service: Box<str>,
    /// Path prefix.
    pub prefix: Box<str>,
    /// Kind of the records: `booking` or `registry`.
    pub kind: Box<str>,
    /// Number of endpoints.
    pub endpoints: u16,
    /// Processing time of a call, in milliseconds.
    pub work_ms: u64,
    /// Calls that one endpoint processes concurrently.
    pub slots: u32,
}

/// A customer and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerPlan {
    /// Name of the customer.
    pub name: Box<str>,
    /// Share of the load that the customer generates, relative to the other weights.
    pub weight: u32,
    /// Limit on the customer's requests in flight.
    pub concurrent_requests: u32,
    /// Limit on the customer's requests per second.
    pub requests_per_second: u32,
}

impl CustomerPlan {
    /// Bearer token of the customer.
    pub fn key(&self) -> Box<str> {
        format!("key-of-{}", self.name).into()
    }
}

impl FleetPlan {
    /// Upper bound on the tokens per second that the engines can produce, over all chains.
    ///
    /// A running request occupies one slot in each stage of its chain.
    pub fn token_bound(&self) -> f64 {
        let chains = self.model.chains.iter();
        chains.map(|chain| f64::from(chain.count) * self.model.chain_rate(chain)).sum()
    }

    /// Time after which a caller abandons a call: well past the longest deadline.
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.model.deadline_ms) + CALL_TIMEOUT_MARGIN
    }

    /// Upper bound on the answers per second that the engines can complete, with prefill included.
    pub fn answer_bound(&self, prompt_words: f64, tokens: f64) -> f64 {
        let model = &self.model;
        let rate = |chain: &ChainPlan| {
            let layers = f64::from(model.layers) * chain.layer_us as f64 * tokens;
            let prefill = prompt_words * model.prefill_us as f64 * f64::from(model.stages);
            f64::from(chain.count) * f64::from(model.slots) * 1e6 / (layers + prefill)
        };
        model.chains.iter().map(rate).sum()
    }
}

impl ModelPlan {
    /// Upper bound on the tokens per second of one chain.
    pub fn chain_rate(&self, chain: &ChainPlan) -> f64 {
        let token_us = f64::from(self.layers) * chain.layer_us as f64;
        f64::from(self.slots) * 1e6 / token_us
    }
}
