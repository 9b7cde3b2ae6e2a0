//! Where a workspace stands against its share.

/// Where a workspace stands against its share of the fleet, in the window that shares count over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Tokens that it is owed at most; `None` while all get what they ask.
    pub share: Option<u64>,
    /// Tokens that it was granted, at all routers.
    pub granted: u64,
}
