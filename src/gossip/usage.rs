//! What a workspace asked of a router.

/// What a workspace asked of a router and was granted, since the router started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Tokens asked for.
    pub asked: u64,
    /// Tokens of requests that were sent to a target.
    pub granted: u64,
}
