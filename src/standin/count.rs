//! Runs under one identifier.

/// Runs under one identifier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Count {
    /// Runs that began to have an effect.
    pub started: u64,
    /// Runs that were carried out whole.
    pub finished: u64,
    /// Runs that ended early.
    pub cancelled: u64,
    /// Tokens made.
    pub tokens: u64,
}
