//! Load of a target as this router knows it.

use crate::gossip;

/// Load of a target: the part of this router, that of the other routers, or the sum of both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens sent and not yet processed.
    pub backlog: u64,
    /// Memory that requests in flight take, in tokens.
    pub memory: u64,
}

impl View {
    /// Returns the sum of two parts.
    pub fn plus(self, other: View) -> View {
        View {
            running: self.running + other.running,
            backlog: self.backlog + other.backlog,
            memory: self.memory + other.memory,
        }
    }
}

impl From<&gossip::Load> for View {
    fn from(load: &gossip::Load) -> Self {
        Self {
            running: load.running,
            backlog: load.backlog,
            memory: load.memory,
        }
    }
}
