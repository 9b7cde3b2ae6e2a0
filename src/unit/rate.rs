//! Rates of requests.

use super::Invalid;
use std::{fmt, str};

/// Thousandths in a unit.
const MILLIS: f64 = 1e3;

/// Requests per second, in thousandths; written as a decimal number such as `10.2`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Rate(u32);

impl Rate {
    /// Largest rate, a million requests per second; larger ones are taken for it.
    pub const MAX: Rate = Rate(1_000_000_000);

    /// Returns a rate of so many requests in a thousand seconds.
    pub const fn from_millis(millis: u32) -> Self {
        if millis < Self::MAX.0 {
            Self(millis)
        } else {
            Self::MAX
        }
    }

    /// Returns the requests in a thousand seconds.
    pub const fn as_millis(self) -> u32 {
        self.0
    }

    /// Returns the requests per second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / MILLIS
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.per_s().fmt(f)
    }
}

impl str::FromStr for Rate {
    type Err = Invalid;

    /// Parses a decimal number; digits after the third one are dropped.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_s = text.trim().parse().ok();
        let per_s = per_s.filter(|per_s: &f64| per_s.is_finite() && *per_s >= 0.0);
        let per_s = per_s.ok_or_else(|| Invalid {
            text: text.into(),
            expected: "a number of requests per second such as 10.2",
        })?;
        // The nearest float to `10.2` may lie below it; a cast of larger values saturates.
        let millis = (per_s * MILLIS * (1.0 + f64::EPSILON)) as u32;
        Ok(Self::from_millis(millis))
    }
}
