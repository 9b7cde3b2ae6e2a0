//! One accepted change.

use super::{Delta, Digest, Document};
use crate::unit::Version;

/// One accepted change, or a whole document when it starts from version 0.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Step {
    /// Version that the delta applies to; 0 when the delta is the whole document.
    pub from: Version,
    /// Version that it leads to.
    pub to: Version,
    /// Digest of the document at that version.
    pub digest: Digest,
    /// Changes.
    pub delta: Delta,
}

impl Step {
    /// Returns a step that leads to a whole document.
    pub fn whole(document: &Document, to: Version, digest: Digest) -> Self {
        Self {
            from: Version(0),
            to,
            digest,
            delta: Delta::between(&Document::default(), document),
        }
    }
}
