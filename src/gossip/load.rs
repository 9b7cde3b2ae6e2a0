//! A router's part of a target's load.

/// A router's part of a target's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Hash of the target's name and run.
    pub target: u64,
    /// Requests sent and not ended.
    pub running: u32,
    /// Prompt tokens sent and not yet read, as far as the router knows.
    pub backlog: u64,
    /// Tokens that its requests hold in the target's memory.
    pub memory: u64,
    /// The router has stopped to use the target because of failures.
    pub suspect: bool,
}
