//! Idempotency key of an operation.

use crate::id;

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
