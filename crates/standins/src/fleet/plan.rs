//! What a run starts.

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
    /// Routers.
    pub routers: u16,
    /// Controllers.
    pub controllers: u16,
    /// Additional arguments of every router.
    #[serde(default)]
    pub router_args: Vec<Box<str>>,
    /// Failure domains; routers and plain endpoints are spread over them in turn.
    pub domains: Vec<Box<str>>,
    /// Model service.
    pub model: ModelPlan,
    /// Plain services.
    pub services: Vec<PlainPlan>,
    /// Customers.
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
    /// Name of the model at the engines.
    pub name: Box<str>,
    /// Version of the model.
    pub version: Box<str>,
    /// Number of layers.
    pub layers: u16,
    /// Number of stages in a chain.
    pub stages: u16,
    /// Requests that one engine works on at once without slowing down.
    pub slots: u32,
    /// Time to prefill one token, in microseconds.
    pub prefill_us: u64,
    /// Time to import one token of KV cache, in microseconds.
    pub kv_import_us: u64,
    /// Priority class of the service.
    pub priority: PriorityClass,
    /// Time for a whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Longest wait for the next token, in milliseconds.
    pub token_gap_ms: u64,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Chains.
    pub chains: Vec<ChainPlan>,
}

/// Chains of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChainPlan {
    /// Kind of accelerator.
    pub accelerator: Box<str>,
    /// Number of chains.
    pub count: u16,
    /// Time of one layer of one token, in microseconds.
    pub layer_us: u64,
    /// Failure domains, which the chains take in turn.
    pub domains: Vec<Box<str>>,
    /// Whether the engines refuse an order with an old fence.
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
    /// Time of a call, in milliseconds.
    pub work_ms: u64,
    /// Calls that one endpoint works on at once.
    pub slots: u32,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerPlan {
    /// Name of the customer.
    pub name: Box<str>,
    /// Part of the load that it makes, beside the others' weights.
    pub weight: u32,
    /// Requests in flight that it may have.
    pub concurrent_requests: u32,
    /// Requests in a second that it may make.
    pub requests_per_second: u32,
}

impl CustomerPlan {
    /// Bearer key of the customer.
    pub fn key(&self) -> Box<str> {
        format!("key-of-{}", self.name).into()
    }
}

impl FleetPlan {
    /// Tokens in a second that the engines can make at most, over all chains.
    ///
    /// A request takes one slot in each stage of its chain while it runs.
    pub fn token_bound(&self) -> f64 {
        let chains = self.model.chains.iter();
        chains.map(|chain| f64::from(chain.count) * self.model.chain_rate(chain)).sum()
    }

    /// Time after which a caller gives a call up: well past the longest deadline.
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.model.deadline_ms) + CALL_TIMEOUT_MARGIN
    }

    /// Whole answers in a second that the engines can make at most.
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
    /// Tokens in a second that one chain makes at most.
    pub fn chain_rate(&self, chain: &ChainPlan) -> f64 {
        let token_us = f64::from(self.layers) * chain.layer_us as f64;
        f64::from(self.slots) * 1e6 / token_us
    }
}
