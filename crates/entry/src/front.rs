//! HTTP listeners: callers' requests, readiness check, metrics.

use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error;
use std::future::ready;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::answers::{ConnectionAnswers, OpenAnswers};
use crate::connections::{CallerConnection, StalledSince};
use crate::dispatch;
use crate::memory::RECEIVE_BUFFER_BYTES;
use crate::observed::ObservedStream;
use crate::pool::{set_caller_options, set_socket_options};
use crate::response::{ResponseBody, full_body};
use crate::state::EntryState;

/// Connections that can wait to be accepted. If the queue is full, SYN packets are dropped and the
/// caller's connection is delayed by seconds.
const LISTEN_BACKLOG: i32 = 4_096;
/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Binds a listener with a long backlog.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Limits what the kernel receives for each connection of a listener that is accepted from now on.
pub(crate) fn limit_receive_buffers(listener: &TcpListener) {
    let limited = SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    if let Err(error) = limited {
        log::debug!(error:% = error; "cannot limit the receive buffers of callers");
    }
}

/// Accepts callers' connections until the process ends. Once `closing` is true, connections close
/// after the response to their current request, and new ones after that to their first.
pub(crate) async fn serve_callers(
    state: Rc<EntryState>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    let callers = state.callers.clone();
    let max_connections = state.memory.connections.min(state.options.max_sockets / 2);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if callers.count() >= max_connections {
            let Some(waited) = callers.evict(Instant::now()) else {
                log::warn!(
                    event = "connection_refused", open = callers.count();
                    "connection closed: too many connections"
                );
                continue;
            };
            log::info!(
                event = "connection_evicted", open = callers.count(),
                waited_ms = waited.as_millis() as u64;
                "closed a connection that waited for its caller: too many connections"
            );
        }
        let connection = callers.add();
        let number = connection.number();
        let serving = serve_connection(state.clone(), stream, connection, closing.clone());
        let task = tokio::task::spawn_local(serving);
        callers.set_task(number, task.abort_handle());
    }
}

async fn serve_connection(
    state: Rc<EntryState>,
    stream: TcpStream,
    connection: CallerConnection,
    mut closing: watch::Receiver<bool>,
) {
    set_caller_options(&stream);
    let is_closing = *closing.borrow();
    let limits = state.rules().map(|rules| rules.rules().limits).unwrap_or_default();
    let answers = ConnectionAnswers::new(&state.open_answers, connection.stalled());
    let stream = ObservedStream::new(stream, answers.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (state, answers) = (state.clone(), answers.clone());
        let phase = Rc::new(connection.begin_request());
        let received = phase.clone();
        let answer = async move {
            let on_received = |deadline| received.set_received(deadline);
            Ok::<_, Infallible>(dispatch::serve(state, request, on_received).await)
        };
        async move { answers.track(Some(phase), answer).await }
    });
    let mut builder = http1::Builder::new();
    // The HTTP library's head timeout also runs while a connection is idle.
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .keep_alive(!is_closing);
    let mut serving = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = serving.as_mut() => ended,
        () = closed(&mut closing), if !is_closing => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = ended {
        log::debug!(
            event = "connection_ended", error:% = error;
            "caller's connection ended with an error"
        );
    }
}

/// Waits until the host closes connections. The channel's value stays locked for as long as what
/// `wait_for` returns is kept, and its sender blocks the thread meanwhile.
async fn closed(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|is_closing| *is_closing).await.is_err() {
        log::debug!(event = "closing_unknown"; "closing is no longer announced; closing now");
    }
}

/// Serves the readiness check.
pub(crate) async fn serve_ready(state: Rc<EntryState>, listener: TcpListener) {
    let was_ready = Rc::new(Cell::new(false));
    serve_internal(listener, "check", OpenAnswers::default(), move |_request| {
        // Once ready, the host stays ready without a usable path: such requests are refused, and
        // leaving the load balancer's rotation would not help.
        was_ready.set(was_ready.get() || state.is_ready());
        let is_ready = was_ready.get() && !state.is_leaving();
        let mut response = Response::new(full_body(""));
        if !is_ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        ready(Ok::<_, Infallible>(response))
    })
    .await;
}

/// Serves metrics to `GET` requests.
pub(crate) async fn serve_metrics(state: Rc<EntryState>, listener: TcpListener) {
    serve_internal(listener, "metrics", OpenAnswers::default(), move |request| {
        let mut response = Response::new(full_body(""));
        if request.method() == Method::GET {
            *response.body_mut() = full_body(state.metrics.render());
        } else {
            *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
        }
        ready(Ok::<_, Infallible>(response))
    })
    .await;
}

/// Serves a listener for the platform, operators or other hosts; `what` names it in logs, and
/// `open` counts its answers.
pub(crate) async fn serve_internal<F, E>(
    listener: TcpListener,
    what: &'static str,
    open: OpenAnswers,
    handler: impl Fn(Request<Incoming>) -> F + 'static,
) where
    F: Future<Output = Result<Response<ResponseBody>, E>> + 'static,
    E: Into<Box<dyn Error + Send + Sync>> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        set_socket_options(&stream);
        let handler = handler.clone();
        let answers = ConnectionAnswers::new(&open, StalledSince::default());
        let stream = ObservedStream::new(stream, answers.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let (answer, answers) = (handler(request), answers.clone());
            async move { answers.track(None, answer).await }
        });
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(
                    event = "connection_ended", what, error:% = error;
                    "connection ended with an error"
                );
            }
        });
    }
}
