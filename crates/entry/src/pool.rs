//! Pool of HTTP connections to endpoints, to other hosts and to the platform.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, Uri};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::observed::ObservedStream;
use crate::reply::{
    BufferBudget, ReplyBody, ReplyError, ReplyProgress, collect_body, error_chain, is_endless,
};

/// Time after which a connection with unacknowledged data is closed, so that an unreachable host is
/// detected; round trips take a few ms.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first TCP keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Maximum number of idle connections for each address; more are open only while requests run.
const MAX_IDLE_PER_ADDRESS: usize = 64;
/// Maximum size of a reply's head, in bytes; also of the buffer of a connection.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum size of a small reply, in bytes: a report of an endpoint or its reply to an order.
const MAX_SMALL_REPLY_BYTES: usize = 256 << 10;
/// Bytes that the buffered replies of a pool may take together, unless the pool says otherwise.
const MAX_BUFFERED_BYTES: usize = 24 << 20;

type RequestSender = SendRequest<Full<Bytes>>;

/// Error of a request that got no reply, or not a complete one.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No connection was established, so the request was not sent.
    #[error("no connection to {address}: {reason}")]
    NotSent {
        /// Address.
        address: SocketAddr,
        /// What failed.
        reason: Box<str>,
        /// Whether nothing listens at the address.
        is_refused: bool,
    },
    /// The request was sent and may have run.
    #[error("no answer from {address}: {reason}")]
    NoReply {
        /// Address.
        address: SocketAddr,
        /// What failed.
        reason: Box<str>,
        /// Whether the connection has ended, as opposed to a reply that is late.
        is_broken: bool,
    },
    /// The request was sent and may have run; its reply was given up because of its size.
    #[error("answer from {address} is over its limit: {reason}")]
    TooLarge {
        /// Address.
        address: SocketAddr,
        /// What was exceeded.
        reason: Box<str>,
    },
}

struct Connection {
    sender: RequestSender,
    task: AbortHandle,
    progress: ReplyProgress,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// Idle connections by address. Clones share the same pool.
#[derive(Clone)]
pub struct ConnectionPool {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
    budget: BufferBudget,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::new(BufferBudget::new(MAX_BUFFERED_BYTES))
    }
}

/// A connection that is in use by a request. Dropping the lease closes the connection, so that the
/// server notices that the client no longer waits.
pub struct ConnectionLease {
    pool: ConnectionPool,
    address: SocketAddr,
    connection: Option<Connection>,
    progress: ReplyProgress,
}

/// A reply whose body has not been read.
pub struct PooledReply {
    /// Head of the reply.
    pub parts: Parts,
    /// Body of the reply.
    pub body: Incoming,
    /// The connection that the body is read from.
    pub lease: ConnectionLease,
}

/// Connection reuse and timeouts of a request.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Connections that have been idle for longer are not reused.
    pub max_idle: Duration,
    /// Timeout for a new connection.
    pub connect_timeout: Duration,
    /// Timeout for the head of the reply, or in `fetch` for the whole reply.
    pub head_timeout: Duration,
    /// Maximum size of the reply's body in `fetch`, in bytes.
    pub max_body_bytes: usize,
}

impl SendError {
    /// Whether the reply was given up because of its size.
    pub fn is_over_limit(&self) -> bool {
        matches!(self, Self::TooLarge { .. })
    }

    /// Whether the connection ended before the reply was complete.
    pub fn is_broken(&self) -> bool {
        matches!(self, Self::NoReply { is_broken: true, .. })
    }

    fn from_head(address: SocketAddr, error: &hyper::Error) -> Self {
        if is_endless(error) {
            return Self::TooLarge { address, reason: error_chain(error) };
        }
        if error.is_parse_too_large() {
            let reason = format!("head exceeds {MAX_HEAD_BYTES} bytes").into();
            return Self::TooLarge { address, reason };
        }
        Self::NoReply { address, reason: error_chain(error), is_broken: !error.is_parse() }
    }

    fn from_reply(address: SocketAddr, error: &ReplyError) -> Self {
        let reason = error.to_string().into();
        if error.is_over_limit() {
            Self::TooLarge { address, reason }
        } else {
            Self::NoReply { address, reason, is_broken: true }
        }
    }
}

impl SendOptions {
    /// Options of a small request, with `limit` as timeout both for a new connection and for the
    /// reply.
    pub fn within(limit: Duration, max_idle: Duration) -> Self {
        Self {
            max_idle,
            connect_timeout: limit,
            head_timeout: limit,
            max_body_bytes: MAX_SMALL_REPLY_BYTES,
        }
    }
}

/// Builds a request that this host itself originates, as opposed to a forwarded one.
///
/// ```
/// use hyper::{Method, Uri};
/// use jacinthrock_entry::{build_request, host_header};
///
/// let host = host_header(([10, 0, 0, 9], 80).into());
/// let request = build_request(Method::GET, Uri::from_static("/state"), host, "");
/// assert_eq!(request.headers()["host"], "10.0.0.9:80");
/// ```
pub fn build_request(
    method: Method,
    uri: Uri,
    host: HeaderValue,
    body: impl Into<Bytes>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body.into()));
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    request.headers_mut().insert(HOST, host);
    request
}

/// Value of the `Host` header for a request to an address.
pub fn host_header(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string())
        .expect("an address consists of visible ASCII characters")
}

