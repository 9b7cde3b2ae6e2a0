//! Responses stored with an idempotency key.

/// Complete response of a target, stored to be replayed to retries with the same idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of `content-type`.
    pub content_type: Box<str>,
    /// Body.
    pub body: Box<str>,
}

impl Answer {
    /// Encodes the response as JSON, to be stored with a claim.
    pub fn encode(&self) -> Box<str> {
        serde_json::to_string(self).unwrap_or_default().into()
    }

    /// Decodes a stored response; `None` if the text is invalid.
    pub fn decode(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
