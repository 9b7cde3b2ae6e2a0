//! Effective configuration of one site.

use super::{Service, Target, Workspace};
use crate::{id, unit::Version};
use std::{collections::BTreeMap, sync::Arc};

/// Effective configuration of one site: the base file with the site's overlay applied.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// Version that the operators applied.
    pub version: Version,
    /// Workspaces by name.
    pub workspaces: BTreeMap<id::Workspace, Arc<Workspace>>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Arc<Service>>,
    /// Targets by name.
    pub targets: BTreeMap<id::Target, Arc<Target>>,
    /// Workspaces by the SHA-256 digest of a caller's key.
    pub keys: BTreeMap<[u8; 32], id::Workspace>,
}
