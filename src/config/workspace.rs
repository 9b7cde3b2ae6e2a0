//! A workspace.

use crate::{id, unit::Weight};

/// A workspace with its entitlement.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Workspace {
    /// Name.
    pub name: id::Workspace,
    /// Entitled share relative to other workspaces.
    pub weight: Weight,
}
