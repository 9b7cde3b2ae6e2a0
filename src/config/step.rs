//! Change from one version to another.

use super::{Delta, Digest, Document};
use crate::unit::Version;

/// Change from one version to another, or a snapshot of the whole document if it starts from version 0.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Step {
    /// Version that the delta applies to; 0 if the delta is the whole document.
    pub from: Version,
    /// Version after the delta.
    pub to: Version,
    /// Digest of the document after the delta.
    pub digest: Digest,
    /// Changes.
    pub delta: Delta,
}

impl Step {
    /// Returns a snapshot of a document.
    pub fn snapshot(document: &Document, to: Version, digest: Digest) -> Self {
        Self {
            from: Version(0),
            to,
            digest,
            delta: Delta::between(&Document::default(), document),
        }
    }
}
