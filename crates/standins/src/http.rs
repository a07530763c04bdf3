//! Single-threaded HTTP server for the stand-ins, with handlers that need not be `Send`.

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use futures::stream::LocalBoxStream;
use http_body_util::{BodyExt, Either, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Response header of an endpoint that refused a call before starting it.
pub const NOT_STARTED_HEADER: &str = "X-Not-Started";

/// Response header of an endpoint that refused a call because it is draining.
pub const LEAVING_HEADER: &str = "X-Leaving";

/// Frames of a streamed body.
pub type FrameStream = LocalBoxStream<'static, Result<Frame<Bytes>, Infallible>>;

/// Body of a reply, either complete or streamed.
pub type ReplyBody = Either<Full<Bytes>, StreamBody<FrameStream>>;

/// Request with its complete body.
#[derive(Debug)]
pub struct HttpCall {
    /// HTTP method.
    pub method: Method,
    /// Path, percent-decoded.
    pub path: Box<str>,
    /// Query parameters, percent-decoded.
    pub query: BTreeMap<Box<str>, Box<str>>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Result of a handled call.
pub enum HttpReply {
    /// Response to send.
    Answer(Box<Response<ReplyBody>>),
    /// No response; the connection is closed.
    Dropped,
}

/// Handles the calls to one stand-in.
pub trait HttpHandler {
    /// Handles one call; the future is dropped when the caller's connection closes.
    fn handle(self: Rc<Self>, call: HttpCall) -> LocalBoxFuture<'static, HttpReply>;
}

#[derive(Debug, thiserror::Error)]
#[error("connection closed without a response")]
struct DroppedReply;

impl HttpCall {
    /// Parses the body as JSON, or returns a reply with status 400.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpReply> {
        serde_json::from_slice(&self.body)
            .map_err(|error| HttpReply::error(StatusCode::BAD_REQUEST, &error.to_string()))
    }

    /// Value of a header; none if it is missing or not visible ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Query parameter as a number; 0 if it is missing or not a number.
    pub fn query_number(&self, name: &str) -> u64 {
        self.query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Query parameter as text; empty if it is missing.
    pub fn query_text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", |text| text)
    }
}

impl HttpReply {
    /// Creates a response with a JSON body.
    pub fn json(status: StatusCode, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("replies serialize to JSON");
        Self::bytes(status, "application/json", body)
    }

    /// Creates a response with a body of raw bytes.
    pub fn bytes(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Self {
        let mut response = Response::new(Either::Left(Full::new(body.into())));
        *response.status_mut() = status;
        let content_type = content_type.parse().expect("content types are valid headers");
        response.headers_mut().insert("content-type", content_type);
        Self::Answer(Box::new(response))
    }

    /// Creates a response whose frames are sent as they become available.
    pub fn stream(content_type: &str, frames: FrameStream) -> Self {
        let mut response = Response::new(Either::Right(StreamBody::new(frames)));
        let content_type = content_type.parse().expect("content types are valid headers");
        response.headers_mut().insert("content-type", content_type);
        Self::Answer(Box::new(response))
    }

    /// Creates an error response that only contains the reason.
    pub fn error(status: StatusCode, reason: &str) -> Self {
        Self::json(status, &serde_json::json!({ "error": reason }))
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Self::Answer(response) = &mut self {
            let name = name.to_ascii_lowercase();
            let name = hyper::header::HeaderName::try_from(name).expect("header names are valid");
            response.headers_mut().insert(name, value.parse().expect("header values are valid"));
        }
        self
    }
}

/// Binds the address `listen` and serves until the process ends.
pub fn run(listen: &str, handler: impl FnOnce() -> Rc<dyn HttpHandler>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind(listen).await?;
        serve(listener, handler()).await
    })
}

/// Serves a bound listener; must run inside a [`LocalSet`].
pub async fn serve(listener: TcpListener, handler: Rc<dyn HttpHandler>) -> std::io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        spawn_local(serve_connection(stream, handler.clone()));
    }
}

async fn serve_connection(stream: TcpStream, handler: Rc<dyn HttpHandler>) {
    // An error, such as on a socket that is already closed, only costs latency.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer(request, handler.clone()));
    // An error on one connection does not affect the others.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn answer(
    request: Request<Incoming>,
    handler: Rc<dyn HttpHandler>,
) -> Result<Response<ReplyBody>, DroppedReply> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|_| DroppedReply)?;
    let call = HttpCall {
        method: head.method,
        path: percent_decode(head.uri.path()),
        query: parse_query(head.uri.query().unwrap_or("")),
        headers: head.headers,
        body: body.to_bytes(),
    };
    match handler.handle(call).await {
        HttpReply::Answer(response) => Ok(*response),
        HttpReply::Dropped => Err(DroppedReply),
    }
}

fn parse_query(query: &str) -> BTreeMap<Box<str>, Box<str>> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (percent_decode(name), percent_decode(value)))
        .collect()
}

fn percent_decode(text: &str) -> Box<str> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let decoded = (first == b'%').then(|| hex_byte(tail)).flatten();
        bytes.push(decoded.unwrap_or(first));
        rest = if decoded.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into()
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let digits = std::str::from_utf8(digits.get(..2)?).ok()?;
    u8::from_str_radix(digits, 16).ok()
}
