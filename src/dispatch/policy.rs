//! Load-balancing policies.

use std::{fmt, str};

/// Load-balancing policy. The first two are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Policy {
    /// The target with the fewest requests of this router.
    Alone,
    /// The target with the lowest score; it is lower where parts of the prompt are cached.
    Affinity,
    /// As `affinity`, but only targets that can answer in time; workspaces get fair shares, and
    /// failures that other routers report count.
    #[default]
    Shared,
}

impl Policy {
    /// Reports whether fair shares and failures that other routers report count.
    pub fn uses_peer_reports(self) -> bool {
        self == Policy::Shared
    }

    /// Reports whether cached prompts count.
    pub fn uses_prompt_cache(self) -> bool {
        self != Policy::Alone
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Policy::Alone => "alone",
            Policy::Affinity => "affinity",
            Policy::Shared => "shared",
        })
    }
}

/// Error for a text that names no policy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown placement {0:?}: expected alone, affinity or shared")]
pub struct Invalid(pub Box<str>);

impl str::FromStr for Policy {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "alone" => Ok(Policy::Alone),
            "affinity" => Ok(Policy::Affinity),
            "shared" => Ok(Policy::Shared),
            _ => Err(Invalid(text.into())),
        }
    }
}
