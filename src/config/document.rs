//! Checked contents of the base file and of all overlays.

use super::{Digest, Fleet, Overlay, Service, Target, Workspace};
use crate::{id, unit::Version};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// A workspace with the digests of its callers' keys.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Holder {
    /// Workspace.
    pub workspace: Arc<Workspace>,
    /// SHA-256 digests of the keys that its callers may use.
    pub keys: Box<[Digest]>,
}

/// Checked contents of the base file and of all overlays, the same at every router.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Sum that the workspaces' weights may not exceed; 0 when it is not limited.
    pub capacity: u64,
    /// Failure domains of each site.
    pub sites: BTreeMap<id::Site, BTreeSet<id::Domain>>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<id::Workspace, Holder>,
    /// Services by name, as the base file has them.
    pub services: BTreeMap<id::Service, Arc<Service>>,
    /// Slots of each target that the platform's list adds to a service.
    pub listed_slots: BTreeMap<id::Service, u32>,
    /// Targets by name, as the base file has them.
    pub targets: BTreeMap<id::Target, Arc<Target>>,
    /// Overlays by site.
    pub overlays: BTreeMap<id::Site, Overlay>,
}

impl Document {
    /// Returns the configuration in force at a site: limits follow its own overlay, targets follow all overlays.
    pub fn fleet(&self, version: Version, site: Option<&id::Site>) -> Fleet {
        let mut fleet = Fleet::default();
        let holders = self.workspaces.values();
        holders.for_each(|holder| fleet.add(holder));
        fleet.refresh(self, version, site);
        fleet
    }
}
