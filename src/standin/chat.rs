//! Bodies of the chat completion interface of model engines.

/// Request for a completion.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Model.
    pub model: Box<str>,
    /// Messages of the conversation, as the caller wrote them.
    pub messages: serde_json::Value,
    /// Largest number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// The answer is to come as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Number of tokens that the stand-in generates, whatever `max_tokens` says.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub standin_tokens: Option<u64>,
}

/// Answer that comes whole.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Completion {
    /// Identifier of the completion.
    pub id: Box<str>,
    /// Type of the body, `chat.completion`.
    pub object: Box<str>,
    /// Model.
    pub model: Box<str>,
    /// The one answer.
    pub choices: [Choice; 1],
    /// Tokens read and generated.
    pub usage: Usage,
}

/// An answer of a completion.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Choice {
    /// Number of the answer.
    pub index: u32,
    /// Text.
    pub message: Message,
    /// Why the text ends.
    pub finish_reason: Box<str>,
}

/// Message of a conversation.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Message {
    /// Role of the speaker.
    pub role: Box<str>,
    /// Text.
    pub content: Box<str>,
}

/// Tokens read and generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// Tokens of the request.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Tokens in all.
    pub total_tokens: u64,
}

/// Event of a streamed answer.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Chunk {
    /// Identifier of the completion.
    pub id: Box<str>,
    /// Type of the body, `chat.completion.chunk`.
    pub object: Box<str>,
    /// Model.
    pub model: Box<str>,
    /// The one answer.
    pub choices: [ChunkChoice; 1],
    /// Tokens read and generated; only in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Time at which the stand-in sent the event, in microseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub standin_sent_micros: Option<u64>,
}

/// Part of an answer.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct ChunkChoice {
    /// Number of the answer.
    pub index: u32,
    /// Text that follows.
    pub delta: Delta,
    /// Why the text ends; only in the last event.
    pub finish_reason: Option<Box<str>>,
}

/// Text that follows.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Delta {
    /// Text, or `None` at the end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Box<str>>,
}
