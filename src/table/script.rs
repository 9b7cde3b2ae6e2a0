//! Faults that a platform stand-in is told to show.

use crate::unit::Span;

/// Faults in force; the default shows none.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Script {
    /// No call is answered or has an effect.
    pub down: bool,
    /// Time that passes before a call has its effect.
    pub delay: Span,
    /// Number of next writes that have their effect and are not answered.
    pub lose_answers: u32,
    /// Writes a second above which calls are refused; a transaction is one write.
    pub writes_per_second: Option<u32>,
    /// Reads a second above which calls are refused.
    pub reads_per_second: Option<u32>,
    /// Reads of the table show it as it was when this began.
    pub stale_reads: bool,
}
