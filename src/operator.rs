//! HTTP server for operators: health, metrics, status and drain.

use rouille::{Request, Response, Server};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use tokio::sync::Notify;

use crate::ids::{ConfigRevision, Incarnation};
use crate::metrics::MetricRegistry;

/// State of a host, as returned by `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct HostStatus {
    pub(crate) host: Box<str>,
    pub(crate) domain: Box<str>,
    pub(crate) incarnation: Incarnation,
    pub(crate) revision: ConfigRevision,
    pub(crate) state: Box<str>,
    pub(crate) open_requests: u64,
    pub(crate) live_peers: Vec<Box<str>>,
    pub(crate) endpoints: Vec<EndpointStatus>,
    pub(crate) detail: Box<str>,
}

/// State of an endpoint, as returned by `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct EndpointStatus {
    pub(crate) endpoint: Box<str>,
    pub(crate) state: Box<str>,
}

/// State that a daemon shares with its operator server, which runs on separate threads.
#[derive(Default)]
pub(crate) struct OperatorState {
    is_ready: AtomicBool,
    status: Mutex<HostStatus>,
    drain: Notify,
}

impl OperatorState {
    /// Sets whether `GET /readyz` reports that the host is ready.
    pub(crate) fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Sets the response of `GET /status`.
    pub(crate) fn set_status(&self, status: HostStatus) {
        *self.status.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = status;
    }

    /// Waits until an operator requests a drain.
    pub(crate) async fn drain_requested(&self) {
        self.drain.notified().await;
    }

    fn status(&self) -> HostStatus {
        self.status.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }
}

/// Number of threads of the operator server.
const OPERATOR_THREADS: usize = 2;

/// Starts the operator server in the background; it runs for the lifetime of the process.
pub(crate) fn serve(
    address: SocketAddr,
    operator_state: Arc<OperatorState>,
    metrics: MetricRegistry,
) -> Result<(), Box<str>> {
    let server =
        Server::new(address, move |request| handle_request(request, &operator_state, &metrics))
            .map_err(|error| Box::<str>::from(error.to_string()))?
            .pool_size(OPERATOR_THREADS);
    thread::Builder::new()
        .name("operator".into())
        .spawn(move || server.run())
        .map_err(|error| Box::<str>::from(error.to_string()))?;
    Ok(())
}

fn handle_request(
    request: &Request,
    operator_state: &OperatorState,
    metrics: &MetricRegistry,
) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/healthz") => Response::text("ok\n"),
        ("GET", "/readyz") => readiness(operator_state),
        ("GET", "/metrics") => {
            Response::from_data("text/plain; version=0.0.4", metrics.render().into_bytes())
        }
        ("GET", "/status") => Response::json(&operator_state.status()),
        ("POST", "/drain") => {
            operator_state.drain.notify_one();
            Response::text("draining\n").with_status_code(202)
        }
        _ => Response::empty_404(),
    }
}

fn readiness(operator_state: &OperatorState) -> Response {
    if operator_state.is_ready.load(Ordering::Relaxed) {
        return Response::text("ready\n");
    }
    Response::text("not ready\n").with_status_code(503)
}
