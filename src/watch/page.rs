//! Page of a list.

use crate::unit::Span;

/// Entries of a list at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page<T> {
    /// Entries: all of them, or those that changed.
    pub entries: Vec<T>,
    /// Version of the list.
    pub version: u64,
    /// Time since the platform sent it.
    pub age: Span,
}
