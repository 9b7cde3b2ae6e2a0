//! Whole answers that are kept for repeats of their idempotency key.

/// A whole answer of a target.
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
    /// Returns the answer as text, as it is stored with a claim.
    pub fn encode(&self) -> Box<str> {
        serde_json::to_string(self).unwrap_or_default().into()
    }

    /// Returns the answer of a stored text, or `None` if it is none.
    pub fn decode(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
