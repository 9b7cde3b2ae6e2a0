//! Tokens of a workspace in a summary.

/// Tokens of a workspace at the routers in the scope of a summary, counted since the sender
/// started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Tokens of all its requests.
    pub requested: u64,
    /// Tokens of requests that were sent to a target.
    pub granted: u64,
}
