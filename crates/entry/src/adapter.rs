//! Interface to a platform: its headers, message formats and registry. Implemented by an adapter.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use hyper::HeaderMap;
use jacinthrock::EndpointName;

use crate::endpoints::{EndpointChange, EndpointEntry, LayerSpan};
use crate::path::PathStage;
use crate::rules::ServingRules;
use crate::version::RegistryVersion;

/// Identifier of a part of a prompt.
pub type PromptPart = Box<str>;

/// Fields decoded from the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// Identifier of the caller's attempt.
    pub attempt: Box<str>,
    /// Time that the caller waits for the response.
    pub deadline: Option<Duration>,
    /// Customer's key.
    pub key: Option<Box<str>>,
    /// Event after which a stream resumes.
    pub resume_after: Option<u64>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: Option<u32>,
    /// Maximum number of tokens of the answer.
    pub max_output_tokens: Option<u32>,
    /// Estimated number of tokens of the answer.
    pub output_tokens_hint: Option<u32>,
    /// Identifiers of the parts of the prompt that requests share, in order: all but the last part.
    pub shared_parts: Vec<PromptPart>,
    /// Identifier of the last part of the prompt, the request's own.
    pub own_part: Option<PromptPart>,
}

/// Fields that this host adds to the head of a request that it forwards.
#[derive(Clone, Debug)]
pub struct SendHead<'a> {
    /// Endpoint that the request is sent to.
    pub endpoint: &'a EndpointName,
    /// Time until the deadline.
    pub deadline: Duration,
    /// Customer that the request's key identifies.
    pub customer: Option<&'a str>,
    /// Stages that a stream passes through; empty for plain calls.
    pub path: &'a [PathStage],
    /// Event after which the stream resumes.
    pub resume_after: Option<u64>,
    /// Urgency from 0, the highest, to 9.
    pub urgency: Option<u8>,
}

/// What a reply says of the rate of requests that its endpoint takes from all hosts together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateNotice {
    /// The endpoint names no limit.
    #[default]
    Unlimited,
    /// The endpoint takes this many requests per second.
    Limit(f64),
    /// The endpoint names a limit that is no rate.
    Unreadable,
}

/// Fields decoded from the head of an endpoint's reply.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplyHead {
    /// Whether the endpoint guarantees that it has not run the request.
    pub is_not_run: bool,
    /// Whether the reply carries the identifier of the attempt that was sent.
    pub is_for_attempt: bool,
    /// Whether the reply carries the endpoint's stamp.
    pub is_signed: bool,
    /// Whether the body has a content encoding, which no request asks for.
    pub is_encoded: bool,
    /// Address of the stage that caused the failure.
    pub fault_at: Option<SocketAddr>,
    /// Whether the endpoint says that it leaves.
    pub is_leaving: bool,
    /// Time for which the endpoint wants no requests from this host.
    pub retry_after: Option<Duration>,
    /// Requests that the endpoint takes from all hosts together.
    pub rate: RateNotice,
}

