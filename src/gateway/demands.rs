//! Demands of workspaces.

use crate::dispatch::Demand;

/// Demands of workspaces, as a router knows them.
pub trait Demands {
    /// Returns the demand at this router of the workspace that most of the demand here is of.
    fn dominant(&self) -> Option<Demand>;

    /// Returns the tokens per second that a workspace requests at all routers.
    fn total(&self, workspace: u64) -> u64;
}
