//! Load of a target in the eyes of a router.

use crate::gossip;

/// Load of a target: this router's own part or all routers' parts together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Requests sent and not ended.
    pub running: u32,
    /// Prompt tokens sent and not yet read.
    pub backlog: u64,
    /// Tokens that running requests hold in memory.
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
