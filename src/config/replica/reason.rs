//! Why changes were refused.

use crate::{
    config::{Damaged, Digest},
    unit::Version,
};

/// Why changes were refused.
#[derive(Debug, thiserror::Error)]
pub enum Reason {
    /// The body cannot be decoded.
    #[error(transparent)]
    Damaged(#[from] Damaged),
    /// The changes do not lead to the contents that were accepted.
    #[error("configuration version {version} has digest {found} in place of {expected}")]
    Mismatch {
        /// Version.
        version: Version,
        /// Digest that was accepted.
        expected: Digest,
        /// Digest of the contents that the changes led to.
        found: Digest,
    },
}
