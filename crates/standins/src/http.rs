//! A small HTTP server for the stand-ins: one thread, handlers that need not be `Send`.

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

/// Longest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Header by which an endpoint says that it refused a call before starting it.
pub const NOT_STARTED_HEADER: &str = "X-Not-Started";

/// Header by which an endpoint says that it refused a call because it is leaving.
pub const LEAVING_HEADER: &str = "X-Leaving";

/// Frames of a streamed body.
pub type FrameStream = LocalBoxStream<'static, Result<Frame<Bytes>, Infallible>>;

/// Body of a reply: whole or streamed.
pub type ReplyBody = Either<Full<Bytes>, StreamBody<FrameStream>>;

/// A request that was read whole.
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

/// What a handler makes of a call.
pub enum HttpReply {
    /// An answer.
    Answer(Box<Response<ReplyBody>>),
    /// No answer: the connection closes.
    Dropped,
}

/// Answers the calls to one stand-in.
pub trait HttpHandler {
    /// Answers one call; dropped when the caller's connection closes.
    fn handle(self: Rc<Self>, call: HttpCall) -> LocalBoxFuture<'static, HttpReply>;
}

#[derive(Debug, thiserror::Error)]
#[error("reply dropped")]
struct DroppedReply;

impl HttpCall {
    /// Reads the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpReply> {
        serde_json::from_slice(&self.body)
            .map_err(|error| HttpReply::error(StatusCode::BAD_REQUEST, &error.to_string()))
    }

    /// Reads a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Reads a query parameter as a number; 0 where it is missing or no number.
    pub fn query_number(&self, name: &str) -> u64 {
        self.query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Reads a query parameter as text; empty where it is missing.
    pub fn query_text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", |text| text)
    }
}

impl HttpReply {
    /// An answer with a JSON body.
    pub fn json(status: StatusCode, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("stand-in replies serialize");
        Self::bytes(status, "application/json", body)
    }

    /// An answer with raw bytes.
    pub fn bytes(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Self {
        let mut response = Response::new(Either::Left(Full::new(body.into())));
        *response.status_mut() = status;
        let content_type = content_type.parse().expect("content types are valid headers");
        response.headers_mut().insert("content-type", content_type);
        Self::Answer(Box::new(response))
    }

    /// An answer whose frames are sent as they come.
    pub fn stream(content_type: &str, frames: FrameStream) -> Self {
        let mut response = Response::new(Either::Right(StreamBody::new(frames)));
        let content_type = content_type.parse().expect("content types are valid headers");
        response.headers_mut().insert("content-type", content_type);
        Self::Answer(Box::new(response))
    }

    /// An answer that only names what is wrong.
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

/// Binds `listen` and serves until the process ends.
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
    // A socket that is already closed only loses its low latency.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer(request, handler.clone()));
    // A connection that ends with an error disturbs no other.
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
        path: percent_decoded(head.uri.path()),
        query: query_of(head.uri.query().unwrap_or("")),
        headers: head.headers,
        body: body.to_bytes(),
    };
    match handler.handle(call).await {
        HttpReply::Answer(response) => Ok(*response),
        HttpReply::Dropped => Err(DroppedReply),
    }
}

fn query_of(query: &str) -> BTreeMap<Box<str>, Box<str>> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (percent_decoded(name), percent_decoded(value)))
        .collect()
}

fn percent_decoded(text: &str) -> Box<str> {
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
