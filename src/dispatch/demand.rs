//! Demand of a workspace.

/// What a workspace requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Tokens of its requests.
    pub tokens_per_s: u64,
}
