//! Load-balancing policies.

use std::{fmt, str};

/// Load-balancing policy. The first two are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Placement {
    /// Least requests: each router counts only its own.
    Alone,
    /// Prefix affinity: each router prefers targets that it has sent parts of the prompt to, and
    /// counts only its own requests.
    Affinity,
    /// Lowest estimated cost, based on the loads that all routers report.
    #[default]
    Shared,
}

impl Placement {
    /// Reports whether the loads of other routers count.
    pub fn sees_others(self) -> bool {
        self == Placement::Shared
    }

    /// Reports whether cached prompts count.
    pub fn sees_prompts(self) -> bool {
        self != Placement::Alone
    }
}

impl fmt::Display for Placement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Placement::Alone => "alone",
            Placement::Affinity => "affinity",
            Placement::Shared => "shared",
        })
    }
}

/// Error for a text that names no policy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown placement {0:?}: expected alone, affinity or shared")]
pub struct Invalid(pub Box<str>);

impl str::FromStr for Placement {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "alone" => Ok(Placement::Alone),
            "affinity" => Ok(Placement::Affinity),
            "shared" => Ok(Placement::Shared),
            _ => Err(Invalid(text.into())),
        }
    }
}
