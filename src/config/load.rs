//! Parsing and validation of a base file with its overlays.

use super::{Document, Findings, Fleet, Overlay, Source, reader::Reader};
use crate::{id, unit::Version};
use std::collections::BTreeMap;

/// Version of a configuration that was loaded from files instead of the platform.
const FILE_VERSION: Version = Version(1);

/// Parses and validates a base file with the overlays of all sites.
///
/// # Errors
///
/// Returns all findings of all files.
pub fn check(base: &Source, overlays: &[Source]) -> Result<Document, Findings> {
    let reader = Reader::new(base);
    let mut document = Document::read_base(&reader);
    let mut findings = reader.finish();
    let readers: Vec<Reader<'_>> = overlays.iter().map(Reader::new).collect();
    let mut addresses = Vec::new();
    for reader in &readers {
        let Some(reading) = Overlay::read(reader, &document) else {
            continue;
        };
        let site = &reading.site;
        if document.overlays.contains_key(site) {
            reader.report(0, format!("site {site} already has an overlay"));
            continue;
        }
        document.overlays.insert(reading.site, reading.overlay);
        addresses.push((reader, reading.addresses));
    }
    check_addresses(&document, &addresses);
    findings.extend(readers.into_iter().flat_map(Reader::finish));
    findings.sort();
    match findings.is_empty() {
        true => Ok(document),
        false => Err(Findings(findings)),
    }
}

/// Reports addresses set in overlays that another target also has once all overlays are applied.
fn check_addresses(document: &Document, overlays: &[(&Reader<'_>, BTreeMap<id::Target, usize>)]) {
    let fleet = document.fleet(FILE_VERSION, None);
    let mut owners = BTreeMap::<_, Vec<_>>::new();
    for target in fleet.targets.values() {
        let names = owners.entry(target.address).or_default();
        names.push(&target.name);
    }
    for (reader, addresses) in overlays {
        for (name, offset) in addresses {
            let address = fleet.targets.get(name).map(|target| target.address);
            let names = address.and_then(|address| owners.get(&address));
            let other = names.and_then(|names| names.iter().find(|other| **other != name));
            if let (Some(address), Some(other)) = (address, other) {
                let message = format!("address {address} already belongs to target {other}");
                reader.report(*offset, message);
            }
        }
    }
}

/// Parses and validates a base file with the overlay of one site; returns the site's effective configuration.
///
/// # Errors
///
/// Returns all findings of both files.
pub fn load(base: &Source, overlay: Option<&Source>) -> Result<Fleet, Findings> {
    let overlays: Vec<Source> = overlay.cloned().into_iter().collect();
    let document = check(base, &overlays)?;
    let site = document.overlays.keys().next();
    Ok(document.fleet(FILE_VERSION, site))
}
