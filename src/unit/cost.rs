//! Service that a request takes from a target.

use super::Invalid;
use std::{fmt, iter, ops, str};

/// Service in tokens; a call of a plain service counts as its slot's milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Cost(pub u64);

impl Cost {
    /// Returns the difference, or zero if `other` is larger.
    pub fn saturating_sub(self, other: Cost) -> Cost {
        Cost(self.0.saturating_sub(other.0))
    }
}

impl ops::Add for Cost {
    type Output = Cost;

    fn add(self, other: Cost) -> Cost {
        Cost(self.0.saturating_add(other.0))
    }
}

impl ops::AddAssign for Cost {
    fn add_assign(&mut self, other: Cost) {
        *self = *self + other;
    }
}

impl iter::Sum for Cost {
    fn sum<I: Iterator<Item = Cost>>(costs: I) -> Cost {
        costs.fold(Cost(0), ops::Add::add)
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for Cost {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| Invalid {
            text: text.into(),
            expected: "a whole number of tokens",
        })
    }
}
