//! Idempotency key of an operation.

use crate::id;
use sha2::{Digest, Sha256};

/// Prefix of the rows of claims in the table.
pub(super) const ROW_PREFIX: &str = "claim/";

/// Bytes of a key's digest in its row's key: enough that two keys never share a row.
const DIGEST_BYTES: usize = 20;

/// Idempotency key that a caller sends with an operation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// Made by the caller; claimed in the platform's table.
    Caller(Box<str>),
    /// Issued by a router; claimed at that router.
    Issued {
        /// Router that issued the key.
        issuer: id::Router,
        /// Key as the caller sent it.
        text: Box<str>,
    },
}

/// Returns the key of the row for an operation that a caller named.
pub(super) fn row_key(workspace: &id::Workspace, service: &id::Service, key: &str) -> Box<str> {
    let mut hasher = Sha256::new();
    // Names hold no zero byte, so that it parts them without doubt.
    for part in [workspace.as_str(), service.as_str(), key] {
        hasher.update(part.as_bytes());
        hasher.update([0]);
    }
    let digest = hasher.finalize();
    let digits = digest[..DIGEST_BYTES].iter().map(|b| format!("{b:02x}"));
    format!("{ROW_PREFIX}{}", digits.collect::<String>()).into()
}
