//! The serving rules in force: routes, services, customers, limits.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock::{CustomerName, ServiceName};
use serde::{Deserialize, Serialize};

/// Version of the rules as the operator numbers them.
pub type RulesVersion = u64;

/// Everything the operator sets for callers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServingRules {
    /// Version, rising with each change.
    pub version: RulesVersion,
    /// Routes in the order of the operator's document.
    pub routes: Vec<RouteRule>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// Customers with their keys; empty where requests carry no key.
    pub customers: Vec<CustomerRule>,
}

/// Whether a request may be sent again after an attempt whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// May run any number of times.
    Safe,
    /// Runs at most once.
    Once,
    /// A stream that another endpoint may continue after its last event.
    Resumable,
}

impl RetryPolicy {
    /// Whether a second run does no harm.
    pub fn is_idempotent(self) -> bool {
        self != Self::Once
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name, for logs.
    pub name: Box<str>,
    /// Host name that callers use, in lower case.
    pub host: Box<str>,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: Box<str>,
    /// Services with their weights.
    pub targets: Vec<(ServiceName, u32)>,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Whether answers are streams of events.
    pub is_stream: bool,
    /// Longest time that a request is kept waiting for its final answer.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub objective: Duration,
    /// Longest pause between two events of a stream that callers accept as on time.
    pub event_gap: Duration,
    /// Endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Rank, 0 first.
    pub priority: u8,
    /// Whether requests need no key.
    pub is_open: bool,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Connections that one endpoint accepts from all hosts together.
    pub max_connections: u32,
    /// Path of the health check.
    pub health_path: Box<str>,
    /// Set for services whose endpoints hold layers of a model.
    pub engine: Option<EngineProfile>,
}

/// How the engines of a service compute.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Layers of the model.
    pub layers: u16,
    /// Memory of one layer's weights, in MB.
    pub layer_mb: f64,
    /// Memory of one token in one layer, in MB.
    pub token_layer_mb: f64,
    /// Fixed part of a step over all layers at factor 1, in ms.
    pub step_ms: f64,
    /// Part of a step for each writing request, in ms.
    pub request_ms: f64,
    /// Part of a step for each 1,000 tokens of context of a writing request, in ms.
    pub context_ms: f64,
    /// Prompt tokens read in a ms over all layers at factor 1.
    pub read_tokens_per_ms: f64,
    /// Time to load the weights of all layers.
    pub load: Duration,
    /// Loads that run at full speed at the same time.
    pub parallel_loads: u32,
    /// Bytes that pass between stages for each token.
    pub activation_bytes: f64,
    /// Rate of the pipe between failure domains that all streams share, in Mbit/s; 0 without one.
    pub pipe_mbps: f64,
    /// Mean tokens of a prompt.
    pub mean_prompt_tokens: u32,
    /// Mean tokens of an answer.
    pub mean_output_tokens: u32,
    /// Kinds of cards by name.
    pub cards: BTreeMap<Box<str>, CardProfile>,
}

impl EngineProfile {
    /// Tokens times layers for which a card that holds so many layers has room, 1 at least.
    pub fn token_room(&self, card: &CardProfile, layers: u16) -> f64 {
        let weights = f64::from(layers) * self.layer_mb;
        ((card.memory_mb - weights).max(0.0) / self.token_layer_mb).max(1.0)
    }
}

/// One kind of accelerator card.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CardProfile {
    /// Memory for weights and tokens, in MB.
    pub memory_mb: f64,
    /// Factor on the time of steps.
    pub step_factor: f64,
    /// Factor on the time of reading prompts.
    pub read_factor: f64,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub head_timeout: Duration,
    /// Time for which an idle connection is kept.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Used until the first rules are known.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A customer and the keys that name it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerRule {
    /// Name that endpoints are told.
    pub name: CustomerName,
    /// Keys that callers send.
    pub keys: Vec<Box<str>>,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
}

/// What the key of a request is worth.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyVerdict {
    /// The rules name no customers, or the route needs no key.
    NotNeeded,
    /// The key belongs to this customer.
    Customer(CustomerName, Option<u8>),
    /// No customer holds the key.
    Unknown,
}

/// The rules with the indexes that requests are looked up by.
#[derive(Debug, Default)]
pub struct RuleIndex {
    rules: ServingRules,
    by_host: BTreeMap<Box<str>, Vec<usize>>,
    by_key: BTreeMap<Box<str>, usize>,
}

impl RuleIndex {
    /// Indexes the rules.
    pub fn new(rules: ServingRules) -> Self {
        let mut by_host: BTreeMap<Box<str>, Vec<usize>> = BTreeMap::new();
        for (index, route) in rules.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(rules.routes[*index].prefix.len()));
        }
        let mut by_key = BTreeMap::new();
        for (index, customer) in rules.customers.iter().enumerate() {
            by_key.extend(customer.keys.iter().map(|key| (key.clone(), index)));
        }
        Self { rules, by_host, by_key }
    }

    /// The rules themselves.
    pub fn rules(&self) -> &ServingRules {
        &self.rules
    }

    /// The route with the longest prefix of the path among those of the host.
    ///
    /// ```
    /// use jacinthrock_entry::{RuleIndex, ServingRules};
    ///
    /// assert!(RuleIndex::new(ServingRules::default()).route("a.example", "/x/").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        let matching = routes.iter().map(|index| &self.rules.routes[*index]);
        matching.into_iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Judges the key of a request on a route.
    pub fn key(&self, route: &RouteRule, key: Option<&str>) -> KeyVerdict {
        if self.rules.customers.is_empty() {
            return KeyVerdict::NotNeeded;
        }
        let customer = key.and_then(|key| self.by_key.get(key));
        match customer.map(|index| &self.rules.customers[*index]) {
            Some(customer) => KeyVerdict::Customer(customer.name.clone(), customer.priority),
            None if route.is_open => KeyVerdict::NotNeeded,
            None => KeyVerdict::Unknown,
        }
    }

    /// Picks a target of the route by weight; `draw` lies in 0 to 1.
    pub fn target<'a>(&self, route: &'a RouteRule, draw: f64) -> Option<&'a ServiceName> {
        let total: u32 = route.targets.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &route.targets {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        route.targets.last().map(|(service, _)| service)
    }

    /// The engine of a service, where it has one.
    pub fn engine(&self, service: &str) -> Option<&EngineProfile> {
        self.rules.services.get(service)?.engine.as_ref()
    }
}
