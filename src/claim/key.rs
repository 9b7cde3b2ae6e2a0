//! Idempotency keys.

use crate::id;
use sha2::{Digest, Sha256};

/// Prefix of the table keys of claim rows.
pub(super) const ROW_PREFIX: &str = "claim/";

/// Bytes of the digest in a row's key; 160 bits make a collision of two idempotency keys
/// negligible.
const DIGEST_BYTES: usize = 20;

/// Idempotency key that a caller sends with a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// Chosen by the caller; claimed in the platform's table.
    Caller(Box<str>),
    /// Issued by a router; claimed at that router.
    Issued {
        /// Router that issued the key.
        issuer: id::Router,
        /// Key as sent by the caller.
        text: Box<str>,
    },
}

/// Returns the table key of the row for an idempotency key that a caller chose.
pub(super) fn row_key(workspace: &id::Workspace, service: &id::Service, key: &str) -> Box<str> {
    let mut hasher = Sha256::new();
    // Names contain no zero byte, so that it separates the parts unambiguously.
    for part in [workspace.as_str(), service.as_str(), key] {
        hasher.update(part.as_bytes());
        hasher.update([0]);
    }
    let digest = hasher.finalize();
    let digits = digest[..DIGEST_BYTES].iter().map(|b| format!("{b:02x}"));
    format!("{ROW_PREFIX}{}", digits.collect::<String>()).into()
}
