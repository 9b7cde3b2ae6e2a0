//! Share and usage of a workspace.

/// Share and usage of a workspace in the window that shares are computed over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allocation {
    /// Tokens of its fair share; `None` while all demand is met.
    pub share: Option<u64>,
    /// Tokens that it requested, at all routers.
    pub requested: u64,
    /// Tokens that it was granted, at all routers.
    pub granted: u64,
}
