//! Calls between the engines of a route.

use jacinthrock::{
    AttemptNumber, EndpointName, PriorityClass, RequestId, RouteStage, StageReport, TokenPosition,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Timeout of the response from a later stage.
const STAGE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(120);

/// Timeout of a query for the KV cache that another engine holds.
const KV_REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of idle connections to one engine.
const MAX_IDLE_PER_ENGINE: usize = 64;

/// Forwards one token to the next stage of a route: `POST /v1/forward`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardCall {
    /// Request of the token.
    pub request: RequestId,
    /// Attempt of the token.
    pub attempt: AttemptNumber,
    /// Name of the model.
    pub model: Box<str>,
    /// Version of the model.
    pub version: Box<str>,
    /// Stages in the order of their layers.
    pub route: Vec<RouteStage>,
    /// Index in the route of the stage that receives the call.
    pub index: usize,
    /// Position of the token.
    pub position: TokenPosition,
    /// Fold over the layers run so far.
    pub state: u64,
    /// Priority of the request.
    pub priority: PriorityClass,
    /// Whether this is the attempt's first token.
    pub first: bool,
    /// Prompt, sent with the attempt's first token only.
    pub prompt: Box<str>,
    /// Length of the prompt in words.
    pub prompt_words: u32,
    /// Addresses of endpoints that may hold the request's KV cache.
    pub kv_sources: Vec<Box<str>>,
}

/// Result of a token that ran through the receiving stage and all stages after it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardReply {
    /// Value of the token.
    pub token: u64,
    /// Reports of the stages that ran, in route order.
    pub stages: Vec<StageReport>,
}

/// Failure of a stage to run a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("stage {endpoint} failed: {reason}")]
pub struct StageFailure {
    /// Endpoint of the stage.
    pub endpoint: EndpointName,
    /// Reason, for logs.
    pub reason: Box<str>,
}

/// Removes an ended request from the batch of a later stage: `POST /v1/release`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseCall {
    /// Request that ended.
    pub request: RequestId,
    /// Attempt that ended.
    pub attempt: AttemptNumber,
}

/// KV cache that an engine holds for one request: `GET /v1/kv/<request>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KvReport {
    /// Number of positions held, in addition to the prompt.
    pub(crate) length: TokenPosition,
    /// First layer held.
    pub(crate) first_layer: u16,
    /// Last layer held.
    pub(crate) last_layer: u16,
}

/// HTTP client for calls to other engines, with a connection pool.
#[derive(Clone)]
pub(crate) struct StageClient {
    agent: ureq::Agent,
}

impl StageClient {
    pub(crate) fn new() -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            // A global timeout would make the client start a resolver thread for each call.
            .timeout_recv_response(Some(STAGE_RESPONSE_TIMEOUT))
            .max_idle_connections(4 * MAX_IDLE_PER_ENGINE)
            .max_idle_connections_per_host(MAX_IDLE_PER_ENGINE)
            .build();
        Self { agent: config.into() }
    }

    /// Sends a token to the stage at the call's index in the route.
    pub(crate) async fn forward(&self, call: ForwardCall) -> Result<ForwardReply, StageFailure> {
        let stage = call.route[call.index].clone();
        let address = stage.address.clone();
        let result: Result<Result<ForwardReply, StageFailure>, ureq::Error> =
            self.post(&address, "/v1/forward", call).await;
        result.unwrap_or_else(|error| {
            Err(StageFailure { endpoint: stage.endpoint, reason: error.to_string().into() })
        })
    }

    /// Notifies a later stage that an attempt ended. If the call fails, the request leaves the
    /// stage's batch after the idle timeout.
    pub(crate) async fn release(&self, address: Box<str>, call: ReleaseCall) {
        let _: Result<Result<(), StageFailure>, _> = self.post(&address, "/v1/release", call).await;
    }

    /// Queries the KV cache that an engine holds for a request; none if the query fails.
    pub(crate) async fn kv_report(&self, address: &str, request: &str) -> Option<KvReport> {
        let agent = self.agent.clone();
        let url = format!("http://{address}/v1/kv/{request}");
        let query = move || -> Option<KvReport> {
            let call = agent.get(&url).config().timeout_global(Some(KV_REPORT_TIMEOUT)).build();
            let mut response = call.call().ok()?;
            serde_json::from_slice(&response.body_mut().read_to_vec().ok()?).ok()
        };
        tokio::task::spawn_blocking(query).await.ok()?
    }

    async fn post<T: DeserializeOwned + Send + 'static>(
        &self,
        address: &str,
        path: &str,
        call: impl Serialize,
    ) -> Result<Result<T, StageFailure>, ureq::Error> {
        let agent = self.agent.clone();
        let url = format!("http://{address}{path}");
        let body = serde_json::to_vec(&call).expect("stage calls serialize to JSON");
        let send = move || -> Result<Result<T, StageFailure>, ureq::Error> {
            let mut response = agent.post(&url).send(&body)?;
            let is_error = !response.status().is_success();
            let body = response.body_mut().read_to_vec()?;
            if is_error {
                return Ok(Err(serde_json::from_slice(&body)?));
            }
            Ok(Ok(serde_json::from_slice(&body)?))
        };
        tokio::task::spawn_blocking(send).await.expect("the blocking stage call does not panic")
    }
}
