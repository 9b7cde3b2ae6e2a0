//! Pause of a target in a summary.

use crate::unit::Span;

/// Pause that a target asked for in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// Hash of the target's name and start time.
    pub target: u64,
    /// Time until its end.
    pub remaining: Span,
}
