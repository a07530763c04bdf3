//! Calls between the stages of a route.

use jacinthrock::{
    AttemptNumber, EndpointName, PriorityClass, RequestId, RouteStage, StageReport, TokenPosition,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest wait for a later stage.
const STAGE_TIMEOUT: Duration = Duration::from_secs(120);

/// Longest wait for an engine to say what KV cache it holds.
const KV_REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Idle connections kept to one engine.
const IDLE_CONNECTIONS: usize = 64;

/// One token's way through the rest of a route: `POST /v1/forward`.
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
    /// Stage of the route that the call is for.
    pub index: usize,
    /// Position of the token.
    pub position: TokenPosition,
    /// Fold of the layers so far.
    pub state: u64,
    /// Priority of the request.
    pub priority: PriorityClass,
    /// Whether this is the attempt's first token.
    pub first: bool,
    /// Prompt, sent with the attempt's first token only.
    pub prompt: Box<str>,
    /// Length of the prompt, in words.
    pub prompt_words: u32,
    /// Endpoints that may hold the request's KV cache, by address.
    pub kv_sources: Vec<Box<str>>,
}

/// A token that went through every later stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardReply {
    /// Value of the token.
    pub token: u64,
    /// Stages that ran, in order.
    pub stages: Vec<StageReport>,
}

/// A stage that can't go on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("stage {endpoint} failed: {reason}")]
pub struct StageFailure {
    /// Endpoint of the stage.
    pub endpoint: EndpointName,
    /// Reason, for logs.
    pub reason: Box<str>,
}

/// Takes a request out of a later stage's batch: `POST /v1/release`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseCall {
    /// Request that ended.
    pub request: RequestId,
    /// Attempt that ended.
    pub attempt: AttemptNumber,
}

/// KV cache that an engine holds of one request: `GET /v1/kv/<request>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KvReport {
    /// Positions held, beside the prompt.
    pub(crate) length: TokenPosition,
    /// First layer held.
    pub(crate) first_layer: u16,
    /// Last layer held.
    pub(crate) last_layer: u16,
}

/// Client of the other engines; keeps its connections alive.
#[derive(Clone)]
pub(crate) struct StageClient {
    agent: ureq::Agent,
}

impl StageClient {
    pub(crate) fn new() -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            // A global timeout would cost a resolver thread for each call.
            .timeout_recv_response(Some(STAGE_TIMEOUT))
            .max_idle_connections(4 * IDLE_CONNECTIONS)
            .max_idle_connections_per_host(IDLE_CONNECTIONS)
            .build();
        Self { agent: config.into() }
    }

    /// Sends a token to the stage that its call names.
    pub(crate) async fn forward(&self, call: ForwardCall) -> Result<ForwardReply, StageFailure> {
        let stage = call.route[call.index].clone();
        let address = stage.address.clone();
        let answer: Result<Result<ForwardReply, StageFailure>, ureq::Error> =
            self.post(&address, "/v1/forward", call).await;
        answer.unwrap_or_else(|error| {
            Err(StageFailure { endpoint: stage.endpoint, reason: error.to_string().into() })
        })
    }

    /// Tells a later stage that an attempt ended; a lost call costs only its idle time.
    pub(crate) async fn release(&self, address: Box<str>, call: ReleaseCall) {
        let _: Result<Result<(), StageFailure>, _> = self.post(&address, "/v1/release", call).await;
    }

    /// Asks an engine for the KV cache that it holds of a request.
    pub(crate) async fn kv_report(&self, address: &str, request: &str) -> Option<KvReport> {
        let agent = self.agent.clone();
        let url = format!("http://{address}/v1/kv/{request}");
        let ask = move || -> Option<KvReport> {
            let call = agent.get(&url).config().timeout_global(Some(KV_REPORT_TIMEOUT)).build();
            let mut response = call.call().ok()?;
            serde_json::from_slice(&response.body_mut().read_to_vec().ok()?).ok()
        };
        tokio::task::spawn_blocking(ask).await.ok()?
    }

    async fn post<T: DeserializeOwned + Send + 'static>(
        &self,
        address: &str,
        path: &str,
        call: impl Serialize,
    ) -> Result<Result<T, StageFailure>, ureq::Error> {
        let agent = self.agent.clone();
        let url = format!("http://{address}{path}");
        let body = serde_json::to_vec(&call).expect("calls serialize");
        let send = move || -> Result<Result<T, StageFailure>, ureq::Error> {
            let mut response = agent.post(&url).send(&body)?;
            let refused = !response.status().is_success();
            let body = response.body_mut().read_to_vec()?;
            if refused {
                return Ok(Err(serde_json::from_slice(&body)?));
            }
            Ok(Ok(serde_json::from_slice(&body)?))
        };
        tokio::task::spawn_blocking(send).await.expect("stage calls do not panic")
    }
}
