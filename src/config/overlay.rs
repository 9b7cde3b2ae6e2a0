//! Overlay of one site.

use super::{
    Document, Fleet, Service, Target,
    reader::{Reader, suggestion},
    section::{At, Section},
    target::{MAX_SLOTS, MIN_SLOTS},
};
use crate::{
    id,
    unit::{Cost, Span},
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use toml::de::DeTable;

/// Changes that one site makes to the base file.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Overlay {
    /// Limits that differ at the site, by service.
    pub services: BTreeMap<id::Service, Limits>,
    /// Targets of the site that are added or differ.
    pub targets: BTreeMap<id::Target, Patch>,
}

/// Limits of a service that differ at a site; `None` leaves the base's value.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Largest estimated cost of a quick call.
    pub quick: Option<Cost>,
    /// Cost assumed for a call with no hint and no history.
    pub estimate: Option<Cost>,
    /// Longest time that a call may take.
    pub timeout: Option<Span>,
    /// Requests of one workspace that may wait at one owner.
    pub max_waiting: Option<u32>,
}

/// A target that a site adds or changes; `None` leaves the base's value.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Patch {
    /// Service that it runs; set for a target that the base file lacks.
    pub service: Option<id::Service>,
    /// Failure domain that it is in.
    pub domain: Option<id::Domain>,
    /// Address of its HTTP interface.
    pub address: Option<SocketAddr>,
    /// Requests that it may run at once.
    pub slots: Option<u32>,
}

/// An overlay as it was read.
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

    /// Reads an overlay; returns `None` if it names no known site.
    pub(super) fn read(reader: &Reader<'_>, base: &Document) -> Option<Reading> {
        let (table, errors) = DeTable::parse_recoverable(reader.text());
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            reader.report(offset, error.message());
        }
        let root = Section::root(reader, table.get_ref());
        let site = root.required_text::<id::Site>("site");
        let domains = site.as_ref().and_then(|site| base.sites.get(&site.value));
        if let (Some(site), None) = (&site, domains) {
            let known = base.sites.keys().map(id::Site::as_str);
            let hint = suggestion(site.value.as_str(), known);
            root.report(site.offset, format!("unknown site {}{hint}", site.value));
        }
        let mut overlay = Self::default();
        let mut addresses = BTreeMap::new();
        for (name, section) in root.tables::<id::Service>("services") {
            match base.services.get(&name) {
                Some(service) => {
                    let limits = Limits::read(section, service);
                    overlay.services.insert(name, limits);
                }
                None => {
                    let known = base.services.keys().map(id::Service::as_str);
                    let hint = suggestion(name.as_str(), known);
                    section.report(section.offset(), format!("unknown service {name}{hint}"));
                }
            }
        }
        for (name, section) in root.tables::<id::Target>("targets") {
            let site = site.as_ref().map(|site| &site.value);
            let (patch, address) = Patch::read(&name, section, base, site);
            addresses.extend(address.map(|offset| (name.clone(), offset)));
            overlay.targets.insert(name, patch);
        }
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
}

impl Limits {
    fn apply(&self, service: &mut Service) {
        service.quick = self.quick.unwrap_or(service.quick);
        service.estimate = self.estimate.unwrap_or(service.estimate);
        service.timeout = self.timeout.unwrap_or(service.timeout);
        service.max_waiting = self.max_waiting.unwrap_or(service.max_waiting);
    }

    fn read(section: Section<'_>, base: &Service) -> Self {
        let quick = section.number("quick", 0, u64::MAX).map(cost);
        let estimate = section.number("estimate", 1, u64::MAX).map(cost);
        let timeout = section.text("timeout");
        let max_waiting = section.number("max_waiting", 1, u32::MAX.into());
        let limits = Self {
            quick: changed(&section, "quick", quick, Some(&base.quick)),
            estimate: changed(&section, "estimate", estimate, Some(&base.estimate)),
            timeout: changed(&section, "timeout", timeout, Some(&base.timeout)),
            max_waiting: changed(
                &section,
                "max_waiting",
                max_waiting.map(small),
                Some(&base.max_waiting),
            ),
        };
        section.require_some();
        section.finish(&["kind", "hosts", "idempotent", "engine", "listed_slots"]);
        limits
    }
}

impl Patch {
    /// Returns the target that comes of a base's target, or `None` if a part is missing.
    fn apply(&self, name: &id::Target, base: Option<&Target>) -> Option<Target> {
        let service = self.service.as_ref().or(base.map(|base| &base.service));
        let domain = self.domain.as_ref().or(base.map(|base| &base.domain));
        Some(Target {
            name: name.clone(),
            service: service?.clone(),
            domain: domain?.clone(),
            address: self.address.or(base.map(|base| base.address))?,
            slots: self.slots.or(base.map(|base| base.slots))?,
        })
    }

    /// Reads a target; returns the byte offset of its address too.
    fn read(
        name: &id::Target,
        section: Section<'_>,
        document: &Document,
        site: Option<&id::Site>,
    ) -> (Self, Option<usize>) {
        let base = document.targets.get(name).map(Arc::as_ref);
        let domains = site.and_then(|site| document.sites.get(site));
        if let (Some(base), Some(domains)) = (base, domains)
            && !domains.contains(&base.domain)
        {
            let message = format!(
                "target {name} is in failure domain {}, which is not of this site",
                base.domain
            );
            section.report(section.offset(), message);
        }
        let service = document.read_service(&section, base.is_none());
        let domain = document.read_domain(&section, base.is_none());
        if let (Some(domain), Some(domains)) = (&domain, domains)
            && !domains.contains(&domain.value)
        {
            let message = format!("failure domain {} is not of this site", domain.value);
            section.report(domain.offset, message);
        }
        let (address, slots) = if base.is_some() {
            let slots = section.number("slots", MIN_SLOTS, MAX_SLOTS);
            (section.text("address"), slots)
        } else {
            let slots = section.required_number("slots", MIN_SLOTS, MAX_SLOTS);
            (section.required_text("address"), slots)
        };
        let address_offset = address
            .as_ref()
            .map(|address: &At<SocketAddr>| address.offset);
        let patch = Self {
            service: changed(&section, "service", service, base.map(|base| &base.service)),
            domain: changed(&section, "domain", domain, base.map(|base| &base.domain)),
            address: changed(&section, "address", address, base.map(|base| &base.address)),
            slots: changed(
                &section,
                "slots",
                slots.map(small),
                base.map(|base| &base.slots),
            ),
        };
        if base.is_some() {
            section.require_some();
        }
        section.finish(&[]);
        (patch, address_offset)
    }
}

/// Returns a value that differs from the base's; reports one that does not.
fn changed<T: PartialEq>(
    section: &Section<'_>,
    key: &str,
    value: Option<At<T>>,
    base: Option<&T>,
) -> Option<T> {
    let value = value?;
    if base == Some(&value.value) {
        let message = format!(
            "{} changes nothing: the base file says the same",
            section.path(key)
        );
        section.report(value.offset, message);
    }
    Some(value.value)
}

fn cost(number: At<u64>) -> At<Cost> {
    At {
        value: Cost(number.value),
        offset: number.offset,
    }
}

/// Narrows a number whose range was checked when it was read.
pub(super) fn small(number: At<u64>) -> At<u32> {
    At {
        value: number.value.try_into().unwrap_or(u32::MAX),
        offset: number.offset,
    }
}
