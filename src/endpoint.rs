//! Calls to endpoints: model engines and plain services.

use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::sync::mpsc;

use crate::ids::{AttemptNumber, EndpointName, FenceNumber, LayerIndex, RequestId, TokenPosition};

/// Priority class of a request; the first is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// Someone waits for each token.
    Guidance,
    /// Someone waits for the answer.
    #[default]
    Interactive,
    /// Nobody waits; throughput counts.
    Batch,
}

/// One stage of a route: an endpoint and the layers it runs, both ends included.
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
    /// Attempt; a stage refuses one lower than the highest it has seen for the request.
    pub attempt: AttemptNumber,
    /// Name of the model.
    pub model: Box<str>,
    /// Version of the model.
    pub version: Box<str>,
    /// Stages in the order of their layers.
    pub route: Vec<RouteStage>,
    /// Text that the answer continues.
    pub prompt: Box<str>,
    /// Tokens accepted from earlier attempts; the first new token has the next position.
    pub accepted: Vec<u64>,
    /// Length of the whole answer, in tokens.
    pub max_tokens: TokenPosition,
    /// Priority that the engine honours.
    pub priority: PriorityClass,
    /// Endpoints that may still hold the request's KV cache, by address.
    #[serde(default)]
    pub kv_sources: Vec<Box<str>>,
}

/// What a stage says about itself with each token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageReport {
    /// Endpoint that ran the stage.
    pub endpoint: EndpointName,
    /// Version of the model that it holds.
    pub version: Box<str>,
    /// First layer that it ran.
    pub first_layer: LayerIndex,
    /// Last layer that it ran.
    pub last_layer: LayerIndex,
}

/// One line of the answer to a [`GenerateCall`], as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum GenerateEvent {
    /// A token.
    Token {
        /// Attempt that made the token.
        attempt: AttemptNumber,
        /// Position of the token in the answer.
        position: TokenPosition,
        /// Value of the token.
        token: u64,
        /// Stages that ran, in the order in which they ran.
        stages: Vec<StageReport>,
    },
    /// End of the answer.
    End {
        /// Attempt that ended.
        attempt: AttemptNumber,
        /// Length of the whole answer, in tokens.
        length: TokenPosition,
        /// SHA-256 over the tokens as little-endian bytes, in hexadecimal.
        digest: Box<str>,
    },
    /// The answer can't go on.
    Failed {
        /// Attempt that failed.
        attempt: AttemptNumber,
        /// Endpoint whose stage failed.
        endpoint: EndpointName,
        /// Reason, for logs.
        reason: Box<str>,
    },
}

/// State and load of an engine: `GET /v1/status`. The load lags behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Name of the model that it holds.
    pub model: Box<str>,
    /// Version of the model that it holds.
    pub version: Box<str>,
    /// First layer that it holds.
    pub first_layer: LayerIndex,
    /// Last layer that it holds.
    pub last_layer: LayerIndex,
    /// Highest fence that it has seen in an order.
    pub fence: FenceNumber,
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// Whether it is leaving and refuses new work.
    pub leaving: bool,
}

/// Desired state of an engine: `POST /v1/order`. Absolute, so that it can be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fence of the lease under which the order was given.
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
    /// Headers to pass on, names in lower case.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Body.
    pub body: Box<[u8]>,
    /// Time after which the caller no longer waits.
    pub timeout: Duration,
}

/// A plain service's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainReply {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: Box<str>,
    /// Body.
    pub body: Box<[u8]>,
}

/// Why a call to an endpoint gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallFailure {
    /// No byte of the call left: the connection could not be made.
    #[error("endpoint not reached: {0}")]
    NotSent(Box<str>),
    /// The endpoint refused the call before starting it.
    #[error("endpoint refused the call before starting: {reason}")]
    Refused {
        /// Reason that the endpoint gave.
        reason: Box<str>,
        /// Whether it refused because it is leaving.
        leaving: bool,
    },
    /// The call may have run: the connection broke, timed out or carried nonsense.
    #[error("endpoint failed after the call was sent: {0}")]
    Broken(Box<str>),
}

/// Events of one attempt, in the order in which they came; dropping it cancels the attempt.
pub type EventReceiver = mpsc::Receiver<Result<GenerateEvent, CallFailure>>;

/// Calls to endpoints, behind a trait so that tests use fakes.
pub trait EndpointCaller {
    /// Starts an attempt at the first stage of its route.
    ///
    /// The receiver ends without [`GenerateEvent::End`] where the connection closed early.
    fn generate(&self, call: GenerateCall, timeout: Duration) -> EventReceiver;

    /// Calls a plain service on a fresh connection.
    fn call(
        &self,
        address: &str,
        call: PlainCall,
    ) -> LocalBoxFuture<'_, Result<PlainReply, CallFailure>>;

    /// Reads the state of an engine.
    fn status(
        &self,
        address: &str,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>>;

    /// Gives an order to an engine.
    fn order(
        &self,
        address: &str,
        order: EngineOrder,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>>;
}
