//! Lengths of time.

use super::Invalid;
use std::{fmt, str, time};

/// Length of time in microseconds; written as `250ms`, `3s` or `2m`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    /// Returns a span of whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns a span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Returns the whole milliseconds of the span.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span in seconds, rounded up.
    pub const fn secs_ceil(self) -> u64 {
        self.0.div_ceil(1_000_000)
    }

    /// Returns the difference, or zero if `other` is longer.
    pub const fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }

    /// Returns the span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl From<Span> for time::Duration {
    fn from(span: Span) -> Self {
        time::Duration::from_micros(span.0)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            us if us % 1_000_000 == 0 => write!(f, "{}s", us / 1_000_000),
            us => write!(f, "{}ms", us as f64 / 1e3),
        }
    }
}

impl str::FromStr for Span {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || Invalid {
            text: text.into(),
            expected: "a length of time such as 250ms, 3s or 2m",
        };
        let (digits, scale) = if let Some(digits) = text.strip_suffix("ms") {
            (digits, 1_000)
        } else if let Some(digits) = text.strip_suffix('s') {
            (digits, 1_000_000)
        } else if let Some(digits) = text.strip_suffix('m') {
            (digits, 60_000_000)
        } else {
            return Err(invalid());
        };
        let count: u64 = digits.parse().map_err(|_| invalid())?;
        count.checked_mul(scale).map(Self).ok_or_else(invalid)
    }
}

impl<'de> serde::Deserialize<'de> for Span {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = Box::<str>::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

impl serde::Serialize for Span {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}
