//! Whose load a summary holds.

/// Whose load a summary holds, and what the sender is to the receiver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// The sender's and that of the routers that follow it.
    #[default]
    Group,
    /// The sender's; it follows the receiver, which tells it the rest.
    Follower,
    /// That of all routers but the receiver.
    Rest,
}
