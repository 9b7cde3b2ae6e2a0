//! Identifier of one attempt to run a request.

use super::Incarnation;
use std::{fmt, str};

/// One attempt at a request, unique over the fleet and over restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt {
    /// Run of the router that made the attempt.
    pub incarnation: Incarnation,
    /// Number of the attempt within that run.
    pub sequence: u64,
}

/// Error of a text that is not an attempt identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("attempt {0:?} is not of the form <incarnation>-<sequence>, both in hexadecimal")]
pub struct InvalidAttempt(pub Box<str>);

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.incarnation, self.sequence)
    }
}

impl str::FromStr for Attempt {
    type Err = InvalidAttempt;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || InvalidAttempt(text.into());
        let (incarnation, sequence) = text.split_once('-').ok_or_else(invalid)?;
        Ok(Self {
            incarnation: incarnation.parse().map_err(|_| invalid())?,
            sequence: u64::from_str_radix(sequence, 16).map_err(|_| invalid())?,
        })
    }
}
