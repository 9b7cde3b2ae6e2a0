//! Errors of the store.

use super::HEAD_KEY;
use crate::{
    config::{Digest, Malformed},
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
    #[error("row {HEAD_KEY} of the platform's table cannot be decoded: {0}")]
    Head(serde_json::Error),
    /// An object cannot be decoded.
    #[error("object {name}: {cause}")]
    Object {
        /// Name of the object.
        name: Box<str>,
        /// Error of the decoder.
        cause: Malformed,
    },
    /// An object that the head row or another object refers to does not exist.
    #[error("object {name} is missing from the platform's object store")]
    Missing {
        /// Name of the object.
        name: Box<str>,
    },
    /// The digest of the stored contents differs from the one in the head.
    #[error("stored configuration version {version} has digest {found}, expected {expected}")]
    Mismatch {
        /// Version.
        version: Version,
        /// Digest in the head.
        expected: Digest,
        /// Digest of the stored contents.
        found: Digest,
    },
}
