//! Calls to endpoints over HTTP, each on a thread of the runtime's blocking pool.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::time::Duration;
use tokio::sync::mpsc;
use ureq::http::{Request, Response};
use ureq::{Agent, Body};

use crate::agent::ip_address_agent;
use crate::endpoint::{
    CallFailure, EndpointCaller, EngineOrder, EngineStatus, EventReceiver, GenerateCall,
    GenerateEvent, PlainCall, PlainReply,
};

/// Events of one attempt that may wait for the router.
const EVENT_BUFFER: usize = 64;
/// Time to connect to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest silence of an engine before its thread is given back.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest line of an engine's answer, in bytes.
const MAX_LINE_BYTES: u64 = 64 * 1024;
/// Largest answer of a plain service, in bytes.
const MAX_REPLY_BYTES: u64 = 1 << 20;
/// An endpoint sets this header on a refusal that it gave before starting the call.
const NOT_STARTED: &str = "x-not-started";
/// An endpoint sets this header on a refusal that it gave because it is leaving.
const LEAVING: &str = "x-leaving";

/// Calls endpoints with `ureq`.
#[derive(Clone)]
pub struct HttpCaller {
    pooled: Agent,
    fresh: Agent,
}

impl Default for HttpCaller {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpCaller {
    /// A caller that keeps connections to engines and opens a new one for each plain call.
    ///
    /// A kept connection may have been closed by the endpoint unseen; a call sent on it has an
    /// unknown outcome, which a non-idempotent call should not get without need.
    pub fn new() -> Self {
        let config = || {
            Agent::config_builder()
                .http_status_as_error(false)
                .max_redirects(0)
                .proxy(None)
                .no_delay(true)
                .timeout_connect(Some(CONNECT_TIMEOUT))
        };
        let fresh = config().max_idle_connections(0).max_idle_connections_per_host(0).build();
        Self { pooled: ip_address_agent(config().build()), fresh: ip_address_agent(fresh) }
    }
}

impl EndpointCaller for HttpCaller {
    fn generate(&self, call: GenerateCall, timeout: Duration) -> EventReceiver {
        let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
        let agent = self.fresh.clone();
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
        let agent = self.fresh.clone();
        let url = format!("http://{address}{}", call.path);
        blocking(move || plain_reply(send_plain(&agent, &url, call)?)).boxed_local()
    }

    fn status(
        &self,
        address: &str,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        let agent = self.pooled.clone();
        let url = format!("http://{address}/v1/status");
        blocking(move || {
            let request = agent.get(&url).config().timeout_global(Some(timeout)).build();
            engine_status(request.call().map_err(failure)?)
        })
        .boxed_local()
    }

    fn order(
        &self,
        address: &str,
        order: EngineOrder,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        let agent = self.fresh.clone();
        let url = format!("http://{address}/v1/order");
        blocking(move || {
            let request = agent.post(&url).config().timeout_global(Some(timeout)).build();
            engine_status(request.send_json(order).map_err(failure)?)
        })
        .boxed_local()
    }
}

async fn blocking<T: Send + 'static>(
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
    let response = accepted(request.send_json(call).map_err(failure)?)?;
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
    let read = reader.take(MAX_LINE_BYTES).read_until(b'\n', &mut line).map_err(broken)?;
    if read == 0 {
        return Ok(None);
    }
    serde_json::from_slice(&line).map(Some).map_err(broken)
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
    accepted(agent.run(request).map_err(failure)?)
}

fn plain_reply(response: Response<Body>) -> Result<PlainReply, CallFailure> {
    let status = response.status().as_u16();
    let content_type = header(&response, "content-type").unwrap_or_default().into();
    let body = response
        .into_body()
        .into_with_config()
        .limit(MAX_REPLY_BYTES)
        .read_to_vec()
        .map_err(broken)?;
    Ok(PlainReply { status, content_type, body: body.into() })
}

fn engine_status(response: Response<Body>) -> Result<EngineStatus, CallFailure> {
    accepted(response)?.into_body().read_json().map_err(broken)
}

fn accepted(response: Response<Body>) -> Result<Response<Body>, CallFailure> {
    if header(&response, NOT_STARTED).is_none() {
        return Ok(response);
    }
    let leaving = header(&response, LEAVING).is_some();
    let reason = format!("status {}", response.status().as_u16()).into();
    Err(CallFailure::Refused { reason, leaving })
}

fn header<'a>(response: &'a Response<Body>, name: &str) -> Option<&'a str> {
    response.headers().get(name).and_then(|value| value.to_str().ok())
}

fn broken(error: impl std::fmt::Display) -> CallFailure {
    CallFailure::Broken(error.to_string().into())
}

/// Sorts an error by whether a byte of the call may have left.
fn failure(error: ureq::Error) -> CallFailure {
    let not_sent = match &error {
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
    if not_sent { CallFailure::NotSent(error.to_string().into()) } else { broken(error) }
}
