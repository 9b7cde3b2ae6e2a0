//! Interface that a request uses.

/// Interface that a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Chat completion that comes token by token.
    Stream,
    /// Chat completion that comes whole.
    Whole,
    /// Call of a plain service.
    Call,
}
