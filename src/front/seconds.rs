//! Value of `Retry-After`.

use crate::unit::Span;
use std::fmt;

/// Value of `Retry-After`: whole seconds, as RFC 9110 requires, or with a fraction for callers that
/// are known to accept one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seconds {
    /// Whole seconds.
    Whole(u64),
    /// Milliseconds, formatted as seconds with a fraction.
    Exact(u64),
}

impl Seconds {
    /// Rounds up to whole seconds, at least 1.
    pub fn whole(span: Span) -> Self {
        Self::Whole(span.secs_ceil().max(1))
    }

    /// Keeps the milliseconds.
    pub fn exact(span: Span) -> Self {
        Self::Exact(span.as_millis())
    }
}

impl fmt::Display for Seconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Seconds::Whole(seconds) => seconds.fmt(f),
            Seconds::Exact(millis) => write!(f, "{}.{:03}", millis / 1_000, millis % 1_000),
        }
    }
}

impl serde::Serialize for Seconds {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Seconds::Whole(seconds) => serializer.serialize_u64(*seconds),
            Seconds::Exact(millis) => serializer.serialize_f64(*millis as f64 / 1e3),
        }
    }
}
