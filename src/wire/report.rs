//! Usage reports from owners to aggregators, and the aggregators' replies.

use crate::{id, unit::Cost};

/// Usage of a service by a workspace at one owner; cumulative, so that reports are idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Workspace.
    pub workspace: id::Workspace,
    /// Service.
    pub service: id::Service,
    /// Cost charged since the owner's incarnation began.
    pub served: Cost,
    /// Last fleet-wide level that the owner received, in thousandths of a token.
    pub known: u64,
    /// Value of `served` that is included in `known`.
    pub included: Cost,
    /// Number of requests waiting at the owner.
    pub waiting: u32,
    /// Number of requests running on the owner's targets.
    pub running: u32,
}

/// Usage of workspaces, sent to their aggregator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Incarnation of the reporting owner.
    pub incarnation: id::Incarnation,
    /// Sequence number within that incarnation; larger is later.
    pub sequence: u64,
    /// Usage of the workspaces whose usage changed.
    pub usage: Vec<Usage>,
    /// Lowest level among the owner's backlogged workspaces, by service.
    pub floors: Vec<(id::Service, u64)>,
}

/// Fleet-wide level of a workspace, in the reply of its aggregator to an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Level {
    /// Workspace.
    pub workspace: id::Workspace,
    /// Service.
    pub service: id::Service,
    /// Fleet-wide cost divided by the workspace's weight, in thousandths of a token.
    pub level: u64,
    /// Value of the owner's `served` that is included in `level`.
    pub included: Cost,
}
