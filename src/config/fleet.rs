//! Effective configuration of one site.

use super::{Service, Target, Workspace};
use crate::{id, unit::Version};
use sha2::{Digest as _, Sha256};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use subtle::ConstantTimeEq as _;

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
    /// Slots of each target that the platform's list adds to a service; other services ignore the list.
    pub listed_slots: BTreeMap<id::Service, u32>,
    /// Sites by name, each with its failure domains.
    pub sites: BTreeMap<id::Site, BTreeSet<id::Domain>>,
}

impl Fleet {
    /// Returns the workspace of a caller's key; the time that it takes tells nothing about the keys.
    pub fn workspace_of(&self, key: &[u8]) -> Option<&id::Workspace> {
        let digest: [u8; 32] = Sha256::digest(key).into();
        let (known, workspace) = self.keys.range(digest..).next()?;
        bool::from(known.ct_eq(&digest)).then_some(workspace)
    }

    /// Returns the site that a failure domain belongs to.
    pub fn site_of(&self, domain: &id::Domain) -> Option<&id::Site> {
        let mut sites = self.sites.iter();
        sites.find_map(|(site, domains)| domains.contains(domain).then_some(site))
    }
}
