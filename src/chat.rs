//! Messages of the chat completions API, in the OpenAI format that common client libraries use.

use serde::{Deserialize, Serialize};

use crate::ids::TokenPosition;

/// Body of `POST /v1/chat/completions`; fields that are not listed are ignored.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(crate) struct ChatRequest {
    pub(crate) model: Box<str>,
    pub(crate) messages: Vec<ChatMessage>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    n: Option<u32>,
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(crate) struct ChatMessage {
    role: Box<str>,
    content: ChatContent,
}

/// Content of a message: text, or a list of parts, which must all be text.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
enum ChatContent {
    Text(Box<str>),
    Parts(Vec<ChatPart>),
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum ChatPart {
    Text { text: Box<str> },
}

impl ChatRequest {
    /// Parses and checks a request; the error says what is wrong with it.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, Box<str>> {
        let request: Self =
            serde_json::from_slice(body).map_err(|error| Box::<str>::from(error.to_string()))?;
        if request.messages.is_empty() {
            return Err("messages is empty".into());
        }
        if request.n.unwrap_or(1) != 1 {
            return Err("n is not 1".into());
        }
        if request.requested_tokens() == Some(0) {
            return Err("max_tokens is 0".into());
        }
        Ok(request)
    }

    /// Text that the answer continues.
    pub(crate) fn prompt(&self) -> Box<str> {
        let lines: Vec<_> = self.messages.iter().map(ChatMessage::prompt_line).collect();
        lines.join("\n").into()
    }

    /// Length of the answer in tokens: as requested, at most `limit`.
    pub(crate) fn length(&self, limit: u32) -> TokenPosition {
        self.requested_tokens().unwrap_or(limit).min(limit)
    }

    fn requested_tokens(&self) -> Option<u32> {
        self.max_completion_tokens.or(self.max_tokens)
    }
}

impl ChatMessage {
    fn prompt_line(&self) -> String {
        format!("{}: {}", self.role, self.content.text())
    }
}

impl ChatContent {
    fn text(&self) -> String {
        match self {
            Self::Text(text) => text.to_string(),
            Self::Parts(parts) => {
                parts.iter().map(|ChatPart::Text { text }| &**text).collect::<Vec<_>>().concat()
            }
        }
    }
}

/// Fields that identify an answer in its body and in each of its events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ChatMetadata {
    /// Identifier of the answer.
    pub(crate) id: Box<str>,
    /// Model name that the caller gave.
    pub(crate) model: Box<str>,
    /// Start of the answer, in seconds since the Unix epoch.
    pub(crate) created: u64,
}

/// Length and digest of a complete answer, by which a client can check what it received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct AnswerChecksum {
    /// Length of the answer, in tokens.
    pub(crate) length: TokenPosition,
    /// SHA-256 of the tokens as little-endian bytes, in hexadecimal.
    pub(crate) digest: Box<str>,
}

#[derive(Serialize)]
struct ChatChunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [ChunkChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    jacinthrock: Option<&'a AnswerChecksum>,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: ChunkDelta<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct ChunkDelta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct ChatCompletion<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [CompletionChoice; 1],
    usage: ChatUsage,
    jacinthrock: &'a AnswerChecksum,
}

#[derive(Serialize)]
struct CompletionChoice {
    index: u32,
    message: CompletionMessage,
    finish_reason: &'static str,
}

#[derive(Serialize)]
struct CompletionMessage {
    role: &'static str,
    content: String,
}

#[derive(Serialize)]
struct ChatUsage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

/// Finish reason of every answer: each ends at its full length.
const FINISH_REASON: &str = "length";

/// Last event of a complete stream.
pub(crate) const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

impl ChatMetadata {
    /// Event that carries one token; the first one also carries the role.
    pub(crate) fn token_event(&self, position: TokenPosition, token: u64) -> Vec<u8> {
        let text = token_text(token);
        let role = (position == 0).then_some("assistant");
        let delta = ChunkDelta { role, content: Some(&text) };
        self.chunk(delta, None, None)
    }

    /// Event that ends a complete answer.
    pub(crate) fn end_event(&self, checksum: &AnswerChecksum) -> Vec<u8> {
        let delta = ChunkDelta { role: None, content: None };
        self.chunk(delta, Some(FINISH_REASON), Some(checksum))
    }

    /// Body of a complete answer that is not streamed.
    pub(crate) fn completion(
        &self,
        prompt: &str,
        tokens: &[u64],
        checksum: &AnswerChecksum,
    ) -> Vec<u8> {
        let prompt_tokens = prompt.split_whitespace().count() as u32;
        let completion_tokens = tokens.len() as u32;
        let completion = ChatCompletion {
            id: &self.id,
            object: "chat.completion",
            created: self.created,
            model: &self.model,
            choices: [CompletionChoice {
                index: 0,
                message: CompletionMessage {
                    role: "assistant",
                    content: tokens.iter().map(|&token| token_text(token)).collect(),
                },
                finish_reason: FINISH_REASON,
            }],
            usage: ChatUsage {
                prompt_tokens,
                completion_tokens,
                total_tokens: prompt_tokens + completion_tokens,
            },
            jacinthrock: checksum,
        };
        serde_json::to_vec(&completion).expect("a completion always serializes")
    }

    fn chunk(
        &self,
        delta: ChunkDelta<'_>,
        finish_reason: Option<&'static str>,
        checksum: Option<&AnswerChecksum>,
    ) -> Vec<u8> {
        let chunk = ChatChunk {
            id: &self.id,
            object: "chat.completion.chunk",
            created: self.created,
            model: &self.model,
            choices: [ChunkChoice { index: 0, delta, finish_reason }],
            jacinthrock: checksum,
        };
        sse_event(&serde_json::to_vec(&chunk).expect("a chunk always serializes"))
    }
}

/// A server-sent event with the given data.
pub(crate) fn sse_event(data: &[u8]) -> Vec<u8> {
    [b"data: ", data, b"\n\n"].concat()
}

/// Body of `GET /v1/models`.
pub(crate) fn model_list<'a>(names: impl Iterator<Item = &'a str>) -> Vec<u8> {
    let entry = |id| ModelEntry { id, object: "model", created: 0, owned_by: "jacinthrock" };
    let list = ModelList { object: "list", data: names.map(entry).collect() };
    serde_json::to_vec(&list).expect("a model list always serializes")
}

/// Text of a token: its value as 16 hexadecimal digits, and a space.
fn token_text(token: u64) -> String {
    format!("{token:016x} ")
}
