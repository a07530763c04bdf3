//! HTTP client of the platform's object API.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::cell::Cell;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use ureq::http::{Response, StatusCode};
use ureq::{Agent, Body};

use crate::agent::ip_address_agent;
use crate::codes::ResultCode;
use crate::ids::ObjectVersion;
use crate::metrics::{MetricName, MetricRegistry};
use crate::platform::{PlatformStore, StoreChange, StoreError, StoreListing, StoredObject};

/// Header with the version of an object.
const VERSION_HEADER: &str = "x-object-version";
/// Maximum size of a response body in bytes.
const MAX_REPLY_BYTES: u64 = 64 << 20;
/// Idle time after which a connection is no longer reused.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);
/// Delay until the next call if a throttled response has no valid `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Timeouts and client-side limits of an [`HttpStore`].
#[derive(Clone, Debug, PartialEq)]
pub struct HttpStoreOptions {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Timeout of the wait for the rate limit and a free thread, and separately of the HTTP call. A
    /// watch adds its wait to the latter.
    pub call_timeout: Duration,
    /// Maximum number of calls in flight, each on its own thread.
    pub concurrent_calls: usize,
    /// Maximum number of watches in flight in addition to the calls, each on its own thread.
    pub concurrent_watches: usize,
    /// Maximum rate of calls per second, watches included.
    pub calls_per_second: u32,
    /// Number of calls that may exceed the rate in a burst.
    pub burst: u32,
}

impl Default for HttpStoreOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
            concurrent_calls: 16,
            concurrent_watches: 8,
            calls_per_second: 200,
            burst: 50,
        }
    }
}

/// [`PlatformStore`] over HTTP.
///
/// Runs each call on a thread of the runtime's blocking pool. A failure to connect is
/// [`StoreError::Unavailable`]; any later failure of a write is [`StoreError::Ambiguous`].
pub struct HttpStore {
    agent: Agent,
    base_url: Box<str>,
    options: HttpStoreOptions,
    calls: Arc<Semaphore>,
    watches: Arc<Semaphore>,
    rate_limiter: RateLimiter,
    metrics: Arc<MetricRegistry>,
}

/// Rate limiter for calls: the generic cell rate algorithm.
struct RateLimiter {
    emission_interval: Duration,
    burst_tolerance: Duration,
    /// Theoretical arrival time of the next call.
    arrival_time: Cell<Option<Instant>>,
}

impl RateLimiter {
    fn new(options: &HttpStoreOptions) -> Self {
        let emission_interval = Duration::from_secs(1) / options.calls_per_second.max(1);
        Self {
            emission_interval,
            burst_tolerance: emission_interval * options.burst,
            arrival_time: Cell::new(None),
        }
    }

    /// Admits a call, or returns the time to wait before the next attempt.
    fn admit(&self, now: Instant) -> Result<(), Duration> {
        let arrival_time = self.arrival_time.get().unwrap_or(now).max(now);
        let delay = arrival_time - now;
        if delay > self.burst_tolerance {
            return Err(delay - self.burst_tolerance);
        }
        self.arrival_time.set(Some(arrival_time + self.emission_interval));
        Ok(())
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Get,
    Put,
    Delete,
    List,
    Watch,
}

impl CallKind {
    fn name(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::List => "list",
            Self::Watch => "watch",
        }
    }

    fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }

    /// Returns the error for a call that was sent but got no usable reply.
    fn reply_error(self, reason: impl Into<Box<str>>) -> StoreError {
        if self.is_write() {
            return StoreError::Ambiguous(reason.into());
        }
        StoreError::Unavailable(reason.into())
    }
}

#[derive(Deserialize)]
struct PutReply {
    version: ObjectVersion,
}

#[derive(Deserialize)]
struct ConflictReply {
    current: ObjectVersion,
}

#[derive(Deserialize)]
struct ObjectReply {
    key: Box<str>,
    version: ObjectVersion,
    value: String,
}

