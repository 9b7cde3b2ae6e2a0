//! Entries of a base file with their positions.

use super::{Digest, Document, Fleet, Reader};
use crate::{
    id,
    lint::{Context, Field, Fields, Key, Plan, Service, Workspace},
    unit::Version,
};
use std::collections::BTreeSet;
use toml::de::{DeTable, DeValue};

/// Returns the entries of a base file that has been checked, with their positions, and adds to the context what its
/// document tells of the fleet. Targets and failure domains of all overlays count.
pub fn plan(reader: &Reader<'_>, document: &Document, context: &mut Context) -> Plan {
    let table = reader.parse();
    let fleet = document.fleet(Version(0), None);
    // Targets that only the platform lists may be in any failure domain.
    if document.listed_slots.is_empty() {
        let domains = fleet.targets.values().map(|target| target.domain.clone());
        context.target_domains = Some(domains.collect());
    }
    context.domains = Some(document.sites.values().flatten().cloned().collect());
    let services = document.services.keys().map(|name| Service {
        name: name.clone(),
        engine: None,
        fields: locate(&table, "services", name.as_str()),
    });
    let workspaces = document.workspaces.iter().map(|(name, account)| Workspace {
        name: name.clone(),
        keys: locate_keys(&table, name, &account.keys),
        allowed_regions: None,
        fields: locate(&table, "workspaces", name.as_str()),
    });
    Plan {
        services: services.collect(),
        workspaces: workspaces.collect(),
        requires_key: true,
        served: Some(served(document, &fleet)),
        ..Plan::default()
    }
}

/// Returns the services that have targets or may get some from the platform's list.
fn served(document: &Document, fleet: &Fleet) -> BTreeSet<id::Service> {
    let targets = fleet.targets.values().map(|target| &target.service);
    let listed = document.listed_slots.keys();
    targets.chain(listed).cloned().collect()
}

/// Returns the position of a named table.
fn locate(table: &DeTable<'_>, group: &str, name: &str) -> Fields {
    let group = table
        .get(group)
        .and_then(|group| group.get_ref().as_table());
    let entry = group.and_then(|group| group.get_key_value(name));
    let entry = entry.map_or(0, |(key, _)| key.span().start);
    Fields {
        entry,
        fields: [(Field::Name, entry)].into(),
    }
}

fn locate_keys(table: &DeTable<'_>, name: &id::Workspace, keys: &[Digest]) -> Vec<Key> {
    let value = |table: &DeValue<'_>, key: &str| table.get(key).map(|value| value.span().start);
    let group = table.get("workspaces").map(|group| group.get_ref());
    let entry = group.and_then(|group| group.get(name.as_str()));
    let offset = entry.and_then(|entry| value(entry.get_ref(), "key_sha256"));
    let offset = offset.unwrap_or(0);
    let keys = keys.iter();
    keys.map(|digest| Key {
        digest: *digest,
        offset,
    })
    .collect()
}
