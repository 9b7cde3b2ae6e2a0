//! Points in time of the local monotonic clock.

use super::Span;
use std::ops;

/// Microseconds since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time that has passed since `earlier`, or zero if it lies ahead.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}
