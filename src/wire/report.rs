//! Service reports from owners to tallies, and the tallies' replies.

use crate::{id, unit::Cost};

/// Service that one workspace got from one owner; cumulative, so that a repeat changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Workspace that got the service.
    pub workspace: id::Workspace,
    /// Service that was called.
    pub service: id::Service,
    /// Service given since the owner's incarnation began.
    pub served: Cost,
    /// Last fleet-wide level that the owner knows, in thousandths of a token per unit of weight.
    pub known: u64,
    /// Value of `served` that `known` already includes.
    pub included: Cost,
    /// Requests that wait at the owner.
    pub waiting: u32,
    /// Requests that run on the owner's targets.
    pub running: u32,
}

/// Usage of several workspaces whose tally is the receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Run of the reporting owner.
    pub incarnation: id::Incarnation,
    /// Number of the report within that run; larger is later.
    pub sequence: u64,
    /// Usage of each workspace that changed.
    pub usage: Vec<Usage>,
    /// Lowest level among the owner's backlogged workspaces of each service.
    pub floors: Vec<(id::Service, u64)>,
}

/// Fleet-wide level of a workspace, as its tally replies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Level {
    /// Workspace.
    pub workspace: id::Workspace,
    /// Service.
    pub service: id::Service,
    /// Fleet-wide service per unit of weight, in thousandths of a token.
    pub level: u64,
    /// The receiver's own `served` that `level` includes.
    pub included: Cost,
}
