//! Serving rules: the operator's configuration of routes, services, customers and limits.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthrock::{CustomerName, ServiceName};
use serde::{Deserialize, Serialize};

/// Version number that the operator gives the rules.
pub type RulesVersion = u64;

/// Configuration that decides how callers' requests are routed and limited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServingRules {
    /// Version; increases with each change.
    pub version: RulesVersion,
    /// Routes in the order of the operator's document.
    pub routes: Vec<RouteRule>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// Limits on callers' connections and requests.
    pub limits: CallerLimits,
    /// Customers with their keys; if empty, no request needs a key.
    pub customers: Vec<CustomerRule>,
}

/// Decides whether a request may be retried after an attempt whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// Idempotent: may run any number of times.
    Safe,
    /// Must run at most once.
    Once,
    /// A stream that another endpoint can resume after the last delivered event.
    Resumable,
}

impl RetryPolicy {
    /// Whether a second execution is harmless.
    pub fn is_idempotent(self) -> bool {
        self != Self::Once
    }
}

/// Route from a host name and path prefix to weighted services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name used in logs.
    pub name: Box<str>,
    /// Host name in the caller's request, in lower case.
    pub host: Box<str>,
    /// Path prefix, with a leading and a trailing slash.
    pub prefix: Box<str>,
    /// Target services with their weights.
    pub targets: Vec<(ServiceName, u32)>,
    /// Retry policy of the requests.
    #[serde(rename = "repeat")]
    pub retry_policy: RetryPolicy,
    /// Whether responses are event streams.
    pub is_stream: bool,
    /// Upper bound on the time until a request's final response.
    pub timeout: Duration,
    /// Latency objective: a response within this time has its full value.
    pub objective: Duration,
    /// Longest gap between two events of a stream that callers count as on time.
    pub event_gap: Duration,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests without a key are accepted.
    pub is_open: bool,
}

/// Settings of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Maximum number of connections that one endpoint accepts, over all hosts.
    pub max_connections: u32,
    /// Path of the health check.
    pub health_path: Box<str>,
    /// Performance profile, for services whose endpoints hold layers of a model.
    pub engine: Option<EngineProfile>,
}

/// Size and performance of a service's model on its engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Number of layers of the model.
    pub layers: u16,
    /// Memory for the weights of one layer, in MB.
    pub layer_mb: f64,
    /// KV cache memory for one token in one layer, in MB.
    pub token_layer_mb: f64,
    /// Fixed cost of a decoding step over all layers at a step factor of 1, in ms.
    pub step_ms: f64,
    /// Additional cost of a step for each decoding request, in ms.
    pub request_ms: f64,
    /// Additional cost of a step for each 1,000 context tokens of a decoding request, in ms.
    pub context_ms: f64,
    /// Prompt tokens prefilled per ms over all layers at a prefill factor of 1.
    #[serde(rename = "read_tokens_per_ms")]
    pub prefill_tokens_per_ms: f64,
    /// Time to load the weights of all layers.
    #[serde(rename = "load")]
    pub load_time: Duration,
    /// Number of weight loads that can run in parallel at full speed.
    pub parallel_loads: u32,
    /// Bytes of activations that pass between two stages for each token.
    pub activation_bytes: f64,
    /// Bandwidth between failure domains, shared by all streams, in Mbit/s; 0 if there is no limit.
    #[serde(rename = "pipe_mbps")]
    pub link_mbps: f64,
    /// Mean number of tokens of a prompt.
    #[serde(rename = "usual_prompt")]
    pub mean_prompt_tokens: u32,
    /// Mean number of tokens of an answer.
    #[serde(rename = "usual_answer")]
    pub mean_output_tokens: u32,
    /// Number of tokens in an event of a stream, 0 if unknown. Hosts of earlier releases do not send
    /// it.
    #[serde(default)]
    pub event_tokens: u32,
    /// Accelerator types by name.
    pub cards: BTreeMap<Box<str>, CardProfile>,
}

impl EngineProfile {
    /// Mean number of tokens of a stream, with its prompt.
    pub(crate) fn mean_tokens(&self) -> u32 {
        self.mean_prompt_tokens.saturating_add(self.mean_output_tokens)
    }

    /// KV cache capacity of a card that holds `layers` layers, in tokens times layers; at least 1.
    pub fn kv_capacity(&self, card: &CardProfile, layers: u16) -> f64 {
        let weights = f64::from(layers) * self.layer_mb;
        ((card.memory_mb - weights).max(0.0) / self.token_layer_mb).max(1.0)
    }
}

