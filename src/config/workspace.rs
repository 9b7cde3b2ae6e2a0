//! A workspace.

use crate::{id, unit::Weight};

/// A workspace with its weight in fair queueing.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Workspace {
    /// Name.
    pub name: id::Workspace,
    /// Share of capacity that it is entitled to, relative to other workspaces.
    pub weight: Weight,
}
