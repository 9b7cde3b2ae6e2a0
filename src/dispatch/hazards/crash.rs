//! Crash of a target, as far as this router knows.

use crate::unit::{Span, Time};

/// Time within which reports of a crash at one target are of the same crash: a target is gone for
/// longer before it can crash again.
const SAME_CRASH: Span = Span::from_millis(1_000);

/// Crash of a target as it began to answer a request whose prompt has a certain part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    /// Key of the target.
    pub(super) target: u64,
    /// Hash of the target's service and build.
    pub(super) software: u64,
    /// Time for which the request had been at the target.
    pub(super) lasted: Span,
    pub(super) at: Time,
}

impl Crash {
    /// Returns the time at which the request was sent to the target.
    pub(super) fn sent(&self) -> Time {
        Time(self.at.0.saturating_sub(self.lasted.0))
    }

    /// Reports whether both are reports of one crash.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        self.target == other.target && apart < SAME_CRASH
    }
}
