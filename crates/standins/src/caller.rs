//! Client of the routers: streams chat answers and makes calls to plain services.

use serde::Serialize;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

/// Limit on the idle connections kept open to one router.
const IDLE_CONNECTIONS: usize = 32;

const DATA_PREFIX: &str = "data: ";
const DONE_EVENT: &str = "[DONE]";

/// A chat request to a model service.
#[derive(Clone, Debug)]
pub struct ChatCall<'a> {
    /// Address of the router.
    pub router: &'a str,
    /// Bearer key of the customer.
    pub key: &'a str,
    /// Name of the service.
    pub service: &'a str,
    /// Message of the user.
    pub user_message: &'a str,
    /// Limit on the length of the answer, in tokens.
    pub max_tokens: u32,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall<'a> {
    /// Address of the router.
    pub router: &'a str,
    /// Bearer key of the customer.
    pub key: &'a str,
    /// HTTP method: `GET` or `POST`.
    pub method: &'a str,
    /// Path with the service's prefix.
    pub path: &'a str,
    /// Value of `Idempotency-Key`; empty to send none.
    pub idempotency_key: &'a str,
    /// Body of a `POST`.
    pub body: &'a str,
}

/// An error response in which the router states a reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// HTTP status; 200 if the error was reported inside a stream.
    pub status: u16,
    /// Numeric result code; 0 if none was given.
    pub code: u16,
    /// `not-run` or `unknown`; empty if none was given.
    pub outcome: Box<str>,
    /// Delay from the `Retry-After` header, if given.
    pub retry_after: Option<Duration>,
}

/// How an attempt of a call ended at one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum CallEnd {
    /// The complete response was received.
    Whole,
    /// The router reported that the call was refused or failed.
    Refused(Refusal),
    /// The connection could not be established.
    NotReached,
    /// The connection broke, or the response ended early or was malformed.
    Cut,
}

/// Tokens of an answer, with the times at which they were received.
#[derive(Clone, Debug)]
pub struct ChatAnswer {
    /// Values of the tokens.
    pub tokens: Vec<u64>,
    /// Times at which the tokens were received.
    pub times: Vec<Instant>,
    /// Id of the chat completion; empty if none was received.
    pub id: Box<str>,
    /// How the call ended.
    pub end: CallEnd,
}

/// Response to a call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// Body of the response.
    pub body: Box<str>,
    /// How the call ended.
    pub end: CallEnd,
}

/// Client of the routers; reuses its connections.
#[derive(Clone)]
pub struct RouterCaller {
    agent: ureq::Agent,
}

/// Sends chat calls and calls to plain services, either through the routers or directly to the
/// endpoints.
pub trait CallSender: Send + Sync {
    /// Sends a chat request and reads the streamed answer to its end.
    fn stream_chat(&self, call: &ChatCall<'_>) -> ChatAnswer;

    /// Sends a call to a plain service.
    fn call(&self, call: &ServiceCall<'_>) -> ServiceAnswer;
}

impl RouterCaller {
    /// Creates a client that waits up to `call_timeout` for the response headers and as long again
    /// for the body.
    pub fn new(call_timeout: Duration) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_recv_response(Some(call_timeout))
            .timeout_recv_body(Some(call_timeout))
            .max_idle_connections(8 * IDLE_CONNECTIONS)
            .max_idle_connections_per_host(IDLE_CONNECTIONS)
            .build();
        Self { agent: config.into() }
    }

    /// The underlying HTTP client, for calls that bypass the routers.
    pub(crate) fn agent(&self) -> &ureq::Agent {
        &self.agent
    }
}

impl CallSender for RouterCaller {
    fn stream_chat(&self, call: &ChatCall<'_>) -> ChatAnswer {
        let body = json!({
            "model": call.service,
            "messages": [{ "role": "user", "content": call.user_message }],
            "stream": true,
            "max_tokens": call.max_tokens,
        });
        let url = format!("http://{}/v1/chat/completions", call.router);
        let request = self.agent.post(&url).header("Authorization", format!("Bearer {}", call.key));
        let mut answer = ChatAnswer {
            tokens: Vec::new(),
            times: Vec::new(),
            id: Box::default(),
            end: CallEnd::Cut,
        };
        answer.end = match request.send_json(&body) {
            Ok(response) if response.status().is_success() => read_stream(response, &mut answer),
            Ok(response) => CallEnd::Refused(read_refusal(response)),
            Err(error) => error_end(&error),
        };
        answer
    }