#[derive(Deserialize)]
struct ListReply {
    version: ObjectVersion,
    objects: Vec<ObjectReply>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum ChangeReply {
    Put(ObjectReply),
    Delete { key: Box<str>, version: ObjectVersion },
}

#[derive(Deserialize)]
struct WatchReply {
    version: ObjectVersion,
    changes: Vec<ChangeReply>,
}

impl From<ObjectReply> for StoredObject {
    fn from(reply: ObjectReply) -> Self {
        Self { key: reply.key, version: reply.version, value: reply.value.into_bytes().into() }
    }
}

impl From<ChangeReply> for StoreChange {
    fn from(reply: ChangeReply) -> Self {
        match reply {
            ChangeReply::Put(object) => Self::Put(object.into()),
            ChangeReply::Delete { key, version } => Self::Delete { key, version },
        }
    }
}

impl HttpStore {
    /// Creates a client of the platform at `base_url`, such as `http://10.0.0.2:7000`.
    pub fn new(
        base_url: impl Into<Box<str>>,
        options: HttpStoreOptions,
        metrics: Arc<MetricRegistry>,
    ) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(options.connect_timeout))
            .timeout_global(Some(options.call_timeout))
            .max_idle_age(MAX_IDLE_AGE)
            .max_idle_connections_per_host(options.concurrent_calls + options.concurrent_watches)
            .build();
        Self {
            agent: ip_address_agent(config),
            base_url: base_url.into().trim_end_matches('/').into(),
            calls: Arc::new(Semaphore::new(options.concurrent_calls)),
            watches: Arc::new(Semaphore::new(options.concurrent_watches)),
            rate_limiter: RateLimiter::new(&options),
            options,
            metrics,
        }
    }

    fn object_url(&self, key: &str) -> String {
        format!("{}/v1/objects/{}", self.base_url, encode_key(key))
    }

    /// Runs a blocking call within the client-side limits and counts its result.
    async fn perform<T: Send + 'static>(
        &self,
        kind: CallKind,
        wait: Duration,
        call: impl FnOnce(&Agent) -> Result<T, StoreError> + Send + 'static,
    ) -> Result<T, StoreError> {
        let result = self.perform_uncounted(kind, wait, call).await;
        let outcome_label = result.as_ref().map_or_else(error_label, |_| "ok");
        self.metrics.count(MetricName::StoreCalls, &[kind.name(), outcome_label]);
        result
    }

    async fn perform_uncounted<T: Send + 'static>(
        &self,
        kind: CallKind,
        wait: Duration,
        call: impl FnOnce(&Agent) -> Result<T, StoreError> + Send + 'static,
    ) -> Result<T, StoreError> {
        let deadline = Instant::now() + self.options.call_timeout;
        while let Err(pause) = self.rate_limiter.admit(Instant::now()) {
            if Instant::now() + pause > deadline {
                return Err(StoreError::Throttled { retry_after: pause });
            }
            tokio::time::sleep(pause).await;
        }
        let semaphore = if kind == CallKind::Watch { &self.watches } else { &self.calls };
        let permit = tokio::time::timeout_at(deadline, semaphore.clone().acquire_owned())
            .await
            .map_err(|_| StoreError::Unavailable("too many calls in flight".into()))?
            .expect("the semaphore is never closed");
        let agent = self.agent.clone();
        let worker = tokio::task::spawn_blocking(move || {
            let result = call(&agent);
            drop(permit);
            result
        });
        let worker_timeout = self.options.call_timeout * 2 + wait;
        match tokio::time::timeout(worker_timeout, worker).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(kind.reply_error("the call's thread failed")),
            Err(_) => Err(kind.reply_error("the call's thread did not end in time")),
        }
    }
}

impl PlatformStore for HttpStore {
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<StoredObject>, StoreError>> {
        let url = self.object_url(key);
        let key: Box<str> = key.into();
        let call = move |agent: &Agent| {
            let mut response =
                agent.get(url).call().map_err(|error| call_error(CallKind::Get, &error))?;
            if response.status() == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            check_status(CallKind::Get, &mut response)?;
            let version = version_header(&response)?;
            let value = read_body(CallKind::Get, &mut response)?;
            Ok(Some(StoredObject { key, version, value: value.into() }))
        };
        self.perform(CallKind::Get, Duration::ZERO, call).boxed_local()
    }

