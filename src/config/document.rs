//! Validated contents of the base file and all overlays.

use super::{Digest, Fleet, Overlay, Service, Target, Workspace};
use crate::{id, unit::Version};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// A workspace with the digests of its API keys.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Account {
    /// Workspace.
    pub workspace: Arc<Workspace>,
    /// SHA-256 digests of its API keys.
    pub keys: Box<[Digest]>,
}

/// Validated contents of the base file and all overlays, the same on every router.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Upper bound of the sum of all workspaces' weights; 0 means no limit.
    pub capacity: u64,
    /// Failure domains of each site.
    pub sites: BTreeMap<id::Site, BTreeSet<id::Domain>>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<id::Workspace, Account>,
    /// Services by name, as declared in the base file.
    pub services: BTreeMap<id::Service, Arc<Service>>,
    /// Slots per target, for services whose targets also come from the platform's list of VMs.
    pub listed_slots: BTreeMap<id::Service, u32>,
    /// Targets by name, as declared in the base file.
    pub targets: BTreeMap<id::Target, Arc<Target>>,
    /// Overlays by site.
    pub overlays: BTreeMap<id::Site, Overlay>,
}

impl Document {
    /// Returns the effective configuration of a site: limits come from its own overlay, targets from all overlays.
    pub fn fleet(&self, version: Version, site: Option<&id::Site>) -> Fleet {
        let mut fleet = Fleet::default();
        let accounts = self.workspaces.values();
        accounts.for_each(|account| fleet.add(account));
        fleet.refresh(self, version, site);
        fleet
    }
}
