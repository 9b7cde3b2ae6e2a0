//! Conversion of documents to the TOML of the operators' files.

use super::{Digest, Document, Engine, Kind, Limits, Overlay, Patch, Service};
use crate::{
    id,
    unit::{Cost, Span, Weight},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Base file.
#[derive(serde::Serialize)]
struct BaseFile<'d> {
    #[serde(skip_serializing_if = "LimitsTable::is_empty")]
    limits: LimitsTable,
    sites: BTreeMap<&'d id::Site, SiteTable<'d>>,
    workspaces: BTreeMap<&'d id::Workspace, WorkspaceTable<'d>>,
    services: BTreeMap<&'d id::Service, ServiceTable<'d>>,
    targets: BTreeMap<&'d id::Target, TargetTable<'d>>,
}

#[derive(serde::Serialize)]
struct LimitsTable {
    #[serde(skip_serializing_if = "Option::is_none")]
    capacity: Option<u64>,
}

#[derive(serde::Serialize)]
struct SiteTable<'d> {
    domains: &'d BTreeSet<id::Domain>,
}

#[derive(serde::Serialize)]
struct WorkspaceTable<'d> {
    weight: Weight,
    key_sha256: &'d [Digest],
}

#[derive(serde::Serialize)]
struct ServiceTable<'d> {
    kind: Kind,
    hosts: &'d [Box<str>],
    idempotent: bool,
    quick: Cost,
    estimate: Cost,
    timeout: Span,
    max_waiting: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    listed_slots: Option<u32>,
    engine: Engine,
}

#[derive(serde::Serialize)]
struct TargetTable<'d> {
    service: &'d id::Service,
    domain: &'d id::Domain,
    address: SocketAddr,
    slots: u32,
}

/// Overlay file.
#[derive(serde::Serialize)]
struct OverlayFile<'d> {
    site: &'d id::Site,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    services: &'d BTreeMap<id::Service, Limits>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    targets: &'d BTreeMap<id::Target, Patch>,
}

impl LimitsTable {
    fn is_empty(&self) -> bool {
        self.capacity.is_none()
    }
}

impl Document {
    /// Returns the base file as a TOML table.
    ///
    /// # Errors
    ///
    /// Fails if a number is too large for TOML.
    pub fn base_table(&self) -> Result<toml::Table, toml::ser::Error> {
        let workspaces = self.workspaces.iter().map(|(name, account)| {
            let weight = account.workspace.weight;
            let key_sha256 = &*account.keys;
            (name, WorkspaceTable { weight, key_sha256 })
        });
        let services = self.services.iter();
        let services = services.map(|(name, service)| (name, self.service_table(service)));
        let targets = self.targets.iter().map(|(name, target)| {
            let table = TargetTable {
                service: &target.service,
                domain: &target.domain,
                address: target.address,
                slots: target.slots,
            };
            (name, table)
        });
        let sites = self.sites.iter();
        toml::Table::try_from(BaseFile {
            limits: LimitsTable {
                capacity: (self.capacity > 0).then_some(self.capacity),
            },
            sites: sites
                .map(|(name, domains)| (name, SiteTable { domains }))
                .collect(),
            workspaces: workspaces.collect(),
            services: services.collect(),
            targets: targets.collect(),
        })
    }

    /// Returns the overlay file of a site as a TOML table, `None` if the site has no overlay.
    ///
    /// # Errors
    ///
    /// Fails if a number is too large for TOML.
    pub fn overlay_table(&self, site: &id::Site) -> Result<Option<toml::Table>, toml::ser::Error> {
        let overlay = self.overlays.get(site);
        overlay.map(|overlay| overlay.table(site)).transpose()
    }

    fn service_table<'d>(&'d self, service: &'d Service) -> ServiceTable<'d> {
        ServiceTable {
            kind: service.kind,
            hosts: &service.hosts,
            idempotent: service.idempotent,
            quick: service.quick,
            estimate: service.estimate,
            timeout: service.timeout,
            max_waiting: service.max_waiting,
            listed_slots: self.listed_slots.get(&service.name).copied(),
            engine: service.engine,
        }
    }
}

impl Overlay {
    fn table(&self, site: &id::Site) -> Result<toml::Table, toml::ser::Error> {
        toml::Table::try_from(OverlayFile {
            site,
            services: &self.services,
            targets: &self.targets,
        })
    }
}
