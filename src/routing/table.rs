//! Routes, services and keys of one configuration version.

use super::{Limits, Route, Service};
use crate::{config::Digest, id, unit::Version};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// Routes, services and keys of one configuration version.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Version.
    pub version: Version,
    /// Limits on callers.
    pub limits: Limits,
    /// Services by name.
    pub services: BTreeMap<id::Service, Arc<Service>>,
    /// Rank of each workspace that has one; it goes before the route's.
    pub ranks: BTreeMap<id::Workspace, u32>,
    hosts: HashMap<Box<str>, HashMap<Box<str>, Arc<Route>>>,
    keys: HashMap<Digest, id::Workspace>,
    guarded: bool,
}

impl Table {
    /// Returns an empty table of a version; `guarded` tables ask for keys.
    pub fn new(version: Version, limits: Limits, guarded: bool) -> Self {
        Self {
            version,
            limits,
            guarded,
            ..Self::default()
        }
    }

    /// Reports whether requests need a key unless their route is public.
    pub fn is_guarded(&self) -> bool {
        self.guarded
    }

    /// Adds a route; a later one replaces an earlier one of the same host and prefix.
    pub fn add_route(&mut self, route: Route) {
        let host = route.host.to_ascii_lowercase().into_boxed_str();
        let routes = self.hosts.entry(host).or_default();
        routes.insert(route.prefix.clone(), Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services
            .insert(service.name.clone(), Arc::new(service));
    }

    /// Adds a key of a workspace.
    pub fn add_key(&mut self, key: &[u8], workspace: id::Workspace) {
        self.keys.insert(Digest::of(key), workspace);
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Reports whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the route with the longest prefix of the path among those of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| routes.get(&path[..end]))
    }

    /// Returns the workspace of a key.
    pub fn workspace(&self, key: &[u8]) -> Option<&id::Workspace> {
        self.keys.get(&Digest::of(key))
    }
}