impl ConnectionPool {
    /// Creates a pool without connections, whose buffered replies stay within a budget.
    pub fn new(budget: BufferBudget) -> Self {
        Self { idle: Rc::default(), budget }
    }

    /// Budget of the replies that are buffered.
    pub fn budget(&self) -> &BufferBudget {
        &self.budget
    }

    /// Sends a request and waits for the head of the reply.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        options: SendOptions,
    ) -> Result<PooledReply, SendError> {
        let mut connection = match self.take_idle(address, options.max_idle) {
            Some(connection) => connection,
            None => connect(address, options.connect_timeout).await?,
        };
        let progress = connection.progress.clone();
        progress.restart();
        let response = connection.sender.send_request(request);
        let mut lease =
            ConnectionLease { pool: self.clone(), address, connection: Some(connection), progress };
        let no_reply = |reason: Box<str>| SendError::NoReply { address, reason, is_broken: false };
        match timeout(options.head_timeout, response).await {
            Ok(Ok(response)) => {
                lease.progress.suspend();
                let (parts, body) = Response::into_parts(response);
                Ok(PooledReply { parts, body, lease })
            }
            Ok(Err(error)) => {
                lease.close();
                Err(SendError::from_head(address, &error))
            }
            Err(_) => {
                lease.close();
                Err(no_reply("time for the answer's head is over".into()))
            }
        }
    }

    /// Sends a request and reads the complete reply within `head_timeout`. The connection of a reply
    /// that is too large is closed at once.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        options: SendOptions,
    ) -> Result<(Parts, Bytes), SendError> {
        let started = Instant::now();
        let reply = self.send(address, request, options).await?;
        let remaining = options.head_timeout.saturating_sub(started.elapsed());
        let no_reply = |reason: Box<str>| SendError::NoReply { address, reason, is_broken: false };
        let body = reply.lease.meter(reply.body);
        let body = collect_body(body, options.max_body_bytes, &self.budget);
        let body = timeout(remaining, body).await;
        let body =
            body.map_err(|_| no_reply("timed out while reading the response body".into()))?;
        let body = body.map_err(|error| SendError::from_reply(address, &error))?;
        reply.lease.return_to_pool();
        Ok((reply.parts, body))
    }

    /// Closes connections that have been idle for longer than `max_idle`, and drops closed ones.
    pub fn prune(&self, max_idle: Duration) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| {
                let is_kept = now.saturating_duration_since(connection.idle_since) <= max_idle
                    && !connection.connection.sender.is_closed();
                if !is_kept {
                    connection.connection.task.abort();
                }
                is_kept
            });
            !connections.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(IdleConnection { connection, idle_since }) = connections.pop() {
            let is_fresh = idle_since.elapsed() <= max_idle;
            if is_fresh && connection.sender.is_ready() {
                return Some(connection);
            }
            connection.task.abort();
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDRESS {
            connection.task.abort();
            return;
        }
        connections.push(IdleConnection { connection, idle_since: Instant::now() });
    }
}

impl ConnectionLease {
    /// Body read from the connection, which is closed if bytes arrive that do not become part of it.
    pub fn meter(&self, body: Incoming) -> ReplyBody {
        ReplyBody::new(body, self.progress.clone())
    }

    /// Returns the connection to the pool. Call this only after the reply has been read completely.
    pub fn return_to_pool(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        let (pool, address) = (self.pool.clone(), self.address);
        tokio::task::spawn_local(async move {
            // Bytes after the reply belong to no request: the connection closes itself on them
            // instead of becoming ready.
            match connection.sender.ready().await {
                Ok(()) => pool.put_idle(address, connection),
                Err(_) => connection.task.abort(),
            }
        });
    }

    fn close(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.task.abort();
        }
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.close();
    }
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<Connection, SendError> {
    let not_sent = |reason: Box<str>| SendError::NotSent { address, reason, is_refused: false };
    let stream = timeout(limit, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| not_sent("time for the connection is over".into()))?;
    let stream = stream.map_err(|error| SendError::NotSent {
        address,
        reason: error.to_string().into(),
        is_refused: error.kind() == io::ErrorKind::ConnectionRefused,
    })?;
    set_socket_options(&stream);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let progress = ReplyProgress::default();
    let stream = ObservedStream::new(stream, progress.clone());
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string().into()))?;
    let task = tokio::task::spawn_local(async move {
        // A pending request receives the error itself; on an idle connection it can be ignored.
        let _ = connection.await;
    });
    Ok(Connection { sender, task: task.abort_handle(), progress })
}

/// Disables Nagle's algorithm and sets the TCP options that detect an unreachable host.
pub(crate) fn set_socket_options(stream: &TcpStream) {
    let timeout = SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    log_socket_error(timeout.and_then(|()| set_common_options(stream)));
}

/// The same for a caller's connection, without the limit on unacknowledged data: it would also end
/// connections of callers that read slowly, whose windows are closed for a while.
pub(crate) fn set_caller_options(stream: &TcpStream) {
    log_socket_error(set_common_options(stream));
}

fn set_common_options(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

fn log_socket_error(result: io::Result<()>) {
    if let Err(error) = result {
        log::debug!(error:% = error; "cannot set socket options; request timeouts still apply");
    }
}
