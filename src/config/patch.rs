//! Target that a site adds or overrides.

use super::{
    Document, Target,
    section::{At, Section, narrow, override_value},
    target::{MAX_SLOTS, MIN_SLOTS},
};
use crate::id;
use std::{net::SocketAddr, sync::Arc};

/// Target that a site adds or overrides; `None` keeps the base file's value.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Patch {
    /// Service that it runs; always set for a target that is not in the base file.
    pub service: Option<id::Service>,
    /// Failure domain that it is in.
    pub domain: Option<id::Domain>,
    /// Address of its HTTP interface.
    pub address: Option<SocketAddr>,
    /// Maximum number of concurrent requests.
    pub slots: Option<u32>,
}

impl Patch {
    /// Returns the patched target, or `None` if a field is set neither here nor in the base file.
    pub(super) fn apply(&self, name: &id::Target, base: Option<&Target>) -> Option<Target> {
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

    /// Parses a patch; also returns the byte offset of its address.
    pub(super) fn read(
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
                "target {name} is in failure domain {}, which does not belong to this site",
                base.domain
            );
            section.report(section.offset(), message);
        }
        let service = document.read_service(&section, base.is_none());
        let domain = document.read_domain(&section, base.is_none());
        if let (Some(domain), Some(domains)) = (&domain, domains)
            && !domains.contains(&domain.value)
        {
            let message = format!(
                "failure domain {} does not belong to this site",
                domain.value
            );
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
            service: override_value(&section, "service", service, base.map(|base| &base.service)),
            domain: override_value(&section, "domain", domain, base.map(|base| &base.domain)),
            address: override_value(&section, "address", address, base.map(|base| &base.address)),
            slots: override_value(
                &section,
                "slots",
                slots.map(narrow),
                base.map(|base| &base.slots),
            ),
        };
        if base.is_some() {
            section.require_nonempty();
        }
        section.finish(&[]);
        (patch, address_offset)
    }
}
