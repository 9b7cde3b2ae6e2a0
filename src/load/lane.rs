//! Service that one workspace takes of one service.

use crate::{id, unit::Weight};

/// Service that one workspace takes of one service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Lane {
    /// Workspace.
    pub workspace: id::Workspace,
    /// Its weight.
    pub weight: Weight,
    /// Service.
    pub service: id::Service,
}
