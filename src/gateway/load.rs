//! Load of a router by its connections.

/// What a router sees of its connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Connections that arrived since the last observation.
    pub connections: u64,
    /// Connections refused unread since the last observation.
    pub refused: u64,
    /// Another router of the failure domain has more processor.
    pub is_outranked: bool,
}
