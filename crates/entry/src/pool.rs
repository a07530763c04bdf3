//! Connections to endpoints and to the platform, kept for further requests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
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

/// Bytes without an acknowledgement end a connection after this time, so that a host that went
/// dark is noticed; links answer within a few ms.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without bytes after which a connection is probed.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Connections kept for each address; more are open only while requests run.
const MAX_IDLE: usize = 64;

type RequestSender = SendRequest<Full<Bytes>>;

/// Why a request got no answer's head.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No connection was made: the request was not sent.
    #[error("no connection to {address}: {reason}")]
    NotSent {
        /// Address.
        address: SocketAddr,
        /// What failed.
        reason: Box<str>,
    },
    /// The request left and may have run.
    #[error("no answer from {address}: {reason}")]
    NoReply {
        /// Address.
        address: SocketAddr,
        /// What failed.
        reason: Box<str>,
    },
}

struct IdleConnection {
    sender: RequestSender,
    task: AbortHandle,
    since: Instant,
}

/// Keeps connections by address. Clones share them.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
}

/// A connection while a request runs on it. Dropping it closes the connection, which tells the
/// other side that nobody waits any longer.
pub struct ConnectionLease {
    pool: ConnectionPool,
    address: SocketAddr,
    connection: Option<(RequestSender, AbortHandle)>,
}

/// An answer whose body has not been read.
pub struct PooledReply {
    /// Head of the answer.
    pub parts: Parts,
    /// Body of the answer.
    pub body: Incoming,
    /// The connection.
    pub lease: ConnectionLease,
}

/// How to send a request.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Connections that have been idle for longer are not used.
    pub max_idle: Duration,
    /// Time for a new connection.
    pub connect_timeout: Duration,
    /// Time for the answer's head.
    pub head_timeout: Duration,
}

impl SendOptions {
    /// Options of a small request that is to be answered within a time in all.
    pub fn within(limit: Duration, max_idle: Duration) -> Self {
        Self { max_idle, connect_timeout: limit, head_timeout: limit }
    }
}

/// A request of this host's own, as opposed to one that it passes on.
///
/// ```
/// use hyper::{Method, Uri};
/// use jacinthrock_entry::{host_value, own_request};
///
/// let host = host_value(([10, 0, 0, 9], 80).into());
/// let request = own_request(Method::GET, Uri::from_static("/state"), host, "");
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

/// `Host` of a request to an address itself.
pub fn host_header(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).expect("an address is text of visible characters")
}

impl ConnectionPool {
    /// Sends a request and waits for the answer's head.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        options: SendOptions,
    ) -> Result<PooledReply, SendError> {
        let (mut sender, task) = match self.take_idle(address, options.max_idle) {
            Some(connection) => connection,
            None => connect(address, options.connect_timeout).await?,
        };
        let lease = |sender| ConnectionLease {
            pool: self.clone(),
            address,
            connection: Some((sender, task.clone())),
        };
        let answer = sender.send_request(request);
        let mut lease = lease(sender);
        let no_answer = |reason: Box<str>| SendError::NoReply { address, reason };
        match timeout(options.head_timeout, answer).await {
            Ok(Ok(response)) => {
                let (parts, body) = Response::into_parts(response);
                Ok(PooledReply { parts, body, lease })
            }
            Ok(Err(error)) => {
                lease.close();
                Err(no_answer(error.to_string().into()))
            }
            Err(_) => {
                lease.close();
                Err(no_answer("time for the answer's head is over".into()))
            }
        }
    }

    /// Sends a request and reads the whole answer within `head_timeout`.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        options: SendOptions,
    ) -> Result<(Parts, Bytes), SendError> {
        let started = Instant::now();
        let reply = self.send(address, request, options).await?;
        let left = options.head_timeout.saturating_sub(started.elapsed());
        let no_answer = |reason: Box<str>| SendError::NoReply { address, reason };
        let body = timeout(left, reply.body.collect()).await;
        let body = body.map_err(|_| no_answer("time for the answer is over".into()))?;
        let body = body.map_err(|error| no_answer(error.to_string().into()))?;
        reply.lease.return_to_pool();
        Ok((reply.parts, body.to_bytes()))
    }

    /// Closes idle connections to addresses that are no longer in use, and old ones.
    pub fn prune(&self, max_idle: Duration) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| {
                let keep = now.saturating_duration_since(connection.since) <= max_idle
                    && !connection.sender.is_closed();
                if !keep {
                    connection.task.abort();
                }
                keep
            });
            !connections.is_empty()
        });
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Option<(RequestSender, AbortHandle)> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let is_young = connection.since.elapsed() <= max_idle;
            if is_young && connection.sender.is_ready() {
                return Some((connection.sender, connection.task));
            }
            connection.task.abort();
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, sender: RequestSender, task: AbortHandle) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() >= MAX_IDLE {
            task.abort();
            return;
        }
        connections.push(IdleConnection { sender, task, since: Instant::now() });
    }
}

impl ConnectionLease {
    /// Keeps the connection for further requests, once its answer is whole.
    pub fn return_to_pool(mut self) {
        let Some((mut sender, task)) = self.connection.take() else { return };
        let (pool, address) = (self.pool.clone(), self.address);
        tokio::task::spawn_local(async move {
            // Bytes after the answer belong to no request; the connection ends itself on them
            // before it is ready again.
            match sender.ready().await {
                Ok(()) => pool.put_idle(address, sender, task),
                Err(_) => task.abort(),
            }
        });
    }

    fn close(&mut self) {
        if let Some((_, task)) = self.connection.take() {
            task.abort();
        }
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.close();
    }
}

async fn connect(
    address: SocketAddr,
    limit: Duration,
) -> Result<(RequestSender, AbortHandle), SendError> {
    let not_sent = |reason: Box<str>| SendError::NotSent { address, reason };
    let stream = timeout(limit, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| not_sent("time for the connection is over".into()))?;
    let stream = stream.map_err(|error| not_sent(error.to_string().into()))?;
    tune(&stream);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string().into()))?;
    let task = tokio::task::spawn_local(async move {
        // The error reaches whoever waits for the answer; an idle connection needs no report.
        let _ = connection.await;
    });
    Ok((sender, task.abort_handle()))
}

/// Sets what makes a silent peer show on a connection.
pub(crate) fn tune(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_AFTER)
        .with_interval(KEEPALIVE_AFTER)
        .with_retries(KEEPALIVE_PROBES);
    let tuned = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)));
    if let Err(error) = tuned {
        log::debug!(error:% = error; "socket options refused; timeouts of calls still hold");
    }
}
