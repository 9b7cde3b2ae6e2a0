//! Overlay of one site.

use super::{
    Document, Fleet, Limits, Patch,
    reader::Reader,
    section::{At, Section},
};
use crate::id;
use std::{collections::BTreeMap, sync::Arc};

/// Overrides of the base file at one site.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Overlay {
    /// Limits that the site overrides, by service.
    pub services: BTreeMap<id::Service, Limits>,
    /// Targets that the site adds or overrides.
    pub targets: BTreeMap<id::Target, Patch>,
}

/// A parsed overlay with its site.
pub(super) struct Reading {
    pub(super) site: id::Site,
    pub(super) overlay: Overlay,
    /// Byte offsets of the addresses that it sets.
    pub(super) addresses: BTreeMap<id::Target, usize>,
}

impl Overlay {
    pub(super) fn apply_targets(&self, fleet: &mut Fleet) {
        for (name, patch) in &self.targets {
            let base = fleet.targets.get(name);
            if let Some(target) = patch.apply(name, base.map(Arc::as_ref)) {
                fleet.targets.insert(name.clone(), Arc::new(target));
            }
        }
    }

    pub(super) fn apply_limits(&self, fleet: &mut Fleet) {
        for (name, limits) in &self.services {
            if let Some(service) = fleet.services.get_mut(name) {
                limits.apply(Arc::make_mut(service));
            }
        }
    }

    /// Parses an overlay; returns `None` if its site is missing or unknown.
    pub(super) fn read(reader: &Reader<'_>, base: &Document) -> Option<Reading> {
        let table = reader.parse();
        let root = Section::root(reader, &table);
        let site = root.required_text::<id::Site>("site");
        if let Some(site) = &site {
            root.require_known("site", site, base.sites.keys().map(id::Site::as_str));
        }
        let mut overlay = Self::default();
        overlay.read_services(&root, base);
        let name = site.as_ref().map(|site| &site.value);
        let addresses = overlay.read_targets(&root, base, name);
        if let (Some(site), true) = (&site, overlay == Self::default()) {
            root.report(site.offset, "the overlay changes nothing");
        }
        root.finish(&["limits", "sites", "workspaces"]);
        let site = site?.value;
        base.sites.contains_key(&site).then_some(Reading {
            site,
            overlay,
            addresses,
        })
    }

    fn read_services(&mut self, root: &Section<'_>, base: &Document) {
        for (name, section) in root.tables::<id::Service>("services") {
            let value = At {
                value: name,
                offset: section.offset(),
            };
            section.require_known(
                "service",
                &value,
                base.services.keys().map(id::Service::as_str),
            );
            let name = value.value;
            if let Some(service) = base.services.get(&name) {
                let limits = Limits::read(section, service);
                self.services.insert(name, limits);
            }
        }
    }

    /// Reads the targets and returns the byte offsets of their addresses.
    fn read_targets(
        &mut self,
        root: &Section<'_>,
        base: &Document,
        site: Option<&id::Site>,
    ) -> BTreeMap<id::Target, usize> {
        let mut addresses = BTreeMap::new();
        for (name, section) in root.tables::<id::Target>("targets") {
            let (patch, address) = Patch::read(&name, section, base, site);
            addresses.extend(address.map(|offset| (name.clone(), offset)));
            self.targets.insert(name, patch);
        }
        addresses
    }
}
