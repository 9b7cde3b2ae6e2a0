//! Levels of findings.

use std::fmt;

/// Level of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// The configuration is refused, or a part of it is not what the file says.
    Error,
    /// An entry has no effect on any request.
    NeverMatches,
    /// Limits that can't all be reached or kept.
    Contradiction,
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Level::Error => "error",
            Level::NeverMatches => "never matches",
            Level::Contradiction => "contradiction",
        })
    }
}