/// Memory and relative speed of one type of accelerator card.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CardProfile {
    /// Memory for weights and KV cache, in MB.
    pub memory_mb: f64,
    /// Multiplier on the duration of decoding steps.
    pub step_factor: f64,
    /// Multiplier on the duration of prompt prefill.
    #[serde(rename = "read_factor")]
    pub prefill_factor: f64,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request's head.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits used until the first rules are received.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A customer and the keys that identify it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerRule {
    /// Name that is sent to endpoints.
    pub name: CustomerName,
    /// Keys that callers may send.
    pub keys: Vec<Box<str>>,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
}

/// Result of checking a request's key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyVerdict {
    /// No customers are configured, or the route accepts requests without a key.
    NotNeeded,
    /// The key belongs to this customer; with its priority, if set.
    Customer(CustomerName, Option<u8>),
    /// The key is missing or belongs to no customer.
    Unknown,
}

/// Serving rules, indexed by host name and by key.
#[derive(Debug, Default)]
pub struct RuleIndex {
    rules: ServingRules,
    by_host: BTreeMap<Box<str>, Vec<usize>>,
    by_key: BTreeMap<Box<str>, usize>,
    /// Services whose stream routes have different priorities, with the shortest objective of these
    /// routes.
    prioritized: BTreeMap<ServiceName, Duration>,
    /// Services of plain calls whose routes have different priorities.
    plain_prioritized: BTreeSet<ServiceName>,
}

impl RuleIndex {
    /// Builds the indexes of the rules.
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
        let prioritized = prioritized_services(&rules, true);
        let plain = prioritized_services(&rules, false).into_keys();
        let plain_prioritized = plain.filter(|service| is_plain(&rules, service)).collect();
        Self { rules, by_host, by_key, prioritized, plain_prioritized }
    }

    /// The indexed rules.
    pub fn rules(&self) -> &ServingRules {
        &self.rules
    }

    /// Finds the route of the host whose prefix is the longest match for the path.
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

    /// Checks the key of a request on a route.
    pub fn check_key(&self, route: &RouteRule, key: Option<&str>) -> KeyVerdict {
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

    /// Picks a target of the route by weight; `draw` is a random number from 0 to 1.
    pub fn pick_target<'a>(&self, route: &'a RouteRule, draw: f64) -> Option<&'a ServiceName> {
        let total: u32 = route.targets.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw * f64::from(total);
        for (service, weight) in &route.targets {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(service);
            }
        }
        route.targets.last().map(|(service, _)| service)
    }

    /// Whether the stream routes of a service have different priorities, so that urgent streams go
    /// first in a shortage.
    pub fn has_priorities(&self, service: &str) -> bool {
        self.prioritized.contains_key(service)
    }

    /// Whether the plain routes of a service have different priorities, so that urgent calls go
    /// first in a shortage. Services with an engine are not meant, whose endpoints run streams.
    pub fn has_plain_priorities(&self, service: &str) -> bool {
        self.plain_prioritized.contains(service)
    }

    /// Whether the plain routes of any service have different priorities.
    pub(crate) fn has_any_plain_priorities(&self) -> bool {
        !self.plain_prioritized.is_empty()
    }

    /// Services whose stream routes have different priorities.
    pub fn prioritized_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.prioritized.keys()
    }

    /// Shortest objective of the stream routes of a service whose routes have different priorities;
    /// zero for others.
    pub fn shortest_objective(&self, service: &str) -> Duration {
        self.prioritized.get(service).copied().unwrap_or_default()
    }

    /// The engine profile of a service, if it has one.
    pub fn engine(&self, service: &str) -> Option<&EngineProfile> {
        self.rules.services.get(service)?.engine.as_ref()
    }
}

/// Whether a service has no engine, and no stream is sent to it.
fn is_plain(rules: &ServingRules, service: &str) -> bool {
    let mut streams = rules.routes.iter().filter(|route| route.is_stream);
    let has_streams = streams.any(|route| route.targets.iter().any(|(it, _)| **it == *service));
    let has_engine = rules.services.get(service).is_some_and(|rule| rule.engine.is_some());
    !has_streams && !has_engine
}

/// Services whose stream routes, or plain routes, have two or more different priorities, with the
/// shortest objective of these routes. A target of weight 0 gets no requests and does not count.
fn prioritized_services(rules: &ServingRules, is_stream: bool) -> BTreeMap<ServiceName, Duration> {
    let mut routes: BTreeMap<&ServiceName, (BTreeSet<u8>, Duration)> = BTreeMap::new();
    for route in rules.routes.iter().filter(|route| route.is_stream == is_stream) {
        for (service, _) in route.targets.iter().filter(|(_, weight)| *weight > 0) {
            let known = routes.entry(service).or_insert((BTreeSet::new(), Duration::MAX));
            known.0.insert(route.priority);
            known.1 = known.1.min(route.objective);
        }
    }
    let several = routes.into_iter().filter(|(_, (priorities, _))| priorities.len() > 1);
    several.map(|(service, (_, objective))| (service.clone(), objective)).collect()
}