/// Encodes and decodes the platform's headers and bodies.
pub trait CallCodec {
    /// Decodes the head of a caller's request.
    fn read_call(&self, headers: &HeaderMap) -> CallHead;
    /// Headers for an endpoint: the caller's without its key, plus the fields that this host adds.
    fn endpoint_headers(&self, caller: &HeaderMap, send: &SendHead<'_>) -> HeaderMap;
    /// Headers for another host that serves the call: the caller's with its key, the remaining time
    /// and the event after which a stream resumes.
    fn forward_headers(
        &self,
        caller: &HeaderMap,
        deadline: Duration,
        resume_after: Option<u64>,
    ) -> HeaderMap;
    /// Adds to a reply that its request has not run.
    fn mark_not_run(&self, headers: &mut HeaderMap);
    /// Decodes the head of an endpoint's reply.
    fn read_reply(&self, attempt: &str, headers: &HeaderMap) -> ReplyHead;
    /// Request path of an endpoint's state report.
    fn report_path(&self) -> &'static str;
    /// Decodes an endpoint's state report.
    fn read_report(&self, body: &[u8]) -> Option<EndpointReport>;
    /// Request path for orders to an endpoint.
    fn order_path(&self) -> &'static str;
    /// Adds the expected endpoint to a request, so that any other endpoint that has taken over the
    /// address rejects it.
    fn expect_endpoint(&self, headers: &mut HeaderMap, name: &EndpointName);
    /// Body of an order to hold a span of layers. It takes effect only if the endpoint has accepted
    /// exactly `orders` orders before.
    fn placement_order(&self, span: LayerSpan, orders: u64) -> Vec<u8>;
    /// Body of an order to the first stage of a running stream to continue over another path that
    /// begins at the same stage. New stages prefill all tokens of the stream so far.
    fn repath_order(&self, attempt: &str, path: &[PathStage]) -> Vec<u8>;
    /// Decodes the address of the endpoint that prevents an order, from the body of the reply.
    fn read_order_fault(&self, body: &[u8]) -> Option<SocketAddr>;
}

/// State that an endpoint reports about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointReport {
    /// Number of orders that it has accepted.
    pub orders: u64,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Layers that it holds.
    pub layers: Option<LayerSpan>,
    /// Start time of the endpoint, in ms since the Unix epoch; 0 if not reported.
    pub start_unix_ms: u64,
    /// Share of its KV cache in use; 0 if not reported.
    pub kv_usage: f64,
    /// Addresses of the stages at which its streams are stalled.
    pub stalled: Vec<SocketAddr>,
}

/// Error of a call to the registry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistryError {
    /// The call had no effect.
    #[error("registry unavailable: {0}")]
    Unavailable(Box<str>),
    /// The call may have taken effect.
    #[error("no reply from the registry, outcome unknown: {0}")]
    Ambiguous(Box<str>),
    /// The registry no longer has the changes since the version that a watch starts at, or was
    /// restored from a copy since then.
    #[error("registry no longer has the changes since the requested version")]
    Gap,
    /// The record's version is not the expected one.
    #[error("record was changed by another host")]
    Conflict,
}

/// A small object that entry hosts write to the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryRecord {
    /// Name, unique within its group.
    pub name: Box<str>,
    /// Registry version of its last change.
    pub version: RegistryVersion,
    /// Content.
    pub text: Box<str>,
}

/// Groups of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordGroup {
    /// Entry hosts, with their addresses.
    Hosts,
    /// Leases, such as the placement lease, with their holders.
    Leases,
}

/// Result of a call to the registry.
pub type RegistryResult<'a, T> = LocalBoxFuture<'a, Result<T, RegistryError>>;

/// Client of the platform's registry, which stores rules, endpoints and records.
pub trait RegistryClient {
    /// Reads the rules; `None` if the operator has not set any.
    fn rules(&self) -> RegistryResult<'_, (RegistryVersion, Option<ServingRules>)>;
    /// Waits for rules newer than version `after`; `None` if there are none within `wait`.
    fn watch_rules(
        &self,
        after: RegistryVersion,
        wait: Duration,
    ) -> RegistryResult<'_, (RegistryVersion, Option<ServingRules>)>;
    /// Lists the endpoints.
    fn endpoints(&self) -> RegistryResult<'_, (RegistryVersion, Vec<EndpointEntry>)>;
    /// Waits for changes of endpoints after version `after`; empty if there are none within `wait`.
    fn watch_endpoints(
        &self,
        after: RegistryVersion,
        wait: Duration,
    ) -> RegistryResult<'_, (RegistryVersion, Vec<EndpointChange>)>;
    /// Lists the records of a group, with the version of the list. It may be stale by a few
    /// seconds.
    fn records(
        &self,
        group: RecordGroup,
    ) -> RegistryResult<'_, (RegistryVersion, Vec<RegistryRecord>)>;
    /// Writes a record if its version is `expected`; with `None`, creates it. Returns the new
    /// version. Its era is above that of `expected` if the registry was restored in between.
    fn write_record(
        &self,
        group: RecordGroup,
        name: Box<str>,
        expected: Option<RegistryVersion>,
        text: Box<str>,
    ) -> RegistryResult<'_, RegistryVersion>;
    /// Deletes a record.
    fn delete_record(&self, group: RecordGroup, name: Box<str>) -> RegistryResult<'_, ()>;
}
