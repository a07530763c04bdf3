//! Calls endpoints over HTTP; each call blocks a thread of the runtime's blocking pool.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::time::Duration;
use tokio::sync::mpsc;
use ureq::http::{Request, Response};
use ureq::{Agent, Body};

use crate::agent::ip_address_agent;
use crate::endpoint::{
    CallFailure, EndpointClient, EngineOrder, EngineStatus, EventReceiver, GenerateCall,
    GenerateEvent, PlainCall, PlainReply,
};

/// Events of one attempt that are buffered until the router reads them.
const EVENT_CHANNEL_CAPACITY: usize = 64;
/// Timeout of a connection attempt to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time without data from an engine before its thread is released.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of an event in an engine's answer, which is one line.
const MAX_EVENT_BYTES: u64 = 64 * 1024;
/// Maximum size of the response body of a plain service.
const MAX_REPLY_BYTES: u64 = 1 << 20;
/// Header that an endpoint sets on a refusal that it sends before starting the call.
const NOT_STARTED_HEADER: &str = "x-not-started";
/// Header that an endpoint sets on a refusal that it sends because it is leaving.
const LEAVING_HEADER: &str = "x-leaving";

/// Calls endpoints with `ureq`.
#[derive(Clone)]
pub struct HttpEndpointClient {
    pooled: Agent,
    unpooled: Agent,
}

impl Default for HttpEndpointClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpEndpointClient {
    /// Creates a client that reuses connections for status calls only; every other call opens a new
    /// connection.
    ///
    /// The endpoint may have closed a reused connection without the client noticing. A call sent on
    /// it has an unknown outcome, which non-idempotent calls in particular must avoid.
    pub fn new() -> Self {
        let config = || {
            Agent::config_builder()
                .http_status_as_error(false)
                .max_redirects(0)
                .proxy(None)
                .no_delay(true)
                .timeout_connect(Some(CONNECT_TIMEOUT))
        };
        let unpooled = config().max_idle_connections(0).max_idle_connections_per_host(0).build();
        Self { pooled: ip_address_agent(config().build()), unpooled: ip_address_agent(unpooled) }
    }
}

impl EndpointClient for HttpEndpointClient {
    fn generate(&self, call: GenerateCall, timeout: Duration) -> EventReceiver {
        let (sender, receiver) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
        let agent = self.unpooled.clone();
        tokio::task::spawn_blocking(move || {
            if let Err(failure) = stream_events(&agent, &call, timeout, &sender) {
                let _ = sender.blocking_send(Err(failure));
            }
        });
        receiver
    }

    fn call(
        &self,
        address: &str,
        call: PlainCall,
    ) -> LocalBoxFuture<'_, Result<PlainReply, CallFailure>> {
        let agent = self.unpooled.clone();
        let url = format!("http://{address}{}", call.path);
        run_blocking(move || plain_reply(send_plain(&agent, &url, call)?)).boxed_local()
    }

    fn status(
        &self,
        address: &str,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        let agent = self.pooled.clone();
        let url = format!("http://{address}/v1/status");
        run_blocking(move || {
            let request = agent.get(&url).config().timeout_global(Some(timeout)).build();
            engine_status(request.call().map_err(call_failure)?)
        })
        .boxed_local()
    }

    fn order(
        &self,
        address: &str,
        order: EngineOrder,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        let agent = self.unpooled.clone();
        let url = format!("http://{address}/v1/order");
        run_blocking(move || {
            let request = agent.post(&url).config().timeout_global(Some(timeout)).build();
            engine_status(request.send_json(order).map_err(call_failure)?)
        })
        .boxed_local()
    }
}

async fn run_blocking<T: Send + 'static>(
    work: impl FnOnce() -> Result<T, CallFailure> + Send + 'static,
) -> Result<T, CallFailure> {
    match tokio::task::spawn_blocking(work).await {
        Ok(result) => result,
        Err(error) => Err(CallFailure::Broken(error.to_string().into())),
    }
}

fn stream_events(
    agent: &Agent,
    call: &GenerateCall,
    timeout: Duration,
    sender: &mpsc::Sender<Result<GenerateEvent, CallFailure>>,
) -> Result<(), CallFailure> {
    let first = call.route.first().ok_or(CallFailure::NotSent("route has no stage".into()))?;
    let url = format!("http://{}/v1/generate", first.address);
    let request = agent
        .post(&url)
        .config()
        .timeout_global(Some(timeout))
        .timeout_per_read(Some(READ_TIMEOUT))
        .build();
    let response = check_started(request.send_json(call).map_err(call_failure)?)?;
    let mut reader = BufReader::new(response.into_body().into_reader());
    loop {
        let Some(event) = read_event(&mut reader)? else {
            return Ok(());
        };
        if sender.blocking_send(Ok(event)).is_err() {
            return Ok(());
        }
    }
}

fn read_event(reader: &mut impl BufRead) -> Result<Option<GenerateEvent>, CallFailure> {
    let mut line = Vec::new();
    let read = reader.take(MAX_EVENT_BYTES).read_until(b'\n', &mut line).map_err(broken_call)?;
    if read == 0 {
        return Ok(None);
    }
    serde_json::from_slice(&line).map(Some).map_err(broken_call)
}

fn send_plain(agent: &Agent, url: &str, call: PlainCall) -> Result<Response<Body>, CallFailure> {
    let mut builder = Request::builder().method(&*call.method).uri(url);
    for (name, value) in &call.headers {
        builder = builder.header(&**name, &**value);
    }
    let request = builder
        .body(call.body.into_vec())
        .map_err(|error| CallFailure::NotSent(error.to_string().into()))?;
    let request = agent.configure_request(request).timeout_global(Some(call.timeout)).build();
    check_started(agent.run(request).map_err(call_failure)?)
}

fn plain_reply(response: Response<Body>) -> Result<PlainReply, CallFailure> {
    let status = response.status().as_u16();
    let content_type = header(&response, "content-type").unwrap_or_default().into();
    let body = response
        .into_body()
        .into_with_config()
        .limit(MAX_REPLY_BYTES)
        .read_to_vec()
        .map_err(broken_call)?;
    Ok(PlainReply { status, content_type, body: body.into() })
}

fn engine_status(response: Response<Body>) -> Result<EngineStatus, CallFailure> {
    check_started(response)?.into_body().read_json().map_err(broken_call)
}

fn check_started(response: Response<Body>) -> Result<Response<Body>, CallFailure> {
    if header(&response, NOT_STARTED_HEADER).is_none() {
        return Ok(response);
    }
    let leaving = header(&response, LEAVING_HEADER).is_some();
    let reason = format!("status {}", response.status().as_u16()).into();
    Err(CallFailure::Refused { reason, leaving })
}

fn header<'a>(response: &'a Response<Body>, name: &str) -> Option<&'a str> {
    response.headers().get(name).and_then(|value| value.to_str().ok())
}

fn broken_call(error: impl std::fmt::Display) -> CallFailure {
    CallFailure::Broken(error.to_string().into())
}

/// Classifies an error by whether any part of the call may have been sent.
fn call_failure(error: ureq::Error) -> CallFailure {
    let is_not_sent = match &error {
        ureq::Error::BadUri(_)
        | ureq::Error::Http(_)
        | ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(error) => matches!(
            error.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::AddrNotAvailable
        ),
        _ => false,
    };
    if is_not_sent { CallFailure::NotSent(error.to_string().into()) } else { broken_call(error) }
}
