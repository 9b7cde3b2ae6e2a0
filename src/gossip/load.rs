//! Load that a router puts on a target.

/// Load that a router puts on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Hash of the target's name and run.
    pub target: u64,
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens sent and not yet processed, as far as the router knows.
    pub backlog: u64,
    /// Memory of the target that its requests take, in tokens.
    pub memory: u64,
    /// The router has ejected the target because of failures.
    pub suspect: bool,
}
