//! The operators' port: health, metrics, status and drain.

use rouille::{Request, Response, Server};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use tokio::sync::Notify;

use crate::counters::CounterRegistry;
use crate::ids::{ConfigRevision, Incarnation};

/// State of a host as operators see it: `GET /status`.
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

/// State of an endpoint as operators see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct EndpointStatus {
    pub(crate) endpoint: Box<str>,
    pub(crate) state: Box<str>,
}

/// What a daemon shares with its operators' port, which runs on threads of its own.
#[derive(Default)]
pub(crate) struct OperatorState {
    ready: AtomicBool,
    status: Mutex<HostStatus>,
    drain: Notify,
}

impl OperatorState {
    /// Sets what `/readyz` answers.
    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Sets what `/status` answers.
    pub(crate) fn set_status(&self, status: HostStatus) {
        *self.status.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = status;
    }

    /// Waits until an operator asks for a drain.
    pub(crate) async fn drain_requested(&self) {
        self.drain.notified().await;
    }

    fn status(&self) -> HostStatus {
        self.status.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }
}

/// Threads that serve the operators' port.
const OPERATOR_THREADS: usize = 2;

/// Serves the operators' port on a thread of its own for as long as the process lives.
pub(crate) fn serve(
    address: SocketAddr,
    board: Arc<OperatorState>,
    counters: CounterRegistry,
) -> Result<(), Box<str>> {
    let server = Server::new(address, move |request| answer(request, &board, &counters))
        .map_err(|error| Box::<str>::from(error.to_string()))?
        .pool_size(OPERATOR_THREADS);
    thread::Builder::new()
        .name("operator".into())
        .spawn(move || server.run())
        .map_err(|error| Box::<str>::from(error.to_string()))?;
    Ok(())
}

fn answer(request: &Request, board: &OperatorState, counters: &CounterRegistry) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/healthz") => Response::text("ok\n"),
        ("GET", "/readyz") => readiness(board),
        ("GET", "/metrics") => {
            Response::from_data("text/plain; version=0.0.4", counters.render().into_bytes())
        }
        ("GET", "/status") => Response::json(&board.status()),
        ("POST", "/drain") => {
            board.drain.notify_one();
            Response::text("draining\n").with_status_code(202)
        }
        _ => Response::empty_404(),
    }
}

fn readiness(board: &OperatorState) -> Response {
    if board.ready.load(Ordering::Relaxed) {
        return Response::text("ready\n");
    }
    Response::text("not ready\n").with_status_code(503)
}
