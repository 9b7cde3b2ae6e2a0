//! Load of a target in a summary.

/// Load that the routers in the scope of a summary put on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Hash of the target's name and start time.
    pub target: u64,
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens sent and not yet processed, as far as the routers know.
    pub backlog: u64,
    /// Memory of the target that these requests take, in tokens.
    pub memory: u64,
    /// The sender, or a router in the scope, has ejected the target because of failures.
    pub suspect: bool,
}
