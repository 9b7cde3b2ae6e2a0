//! Head row of the stored configuration.

use super::{Change, Digest};
use crate::unit::Version;

/// Identifies one stored version; two attempts at the same version differ in `change`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Version.
    pub version: Version,
    /// Attempt that wrote it.
    pub change: Change,
}

/// Metadata of an accepted version, stored in the head row and in the object of each version.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Head {
    /// The version.
    #[serde(flatten)]
    pub entry: Entry,
    /// Digest of its contents.
    pub digest: Digest,
    /// Operator who made the change.
    pub author: Box<str>,
    /// Reason that the operator gave.
    pub note: Box<str>,
    /// Time of the change by the operator's clock, in milliseconds since the Unix epoch.
    pub at: u64,
    /// Latest version, up to and including this one, that has a snapshot.
    pub snapshot: Entry,
}
