//! Listeners: callers' requests, the readiness check, metrics.

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
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::answer::{ResponseBody, full_body};
use crate::call;
use crate::pool::tune;
use crate::state::EntryState;

/// Connections that wait to be accepted; a full queue drops the opening packet for seconds.
const BACKLOG: i32 = 4_096;
/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest buffer that the HTTP library takes, in bytes.
const MIN_BUFFER: usize = 8 << 10;

/// Binds a listener with a long queue.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Takes callers' connections until the process ends. `closing` turns true when open connections
/// should close as soon as their request is answered.
pub(crate) async fn serve_callers(
    state: Rc<EntryState>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.get() >= state.options.max_sockets / 2 {
            log::warn!(event = "connection_refused", open = open.get(); "too many connections");
            continue;
        }
        open.set(open.get() + 1);
        let (state, closing, open) = (state.clone(), closing.clone(), open.clone());
        tokio::task::spawn_local(async move {
            serve_connection(state, stream, closing).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve_connection(
    state: Rc<EntryState>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    tune(&stream);
    let limits = state.rules().map(|rules| rules.rules().limits).unwrap_or_default();
    let service = service_fn(move |request: Request<Incoming>| {
        let state = state.clone();
        async move { Ok::<_, Infallible>(call::serve(state, request).await) }
    });
    let mut builder = http1::Builder::new();
    // The library's timer for heads also runs while a connection is idle.
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER))
        .keep_alive(true);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = closing.wait_for(|is_closing| *is_closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(event = "connection_ended", error:% = error; "caller's connection ended");
    }
}

/// Answers readiness checks.
pub(crate) async fn serve_ready(state: Rc<EntryState>, listener: TcpListener) {
    let was_ready = Rc::new(Cell::new(false));
    serve_internal(listener, "check", move |_request| {
        // Once ready, a lack of paths shows in refusals; leaving the rotation would not help.
        was_ready.set(was_ready.get() || state.is_ready());
        let is_ready = was_ready.get() && !state.is_leaving.get();
        let mut answer = Response::new(full_body(""));
        if !is_ready {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        ready(Ok::<_, Infallible>(answer))
    })
    .await;
}

/// Serves metrics.
pub(crate) async fn serve_metrics(state: Rc<EntryState>, listener: TcpListener) {
    serve_internal(listener, "metrics", move |request| {
        let mut answer = Response::new(full_body(""));
        if request.method() == Method::GET {
            *answer.body_mut() = full_body(state.counters.render());
        } else {
            *answer.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
        }
        ready(Ok::<_, Infallible>(answer))
    })
    .await;
}

/// Serves a listener of the platform, of operators or of other hosts; `what` names it in logs.
pub(crate) async fn serve_internal<F, E>(
    listener: TcpListener,
    what: &'static str,
    answer: impl Fn(Request<Incoming>) -> F + 'static,
) where
    F: Future<Output = Result<Response<ResponseBody>, E>> + 'static,
    E: Into<Box<dyn Error + Send + Sync>> + 'static,
{
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        tune(&stream);
        let answer = answer.clone();
        let service = service_fn(move |request: Request<Incoming>| answer(request));
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(event = "connection_ended", what, error:% = error; "connection ended");
            }
        });
    }
}
