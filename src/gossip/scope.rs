//! Scope of a summary.

/// Scope of a summary: which routers' load it contains, and the role of the sender towards the
/// recipient.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// Load of the sender and its followers, for leading routers.
    #[default]
    Group,
    /// Load of the sender, for the router that it follows.
    Follower,
    /// Load of all routers but the recipient, for a follower of the sender.
    Rest,
    /// No load: the recipient is asked whether it is alive.
    Probe,
    /// No load: the answer to a probe.
    Alive,
}
