//! Parsing of the base file.

use super::{
    Account, Digest, Document, Engine, Kind, Service, Target, Workspace,
    reader::Reader,
    section::{At, Section, narrow},
    target::{MAX_SLOTS, MIN_SLOTS},
};
use crate::{
    id,
    unit::{Cost, Span, Weight},
};
use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    net::SocketAddr,
    sync::Arc,
};

/// Default of `quick`: largest estimated cost of a quick call, in tokens.
const DEFAULT_QUICK: Cost = Cost(256);
/// Default of `estimate`: cost assumed for a call with no hint and no history, in tokens.
const DEFAULT_ESTIMATE: Cost = Cost(512);
/// Default of `timeout`; long answers stream for minutes.
const DEFAULT_TIMEOUT: Span = Span::from_secs(600);
/// Default of `max_waiting`: requests of one workspace that may wait at one owner.
const DEFAULT_MAX_WAITING: u32 = 1_000;

impl Document {
    /// Parses a base file; errors are reported to the reader.
    pub(super) fn read_base(reader: &Reader<'_>) -> Self {
        let table = reader.parse();
        let root = Section::root(reader, &table);
        let mut document = Self::default();
        document.read_sites(&root);
        document.read_workspaces(&root);
        document.read_limits(&root);
        document.read_services(&root);
        document.read_targets(&root);
        root.finish(&[]);
        document
    }

    /// Reads the `service` key of a target; reports an unknown service.
    pub(super) fn read_service(
        &self,
        section: &Section<'_>,
        required: bool,
    ) -> Option<At<id::Service>> {
        let service: At<id::Service> = if required {
            section.required_text("service")?
        } else {
            section.text("service")?
        };
        let known = self.services.keys().map(id::Service::as_str);
        section.require_known("service", &service, known);
        Some(service)
    }

    /// Reads the `domain` key of a target; reports an unknown failure domain.
    pub(super) fn read_domain(
        &self,
        section: &Section<'_>,
        required: bool,
    ) -> Option<At<id::Domain>> {
        let domain: At<id::Domain> = if required {
            section.required_text("domain")?
        } else {
            section.text("domain")?
        };
        let known = self.sites.values().flatten().map(id::Domain::as_str);
        section.require_known("failure domain", &domain, known);
        Some(domain)
    }

    fn read_sites(&mut self, root: &Section<'_>) {
        let mut owners = BTreeMap::<id::Domain, id::Site>::new();
        for (site, section) in root.tables::<id::Site>("sites") {
            let mut domains = BTreeSet::new();
            for domain in section.texts::<id::Domain>("domains") {
                if let Some(other) = owners.insert(domain.value.clone(), site.clone()) {
                    let message = format!(
                        "failure domain {} already belongs to site {other}",
                        domain.value
                    );
                    section.report(domain.offset, message);
                }
                domains.insert(domain.value);
            }
            if domains.is_empty() {
                section.report(
                    section.offset(),
                    format!("site {site} has no failure domain"),
                );
            }
            section.finish(&[]);
            self.sites.insert(site, domains);
        }
    }

    fn read_workspaces(&mut self, root: &Section<'_>) {
        let mut owners = BTreeMap::<Digest, id::Workspace>::new();
        for (name, section) in root.tables::<id::Workspace>("workspaces") {
            let weight = section.number("weight", 1, Weight::MAX.into());
            let weight = weight.and_then(|weight| Weight::new(narrow(weight).value));
            let mut keys = Vec::new();
            for key in section.texts::<Digest>("key_sha256") {
                if let Some(other) = owners.insert(key.value, name.clone()) {
                    let message = format!("the key already belongs to workspace {other}");
                    section.report(key.offset, message);
                }
                keys.push(key.value);
            }
            section.finish(&[]);
            let workspace = Arc::new(Workspace {
                name: name.clone(),
                weight: weight.unwrap_or(Weight::ONE),
            });
            let account = Account {
                workspace,
                keys: keys.into(),
            };
            self.workspaces.insert(name, account);
        }
    }