    fn put(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: Box<[u8]>,
    ) -> LocalBoxFuture<'_, Result<ObjectVersion, StoreError>> {
        let url = self.object_url(key);
        let call = move |agent: &Agent| {
            let request = agent.put(url).header("If-Match", expected.to_string());
            let mut response =
                request.send(&value[..]).map_err(|error| call_error(CallKind::Put, &error))?;
            check_status(CallKind::Put, &mut response)?;
            read_json::<PutReply>(CallKind::Put, &mut response).map(|reply| reply.version)
        };
        self.perform(CallKind::Put, Duration::ZERO, call).boxed_local()
    }

    fn delete(
        &self,
        key: &str,
        expected: ObjectVersion,
    ) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        let url = self.object_url(key);
        let call = move |agent: &Agent| {
            let request = agent.delete(url).header("If-Match", expected.to_string());
            let mut response =
                request.call().map_err(|error| call_error(CallKind::Delete, &error))?;
            check_status(CallKind::Delete, &mut response)
        };
        self.perform(CallKind::Delete, Duration::ZERO, call).boxed_local()
    }

    fn list(&self, prefix: &str) -> LocalBoxFuture<'_, Result<StoreListing, StoreError>> {
        let url = format!("{}/v1/objects?prefix={}", self.base_url, encode_key(prefix));
        let call = move |agent: &Agent| {
            let mut response =
                agent.get(url).call().map_err(|error| call_error(CallKind::List, &error))?;
            check_status(CallKind::List, &mut response)?;
            let reply: ListReply = read_json(CallKind::List, &mut response)?;
            let objects = reply.objects.into_iter().map(StoredObject::from).collect();
            Ok(StoreListing { version: reply.version, objects })
        };
        self.perform(CallKind::List, Duration::ZERO, call).boxed_local()
    }

    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<(ObjectVersion, Vec<StoreChange>), StoreError>> {
        let prefix = encode_key(prefix);
        let wait_ms = wait.as_millis();
        let base_url = &self.base_url;
        let url = format!("{base_url}/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let timeout = self.options.call_timeout + wait;
        let call = move |agent: &Agent| {
            let request = agent.get(url).config().timeout_global(Some(timeout)).build();
            let mut response =
                request.call().map_err(|error| call_error(CallKind::Watch, &error))?;
            check_status(CallKind::Watch, &mut response)?;
            let reply: WatchReply = read_json(CallKind::Watch, &mut response)?;
            Ok((reply.version, reply.changes.into_iter().map(StoreChange::from).collect()))
        };
        self.perform(CallKind::Watch, wait, call).boxed_local()
    }
}

/// Percent-encodes a key for use in a path or query. `/` is kept.
fn encode_key(key: &str) -> String {
    let mut encoded = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~/".contains(&byte) {
            encoded.push(char::from(byte));
            continue;
        }
        encoded.push_str(&format!("%{byte:02X}"));
    }
    encoded
}

/// Converts a client error according to whether the request may have been sent.
fn call_error(kind: CallKind, error: &ureq::Error) -> StoreError {
    let was_not_sent = match error {
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::HostNotFound | ureq::Error::ConnectionFailed | ureq::Error::BadUri(_) => true,
        _ => false,
    };
    if was_not_sent {
        return StoreError::Unavailable(error.to_string().into());
    }
    kind.reply_error(error.to_string())
}

fn check_status(kind: CallKind, response: &mut Response<Body>) -> Result<(), StoreError> {
    match response.status() {
        status if status.is_success() => Ok(()),
        StatusCode::CONFLICT => {
            let reply: ConflictReply = read_json(kind, response)?;
            Err(StoreError::Conflict { current: reply.current })
        }
        StatusCode::GONE => Err(StoreError::Gap),
        StatusCode::TOO_MANY_REQUESTS => {
            Err(StoreError::Throttled { retry_after: retry_after(response) })
        }
        status if status.is_client_error() => {
            let body = read_body(kind, response).unwrap_or_default();
            let text: String = String::from_utf8_lossy(&body).chars().take(200).collect();
            Err(StoreError::Rejected(format!("status {}: {text}", status.as_u16()).into()))
        }
        status => Err(kind.reply_error(format!("status {}", status.as_u16()))),
    }
}

fn retry_after(response: &Response<Body>) -> Duration {
    let header = response.headers().get("retry-after").and_then(|value| value.to_str().ok());
    let seconds = header.and_then(|text| text.trim().parse::<u64>().ok());
    seconds.map_or(DEFAULT_RETRY_AFTER, |seconds| Duration::from_secs(seconds.min(60)))
}

fn version_header(response: &Response<Body>) -> Result<ObjectVersion, StoreError> {
    let header = response.headers().get(VERSION_HEADER).and_then(|value| value.to_str().ok());
    header
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| StoreError::Unavailable("the answer has no object version".into()))
}

fn read_body(kind: CallKind, response: &mut Response<Body>) -> Result<Vec<u8>, StoreError> {
    let reader = response.body_mut().with_config().limit(MAX_REPLY_BYTES);
    reader.read_to_vec().map_err(|error| kind.reply_error(error.to_string()))
}

fn read_json<T: DeserializeOwned>(
    kind: CallKind,
    response: &mut Response<Body>,
) -> Result<T, StoreError> {
    let body = read_body(kind, response)?;
    serde_json::from_slice(&body).map_err(|error| kind.reply_error(error.to_string()))
}

fn error_label(error: &StoreError) -> &'static str {
    match error {
        StoreError::Conflict { .. } => ResultCode::StoreConflict.name(),
        StoreError::Unavailable(_) => ResultCode::StoreUnavailable.name(),
        StoreError::Throttled { .. } => ResultCode::StoreThrottled.name(),
        StoreError::Ambiguous(_) => ResultCode::StoreAmbiguous.name(),
        StoreError::Rejected(_) => ResultCode::StoreRejected.name(),
        StoreError::Gap => "gap",
    }
}
