//! Server of the callers' port: connection limits and graceful shutdown.

use futures::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

use crate::codes::ResultCode;
use crate::config::CallerLimits;
use crate::metrics::{MetricName, MetricRegistry};
use crate::refusal::ResponseBody;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles callers' requests.
pub(crate) trait CallerHandler {
    /// Responds to one request, if necessary with a refusal.
    fn handle(&self, request: Request<Incoming>) -> LocalBoxFuture<'_, Response<ResponseBody>>;
}

/// Accepts connections on the callers' port and serves their requests.
pub(crate) struct CallerServer {
    limits: CallerLimits,
    handler: Rc<dyn CallerHandler>,
    metrics: Rc<MetricRegistry>,
    connections: Rc<OpenConnections>,
}

#[derive(Default)]
struct OpenConnections {
    count: Cell<usize>,
    closed: Notify,
}

/// Counts a connection as open until dropped.
struct ConnectionPermit {
    connections: Rc<OpenConnections>,
    metrics: Rc<MetricRegistry>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.connections.count.set(self.connections.count.get() - 1);
        self.metrics.add(MetricName::OpenConnections, &[], -1);
        self.connections.closed.notify_waiters();
    }
}

impl CallerServer {
    /// Creates a server that passes each request to `handler`.
    pub(crate) fn new(
        limits: CallerLimits,
        handler: Rc<dyn CallerHandler>,
        metrics: Rc<MetricRegistry>,
    ) -> Self {
        Self { limits, handler, metrics, connections: Rc::default() }
    }

    /// Accepts connections until `stop` is true; each open connection then closes after its current
    /// request.
    pub(crate) async fn run(&self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|&stop| stop) => return,
            };
            match accepted {
                Ok((stream, _)) => self.start_connection(stream, stop.clone()),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Waits until every connection is closed.
    pub(crate) async fn wait_closed(&self) {
        loop {
            let closed = self.connections.closed.notified();
            if self.connections.count.get() == 0 {
                return;
            }
            closed.await;
        }
    }

    fn start_connection(&self, stream: TcpStream, stop: watch::Receiver<bool>) {
        if self.connections.count.get() >= self.limits.connections {
            self.metrics.count(MetricName::Refusals, &[ResultCode::TooManyConnections.name()]);
            return;
        }
        self.connections.count.set(self.connections.count.get() + 1);
        self.metrics.add(MetricName::OpenConnections, &[], 1);
        let permit = ConnectionPermit {
            connections: self.connections.clone(),
            metrics: self.metrics.clone(),
        };
        let _ = stream.set_nodelay(true);
        let handler = self.handler.clone();
        let limits = self.limits.clone();
        tokio::task::spawn_local(async move {
            serve_connection(stream, handler, limits, stop).await;
            drop(permit);
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: Rc<dyn CallerHandler>,
    limits: CallerLimits,
    mut stop: watch::Receiver<bool>,
) {
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.request_timeout)
        .max_buf_size(limits.head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stop.wait_for(|&stop| stop) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
