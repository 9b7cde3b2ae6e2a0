//! Seconds in `Retry-After`.

use crate::unit::Span;
use std::fmt;

/// Seconds in `Retry-After`: whole ones, as RFC 9110 has them, or with a fraction for callers who
/// are known to read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seconds {
    /// Whole seconds.
    Whole(u64),
    /// Milliseconds, written as seconds with a fraction.
    Exact(u64),
}

impl Seconds {
    /// Returns a time rounded up to whole seconds, at least 1.
    pub fn whole(span: Span) -> Self {
        Self::Whole(span.secs_ceil().max(1))
    }

    /// Returns a time to the millisecond.
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
