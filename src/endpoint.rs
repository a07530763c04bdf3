//! Interface of endpoints, which are model engines and plain services: calls, replies and failures.

use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::sync::mpsc;

use crate::ids::{AttemptNumber, EndpointName, FenceNumber, LayerIndex, RequestId, TokenPosition};

/// Priority class of a request; the variants are ordered from the highest to the lowest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// A user waits for each token.
    Guidance,
    /// A user waits for the whole answer.
    #[default]
    Interactive,
    /// No user waits; throughput matters more than latency.
    Batch,
}

/// One stage of a route: an endpoint and the layer range that it runs, both ends inclusive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteStage {
    /// Endpoint that runs the stage.
    pub endpoint: EndpointName,
    /// IP address and port of the endpoint.
    pub address: Box<str>,
    /// First layer that the stage runs.
    pub first_layer: LayerIndex,
    /// Last layer that the stage runs.
    pub last_layer: LayerIndex,
}

/// A request to the first stage of a route: `POST /v1/generate`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateCall {
    /// Request that the tokens belong to.
    pub request: RequestId,
    /// Number of the attempt; a stage refuses one lower than the highest seen for the request.
    pub attempt: AttemptNumber,
    /// Name of the model.
    pub model: Box<str>,
    /// Version of the model.
    pub version: Box<str>,
    /// Stages in the order of their layers.
    pub route: Vec<RouteStage>,
    /// Text that the answer continues.
    pub prompt: Box<str>,
    /// Tokens accepted from earlier attempts; the first new token takes the next position.
    pub accepted: Vec<u64>,
    /// Length of the whole answer, in tokens.
    pub max_tokens: TokenPosition,
    /// Priority class by which the engine schedules the request.
    pub priority: PriorityClass,
    /// Endpoints that may still hold the request's KV cache, by address.
    #[serde(default)]
    pub kv_sources: Vec<Box<str>>,
}

/// What a stage reports about itself with each token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageReport {
    /// Endpoint that ran the stage.
    pub endpoint: EndpointName,
    /// Version of the model that the endpoint holds.
    pub version: Box<str>,
    /// First layer that the stage ran.
    pub first_layer: LayerIndex,
    /// Last layer that the stage ran.
    pub last_layer: LayerIndex,
}

/// One event of the answer to a [`GenerateCall`], which is a stream of JSON lines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum GenerateEvent {
    /// The next token.
    Token {
        /// Attempt that produced the token.
        attempt: AttemptNumber,
        /// Position of the token in the answer.
        position: TokenPosition,
        /// Value of the token.
        token: u64,
        /// Stages that ran, in execution order.
        stages: Vec<StageReport>,
    },
    /// End of the answer.
    End {
        /// Attempt that ended.
        attempt: AttemptNumber,
        /// Length of the whole answer, in tokens.
        length: TokenPosition,
        /// SHA-256 of the tokens as little-endian bytes, in hexadecimal.
        digest: Box<str>,
    },
    /// The attempt failed.
    Failed {
        /// Attempt that failed.
        attempt: AttemptNumber,
        /// Endpoint whose stage failed.
        endpoint: EndpointName,
        /// Reason, for logs.
        reason: Box<str>,
    },
}

/// State and load of an engine: `GET /v1/status`. The load lags behind the actual one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Name of the model that the engine holds.
    pub model: Box<str>,
    /// Version of the model that the engine holds.
    pub version: Box<str>,
    /// First layer that the engine holds.
    pub first_layer: LayerIndex,
    /// Last layer that the engine holds.
    pub last_layer: LayerIndex,
    /// Highest fence that the engine has seen in an order.
    pub fence: FenceNumber,
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait in the engine's queue.
    pub waiting: u32,
    /// Whether the engine is leaving and refuses new work.
    pub leaving: bool,
}

/// Desired state of an engine: `POST /v1/order`. It is absolute, so that repeating it is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fence of the controller's lease under which the order is given.
    pub fence: FenceNumber,
    /// Name of the model to hold.
    pub model: Box<str>,
    /// Version of the model to hold.
    pub version: Box<str>,
    /// First layer to hold.
    pub first_layer: LayerIndex,
    /// Last layer to hold.
    pub last_layer: LayerIndex,
    /// Whether to refuse new work.
    pub leaving: bool,
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainCall {
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query, without the service's prefix.
    pub path: Box<str>,
    /// Headers to forward, with names in lower case.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Body.
    pub body: Box<[u8]>,
    /// Time after which the call is given up.
    pub timeout: Duration,
}

/// Complete response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainReply {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: Box<str>,
    /// Body.
    pub body: Box<[u8]>,
}

/// Reason why a call to an endpoint gave no complete answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallFailure {
    /// The connection could not be established, so that nothing was sent.
    #[error("endpoint not reached: {0}")]
    NotSent(Box<str>),
    /// The endpoint refused the call before starting it.
    #[error("endpoint refused the call before starting: {reason}")]
    Refused {
        /// Reason that the endpoint gave.
        reason: Box<str>,
        /// Whether the endpoint refused because it is leaving.
        leaving: bool,
    },
    /// The call may have run: the connection broke, timed out or gave an invalid response.
    #[error("endpoint failed after the call was sent: {0}")]
    Broken(Box<str>),
}

/// Events of one attempt in order of arrival; dropping the receiver cancels the attempt.
pub type EventReceiver = mpsc::Receiver<Result<GenerateEvent, CallFailure>>;

/// Calls endpoints; a trait so that tests can use fake endpoints.
pub trait EndpointClient {
    /// Starts an attempt at the first stage of its route.
    ///
    /// The receiver ends without [`GenerateEvent::End`] if the connection closes early.
    fn generate(&self, call: GenerateCall, timeout: Duration) -> EventReceiver;

    /// Calls a plain service on a new connection.
    fn call(
        &self,
        address: &str,
        call: PlainCall,
    ) -> LocalBoxFuture<'_, Result<PlainReply, CallFailure>>;

    /// Reads the status of an engine.
    fn status(
        &self,
        address: &str,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>>;

    /// Sends an order to an engine and returns the status that it reports.
    fn order(
        &self,
        address: &str,
        order: EngineOrder,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>>;
}
