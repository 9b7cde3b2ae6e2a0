//! Errors of the store.

use super::HEAD_KEY;
use crate::{
    config::{Damaged, Digest},
    table::Fault,
    unit::Version,
};

/// Error of a call to the store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform failed; nothing was changed.
    #[error(transparent)]
    Platform(#[from] Fault),
    /// The head row cannot be decoded.
    #[error("row {HEAD_KEY} of the platform's table is damaged: {0}")]
    Head(serde_json::Error),
    /// An object cannot be decoded.
    #[error("object {name}: {cause}")]
    Object {
        /// Name of the object.
        name: Box<str>,
        /// What the decoder said.
        cause: Damaged,
    },
    /// An object that the head row needs does not exist.
    #[error("object {name} is missing from the platform's object store")]
    Missing {
        /// Name of the object.
        name: Box<str>,
    },
    /// The stored changes do not lead to the contents that were accepted.
    #[error("stored configuration version {version} has digest {found} in place of {expected}")]
    Mismatch {
        /// Version.
        version: Version,
        /// Digest that was accepted.
        expected: Digest,
        /// Digest of the stored contents.
        found: Digest,
    },
}
