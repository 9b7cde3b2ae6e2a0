//! Head row of the stored configuration.

use super::{Change, Digest};
use crate::unit::Version;

/// Names one stored version; two tries for the same version differ in their change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Version.
    pub version: Version,
    /// Change that made it.
    pub change: Change,
}

/// An accepted version, as the head row and each stored change describe it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Head {
    /// The version.
    #[serde(flatten)]
    pub entry: Entry,
    /// Digest of its contents.
    pub digest: Digest,
    /// Operator who made it.
    pub author: Box<str>,
    /// Why, in the operator's words.
    pub note: Box<str>,
    /// Time of the change by the operator's clock, in milliseconds since the Unix epoch.
    pub at: u64,
    /// Latest version up to this one that is stored whole.
    pub snapshot: Entry,
}
