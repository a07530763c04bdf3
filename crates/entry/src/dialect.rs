//! What the adapter of a platform gives: its headers, its calls, its store.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use hyper::HeaderMap;
use jacinthrock::EndpointName;

use crate::endpoints::{EndpointChange, EndpointEntry, LayerSpan, RegistryVersion};
use crate::path::PathStage;
use crate::rules::ServingRules;

/// What a caller's head says beside the route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// Identifier of the caller's attempt.
    pub attempt: Box<str>,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// Key of the customer.
    pub key: Option<Box<str>>,
    /// Event after which a stream goes on.
    pub resume_after: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u32>,
    /// Most tokens of the answer.
    pub max_output_tokens: Option<u32>,
    /// Estimate of the answer's tokens.
    pub output_tokens_hint: Option<u32>,
}

/// What this host adds to a request that it sends on.
#[derive(Clone, Debug)]
pub struct SendHead<'a> {
    /// Endpoint that the request is meant for.
    pub endpoint: &'a EndpointName,
    /// Time that is left.
    pub deadline: Duration,
    /// Customer whose key the request carried.
    pub customer: Option<&'a str>,
    /// Stages of a stream; empty for plain calls.
    pub path: &'a [PathStage],
    /// Event after which the stream goes on.
    pub resume_after: Option<u64>,
    /// Urgency from 0, the first, to 9.
    pub urgency: Option<u8>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyHead {
    /// The endpoint promises that it has not run the request.
    pub is_not_run: bool,
    /// The answer names the attempt that was sent.
    pub is_for_attempt: bool,
    /// The answer carries the endpoint's signature.
    pub is_signed: bool,
    /// The body is encoded, which no request asks for.
    pub is_encoded: bool,
    /// Stage at fault.
    pub fault_at: Option<SocketAddr>,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// Names of the platform in requests and answers.
pub trait CallCodec {
    /// Reads the head of a caller's request.
    fn read_call(&self, headers: &HeaderMap) -> CallHead;
    /// The head for an endpoint: the caller's without its key, with what this host adds.
    fn endpoint_headers(&self, caller: &HeaderMap, send: &SendHead<'_>) -> HeaderMap;
    /// Reads the head of an endpoint's answer.
    fn read_reply(&self, attempt: &str, headers: &HeaderMap) -> ReplyHead;
    /// Path of an endpoint's state.
    fn report_path(&self) -> &'static str;
    /// Reads an endpoint's state.
    fn read_report(&self, body: &[u8]) -> Option<EndpointReport>;
    /// Path of orders.
    fn order_path(&self) -> &'static str;
    /// Makes a request to an endpoint fail at any other that has its address.
    fn expect_endpoint(&self, headers: &mut HeaderMap, name: &EndpointName);
    /// Body of an order to hold layers, if the endpoint has accepted `orders` orders.
    fn placement_order(&self, span: LayerSpan, orders: u64) -> Vec<u8>;
    /// Body of an order to the first stage of a running stream to go on over another path, which
    /// begins at the same stage. Stages that are new to it read the tokens so far.
    fn repath_order(&self, attempt: &str, path: &[PathStage]) -> Vec<u8>;
    /// Endpoint that keeps an order from being carried out, as the answer's body names it.
    fn read_order_fault(&self, body: &[u8]) -> Option<SocketAddr>;
}

/// State of an endpoint as it reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointReport {
    /// Orders that it has accepted.
    pub orders: u64,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Layers that it holds.
    pub layers: Option<LayerSpan>,
    /// Start of the endpoint, in ms since the Unix epoch; 0 where it does not say.
    pub born: u64,
    /// Share of its memory for tokens that is taken; 0 where it does not say.
    pub fill: f64,
    /// Addresses of stages that hold up its streams.
    pub stalled: Vec<SocketAddr>,
}

/// Why a call to the registry gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistryError {
    /// The call had no effect.
    #[error("registry unavailable: {0}")]
    Unavailable(Box<str>),
    /// The call may have had its effect.
    #[error("registry gave no answer: {0}")]
    Ambiguous(Box<str>),
    /// The history that a watch needs is gone.
    #[error("registry has forgotten the history")]
    Gap,
    /// The note is not as expected.
    #[error("note was changed by another host")]
    Conflict,
}

/// A small object of this system in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryNote {
    /// Name within its group.
    pub name: Box<str>,
    /// Version of its last change.
    pub version: RegistryVersion,
    /// JSON text.
    pub text: Box<str>,
}

/// Groups of notes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoteGroup {
    /// Entry hosts with their addresses.
    Hosts,
    /// Holders of duties.
    Duties,
}

/// Result of a call to the registry.
pub type RegistryResult<'a, T> = LocalBoxFuture<'a, Result<T, RegistryError>>;

/// The platform's registry: rules, endpoints and notes.
pub trait RegistryClient {
    /// Reads the rules; none where the operator has written none.
    fn rules(&self) -> RegistryResult<'_, (RegistryVersion, Option<ServingRules>)>;
    /// Waits for rules later than a version; none after `wait`.
    fn watch_rules(
        &self,
        after: RegistryVersion,
        wait: Duration,
    ) -> RegistryResult<'_, (RegistryVersion, Option<ServingRules>)>;
    /// Lists the endpoints.
    fn endpoints(&self) -> RegistryResult<'_, (RegistryVersion, Vec<EndpointEntry>)>;
    /// Waits for changes of endpoints later than a version; none after `wait`.
    fn watch_endpoints(
        &self,
        after: RegistryVersion,
        wait: Duration,
    ) -> RegistryResult<'_, (RegistryVersion, Vec<EndpointChange>)>;
    /// Lists notes; they may be some seconds old.
    fn notes(&self, group: NoteGroup) -> RegistryResult<'_, Vec<RegistryNote>>;
    /// Writes a note if its version is `expected`; 0 creates it. Returns the new version.
    fn write_note(
        &self,
        group: NoteGroup,
        name: Box<str>,
        expected: RegistryVersion,
        text: Box<str>,
    ) -> RegistryResult<'_, RegistryVersion>;
    /// Deletes a note.
    fn delete_note(&self, group: NoteGroup, name: Box<str>) -> RegistryResult<'_, ()>;
}
