//! Head row of the stored configuration.

use super::Digest;
use crate::unit::Version;
use std::{fmt, str};

/// Identifier of one try to change the configuration; each try draws its own.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(try_from = "Box<str>", into = "String")]
pub struct Change(pub u64);

/// Error of a text that is not a change identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("change {0:?} must be written in hexadecimal digits")]
pub struct InvalidChange(pub Box<str>);

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

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for Change {
    type Err = InvalidChange;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| InvalidChange(text.into()))
    }
}

impl TryFrom<Box<str>> for Change {
    type Error = InvalidChange;

    fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Change> for String {
    fn from(change: Change) -> String {
        change.to_string()
    }
}
