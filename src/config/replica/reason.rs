//! Reasons to reject an update.

use crate::{
    config::{Digest, Malformed},
    unit::Version,
};

/// Reason to reject an update.
#[derive(Debug, thiserror::Error)]
pub enum Reason {
    /// The body cannot be decoded.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// The digest of the changed document differs from the one in the update.
    #[error("configuration version {version} has digest {found}, expected {expected}")]
    Mismatch {
        /// Version after the changes.
        version: Version,
        /// Digest given in the update.
        expected: Digest,
        /// Digest of the document after the changes.
        found: Digest,
    },
}