    fn call(&self, call: &ServiceCall<'_>) -> ServiceAnswer {
        let url = format!("http://{}{}", call.router, call.path);
        let bearer = format!("Bearer {}", call.key);
        let result = if call.method == "GET" {
            self.agent.get(&url).header("Authorization", bearer).call()
        } else {
            let request = self.agent.post(&url).header("Authorization", bearer);
            let request = request.header("Content-Type", "application/json");
            match call.idempotency_key {
                "" => request.send(call.body),
                key => request.header("Idempotency-Key", key).send(call.body),
            }
        };
        match result {
            Ok(response) if response.status().is_success() => read_body(response),
            Ok(response) => ServiceAnswer {
                body: Box::default(),
                end: CallEnd::Refused(read_refusal(response)),
            },
            Err(error) => ServiceAnswer { body: Box::default(), end: error_end(&error) },
        }
    }
}

/// Prompt that the router builds from a single user message.
pub fn chat_prompt(user_message: &str) -> Box<str> {
    format!("user: {user_message}").into()
}

fn error_end(error: &ureq::Error) -> CallEnd {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => CallEnd::NotReached,
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            CallEnd::NotReached
        }
        _ => CallEnd::Cut,
    }
}

fn read_body(mut response: ureq::http::Response<ureq::Body>) -> ServiceAnswer {
    match response.body_mut().read_to_string() {
        Ok(body) => ServiceAnswer { body: body.into(), end: CallEnd::Whole },
        Err(_) => ServiceAnswer { body: Box::default(), end: CallEnd::Cut },
    }
}

/// Reads server-sent events into the answer until the stream ends.
fn read_stream(response: ureq::http::Response<ureq::Body>, answer: &mut ChatAnswer) -> CallEnd {
    let reader = BufReader::new(response.into_body().into_reader());
    for line in reader.lines() {
        let Ok(line) = line else {
            return CallEnd::Cut;
        };
        let Some(data) = line.strip_prefix(DATA_PREFIX) else {
            continue;
        };
        if data == DONE_EVENT {
            return CallEnd::Whole;
        }
        let Ok(chunk) = serde_json::from_str::<Value>(data) else {
            return CallEnd::Cut;
        };
        if chunk.get("error").is_some() {
            let problem = if chunk["code"].is_null() { &chunk["error"] } else { &chunk };
            return CallEnd::Refused(refusal_of(problem, 200, None));
        }
        if !read_chunk(&chunk, answer) {
            return CallEnd::Cut;
        }
    }
    CallEnd::Cut
}

/// Adds the tokens of a chunk to the answer; returns `false` if one is malformed.
fn read_chunk(chunk: &Value, answer: &mut ChatAnswer) -> bool {
    if let Some(id) = chunk["id"].as_str() {
        answer.id = id.into();
    }
    let text = chunk["choices"][0]["delta"]["content"].as_str().unwrap_or("");
    for word in text.split_whitespace() {
        let Ok(token) = u64::from_str_radix(word, 16) else {
            return false;
        };
        answer.tokens.push(token);
        answer.times.push(Instant::now());
    }
    true
}

fn read_refusal(mut response: ureq::http::Response<ureq::Body>) -> Refusal {
    let status = response.status().as_u16();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = response.body_mut().read_to_string().unwrap_or_default();
    let problem = serde_json::from_str(&body).unwrap_or(Value::Null);
    refusal_of(&problem, status, retry_after.map(Duration::from_secs))
}

fn refusal_of(problem: &Value, status: u16, retry_after: Option<Duration>) -> Refusal {
    let code = &problem["code"];
    let code = code.as_u64().or_else(|| code.as_str()?.parse().ok()).unwrap_or(0);
    let outcome = problem["outcome"].as_str().unwrap_or("").into();
    Refusal { status, code: code as u16, outcome, retry_after }
}
