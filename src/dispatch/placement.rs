//! How targets are chosen.

use std::{fmt, str};

/// How targets are chosen. The first two are baselines to measure against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Placement {
    /// Each router alone, the target with the fewest requests of its own.
    Alone,
    /// Each router alone, targets that keep a part of the prompt first.
    Affinity,
    /// With the loads that all routers report in view.
    #[default]
    Shared,
}

impl Placement {
    /// Reports whether other routers' loads count.
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

/// Error of a text that is no placement.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not alone, affinity or shared")]
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
