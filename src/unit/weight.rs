//! Entitlement of a workspace.

use super::{Cost, Invalid};
use std::{fmt, str};

/// Share of the capacity relative to other workspaces; at least 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
#[serde(transparent)]
pub struct Weight(u32);

impl Weight {
    /// The weight of a workspace that names none.
    pub const ONE: Weight = Weight(1);
    /// Largest weight accepted.
    pub const MAX: u32 = 1_000_000;

    /// Returns a weight, or `None` if it is zero or too large.
    pub fn new(weight: u32) -> Option<Self> {
        (1..=Self::MAX).contains(&weight).then_some(Self(weight))
    }

    /// Returns the weight as a number.
    pub fn get(self) -> u32 {
        self.0
    }

    /// Returns the service per unit of weight, in thousandths of a token.
    pub fn normalize(self, cost: Cost) -> u64 {
        cost.0.saturating_mul(1_000) / u64::from(self.0)
    }
}

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for Weight {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let weight = text.parse().ok().and_then(Self::new);
        weight.ok_or_else(|| Invalid {
            text: text.into(),
            expected: "a weight from 1 to 1000000",
        })
    }
}

impl<'de> serde::Deserialize<'de> for Weight {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let weight = u32::deserialize(d)?;
        Self::new(weight).ok_or_else(|| serde::de::Error::custom("weight must be 1 to 1000000"))
    }
}
