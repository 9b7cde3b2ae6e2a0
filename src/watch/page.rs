//! Entries of a list.

/// Entries of a list as of one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page<T> {
    /// Entries: all of them, or those that changed.
    pub entries: Vec<T>,
    /// Version of the list.
    pub version: u64,
}
