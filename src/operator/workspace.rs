//! Usage and backlog of a workspace.

use crate::{
    id,
    unit::{Cost, Weight},
};

/// Usage of one service by a workspace, on the targets that the answering router owns.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Workspace {
    /// Workspace.
    pub workspace: id::Workspace,
    /// Service.
    pub service: id::Service,
    /// Weight in fair queueing.
    pub weight: Weight,
    /// Cost served by this router since its start.
    pub served: Cost,
    /// Fleet-wide fair-queueing level that the router knows, in thousandths of a token per unit of weight.
    pub level: u64,
    /// Requests that wait at this router.
    pub waiting: u32,
    /// Requests that run on the router's targets.
    pub running: u32,
}
