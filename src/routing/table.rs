//! Routing table of one configuration version.

use super::{Limits, Route, Service};
use crate::{
    config::Digest,
    id,
    unit::{Span, Version},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// Routes, services and API keys of one configuration version.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Version of the configuration; 0 before one is known.
    pub version: Version,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Services by name.
    pub services: BTreeMap<id::Service, Arc<Service>>,
    /// Priority of each workspace that has one; it overrides the route's.
    pub priorities: BTreeMap<id::Workspace, u32>,
    /// Regions whose targets may run a workspace's requests, for each workspace that is restricted;
    /// the route's restriction applies in addition.
    pub allowed_regions: BTreeMap<id::Workspace, Box<[id::Region]>>,
    /// What can't be read of the configuration and was replaced by safe values, for the log.
    pub unread: Vec<Box<str>>,
    hosts: HashMap<Box<str>, HashMap<Box<str>, Arc<Route>>>,
    keys: HashMap<Digest, id::Workspace>,
    requires_key: bool,
}

impl Table {
    /// Creates an empty table; `requires_key` tells whether requests need an API key.
    pub fn new(version: Version, limits: Limits, requires_key: bool) -> Self {
        Self {
            version,
            limits,
            requires_key,
            ..Self::default()
        }
    }

    /// Reports whether requests need an API key, unless their route is public.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// Adds a route; it replaces an earlier one with the same host and prefix.
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

    /// Adds an API key of a workspace; only its digest is kept.
    pub fn add_key(&mut self, key: &[u8], workspace: id::Workspace) {
        self.keys.insert(Digest::of(key), workspace);
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(HashMap::values)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Reports whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the route of the host with the longest matching prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        let prefix_ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        prefix_ends
            .into_iter()
            .find_map(|end| routes.get(&path[..end]))
    }

    /// Returns the regions whose targets may run the requests of a workspace on a route; `None` if all may.
    /// Where both are restricted, both restrictions apply.
    pub fn regions(
        &self,
        route: &Route,
        workspace: Option<&id::Workspace>,
    ) -> Option<Arc<[id::Region]>> {
        let of_workspace = workspace.and_then(|name| self.allowed_regions.get(name));
        match (route.allowed_regions.as_deref(), of_workspace.map(|r| &**r)) {
            (None, None) => None,
            (Some(regions), None) | (None, Some(regions)) => Some(regions.into()),
            (Some(regions), Some(others)) => {
                let both = regions.iter().filter(|region| others.contains(region));
                Some(both.cloned().collect())
            }
        }
    }

    /// Returns the shortest pause that any route allows within the streams of a service.
    pub fn max_pause(&self, service: &id::Service) -> Option<Span> {
        let routes = self.routes();
        let routes =
            routes.filter(|route| route.splits.iter().any(|split| split.service == *service));
        routes.filter_map(|route| route.max_pause).min()
    }

    /// Returns the workspace that an API key belongs to.
    pub fn workspace(&self, key: &[u8]) -> Option<&id::Workspace> {
        self.keys.get(&Digest::of(key))
    }
}
