//! Effective configuration of one site.

use super::{Account, Delta, Digest, Document, Map, Service, Target, Workspace};
use crate::{id, unit::Version};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use subtle::ConstantTimeEq as _;

/// Effective configuration of one site: the base file with the targets of all overlays and the limits of the site's own
/// overlay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// Version of the configuration.
    pub version: Version,
    /// Workspaces by name.
    pub workspaces: Map<id::Workspace, Arc<Workspace>>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Arc<Service>>,
    /// Targets by name.
    pub targets: BTreeMap<id::Target, Arc<Target>>,
    /// Workspaces by the SHA-256 digest of an API key.
    pub keys: Map<Digest, id::Workspace>,
    /// Slots per target, for services whose targets also come from the platform's list of VMs.
    pub listed_slots: BTreeMap<id::Service, u32>,
    /// Sites by name, each with its failure domains.
    pub sites: BTreeMap<id::Site, BTreeSet<id::Domain>>,
}

impl Fleet {
    /// Returns the workspace of an API key; digests are compared in constant time.
    pub fn workspace_of(&self, key: &[u8]) -> Option<&id::Workspace> {
        let digest = Digest::of(key);
        let mut found = None;
        // No early exit on a match: the time must not depend on which candidate matches.
        for (known, workspace) in self.keys.shard_items(&digest) {
            if known.0.ct_eq(&digest.0).into() {
                found = Some(workspace);
            }
        }
        found
    }

    /// Returns the site that a failure domain belongs to.
    pub fn site_of(&self, domain: &id::Domain) -> Option<&id::Site> {
        let mut sites = self.sites.iter();
        sites.find_map(|(site, domains)| domains.contains(domain).then_some(site))
    }

    /// Adds a workspace and its keys.
    pub(super) fn add(&mut self, account: &Account) {
        let workspace = &account.workspace;
        let name = &workspace.name;
        let keys = account.keys.iter().map(|key| (*key, name.clone()));
        self.keys.extend(keys);
        self.workspaces.insert(name.clone(), workspace.clone());
    }

    /// Applies a delta to the workspaces and keys; `before` is the document before the delta.
    pub(super) fn apply_delta(&mut self, before: &Document, delta: &Delta) {
        for name in delta.workspaces.keys() {
            let Some(account) = before.workspaces.get(name) else {
                continue;
            };
            self.workspaces.remove(name);
            for key in &account.keys {
                self.keys.remove(key);
            }
        }
        let added = delta.workspaces.values().flatten();
        added.for_each(|account| self.add(account));
    }

    /// Replaces everything but the workspaces and keys with the contents of a document.
    pub(super) fn refresh(
        &mut self,
        document: &Document,
        version: Version,
        site: Option<&id::Site>,
    ) {
        self.version = version;
        self.services = document.services.clone();
        self.targets = document.targets.clone();
        self.listed_slots = document.listed_slots.clone();
        self.sites = document.sites.clone();
        for overlay in document.overlays.values() {
            overlay.apply_targets(self);
        }
        let overlay = site.and_then(|site| document.overlays.get(site));
        if let Some(overlay) = overlay {
            overlay.apply_limits(self);
        }
    }
}
