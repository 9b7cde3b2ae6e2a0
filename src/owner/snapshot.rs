//! State of an owner's queues for operators.

use crate::{id, unit::Cost};

/// State of one workspace's queue for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Workspace.
    pub workspace: id::Workspace,
    /// Service.
    pub service: id::Service,
    /// Waiting quick requests.
    pub quick: u32,
    /// Waiting long requests.
    pub long: u32,
    /// Requests on the owner's targets.
    pub running: u32,
    /// Service charged since the owner's incarnation began.
    pub served: Cost,
    /// Fleet-wide level, in thousandths of a token per unit of weight.
    pub level: u64,
}