    fn read_limits(&mut self, root: &Section<'_>) {
        let Some(section) = root.table("limits") else {
            return;
        };
        if let Some(capacity) = section.number("capacity", 1, u64::MAX) {
            let weights = self.workspaces.values().map(|account| &account.workspace);
            let sum: u64 = weights.map(|w| u64::from(w.weight.get())).sum();
            if sum > capacity.value {
                let message = format!(
                    "the workspaces' weights add up to {sum}, over the capacity of {}",
                    capacity.value
                );
                section.report(capacity.offset, message);
            }
            self.capacity = capacity.value;
        }
        section.finish(&[]);
    }

    fn read_services(&mut self, root: &Section<'_>) {
        let mut owners = BTreeMap::<String, id::Service>::new();
        for (name, section) in root.tables::<id::Service>("services") {
            let hosts = section.texts::<String>("hosts");
            for host in &hosts {
                if let Some(other) = owners.insert(host.value.clone(), name.clone()) {
                    let message = format!("host {:?} already selects service {other}", host.value);
                    section.report(host.offset, message);
                }
            }
            let hosts = hosts.into_iter().map(|host| host.value.into()).collect();
            let service = read_service(&section, name.clone(), hosts);
            if let Some(slots) = section.number("listed_slots", MIN_SLOTS, MAX_SLOTS) {
                self.listed_slots.insert(name.clone(), narrow(slots).value);
            }
            section.finish(&[]);
            self.services.insert(name, Arc::new(service));
        }
    }

    fn read_targets(&mut self, root: &Section<'_>) {
        let mut owners = BTreeMap::<SocketAddr, id::Target>::new();
        for (name, section) in root.tables::<id::Target>("targets") {
            let service = self.read_service(&section, true);
            let domain = self.read_domain(&section, true);
            let address = section.required_text::<SocketAddr>("address");
            let slots = section.required_number("slots", MIN_SLOTS, MAX_SLOTS);
            if let Some(address) = &address {
                match owners.entry(address.value) {
                    Entry::Occupied(other) => {
                        let message = format!(
                            "address {} already belongs to target {}",
                            address.value,
                            other.get()
                        );
                        section.report(address.offset, message);
                    }
                    Entry::Vacant(free) => {
                        free.insert(name.clone());
                    }
                }
            }
            section.finish(&[]);
            let (Some(service), Some(domain)) = (service, domain) else {
                continue;
            };
            let (Some(address), Some(slots)) = (address, slots) else {
                continue;
            };
            let target = Target {
                name: name.clone(),
                service: service.value,
                domain: domain.value,
                address: address.value,
                slots: narrow(slots).value,
            };
            self.targets.insert(name, Arc::new(target));
        }
    }
}

fn read_service(section: &Section<'_>, name: id::Service, hosts: Vec<Box<str>>) -> Service {
    let kind = section.required_text("kind").map(|kind| kind.value);
    let idempotent = section.flag("idempotent").map(|flag| flag.value);
    let quick = section.number("quick", 0, u64::MAX);
    let estimate = section.number("estimate", 1, u64::MAX);
    let timeout = section.text("timeout").map(|timeout| timeout.value);
    let max_waiting = section.number("max_waiting", 1, u32::MAX.into());
    Service {
        name,
        kind: kind.unwrap_or(Kind::Model),
        hosts,
        idempotent: idempotent.unwrap_or(false),
        quick: quick.map_or(DEFAULT_QUICK, |quick| Cost(quick.value)),
        estimate: estimate.map_or(DEFAULT_ESTIMATE, |estimate| Cost(estimate.value)),
        timeout: timeout.unwrap_or(DEFAULT_TIMEOUT),
        max_waiting: max_waiting.map_or(DEFAULT_MAX_WAITING, |max| narrow(max).value),
        engine: read_engine(section),
    }
}

fn read_engine(section: &Section<'_>) -> Engine {
    let Some(section) = section.table("engine") else {
        return Engine::default();
    };
    let engine = Engine {
        fencing: section.flag("fencing").is_some_and(|flag| flag.value),
        resume: section.flag("resume").is_some_and(|flag| flag.value),
    };
    section.finish(&[]);
    engine
}
