//! Identifiers of attempts to change the configuration.

use std::{fmt, str};

/// Identifier of one attempt to change the configuration; each attempt has a new one.
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

/// Error for a text that is not a change identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("change identifier {0:?} must be a hexadecimal number of at most 64 bits")]
pub struct InvalidChange(pub Box<str>);

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
