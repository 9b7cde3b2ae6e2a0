//! Loading of a base file with its overlays.

use super::{Document, Findings, Fleet, Overlay, Source, reader::Reader};
use crate::unit::Version;

/// Version of a configuration that was loaded from files and not from the platform.
const FILE_VERSION: Version = Version(1);

/// Reads and checks a base file with the overlays of all sites.
///
/// # Errors
///
/// Returns all findings of all files.
pub fn check(base: &Source, overlays: &[Source]) -> Result<Document, Findings> {
    let reader = Reader::new(base);
    let mut document = Document::read_base(&reader);
    let mut findings = reader.finish();
    for source in overlays {
        let reader = Reader::new(source);
        if let Some((site, overlay)) = Overlay::read(&reader, &document) {
            if document.overlays.contains_key(&site) {
                reader.report(0, format!("site {site} already has an overlay"));
            }
            document.overlays.insert(site, overlay);
        }
        findings.extend(reader.finish());
    }
    findings.sort();
    match findings.is_empty() {
        true => Ok(document),
        false => Err(Findings(findings)),
    }
}

/// Reads and checks a base file with the overlay of one site, and returns what is in force there.
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
