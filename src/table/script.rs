//! Faults injected into a simulated platform.

use crate::unit::Span;

/// Faults to inject; the default injects none.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Script {
    /// Every call fails without an effect.
    pub down: bool,
    /// Delay before a call takes effect.
    pub delay: Span,
    /// Number of further writes that take effect but whose response is lost.
    pub lose_answers: u32,
    /// Rate limit of writes per second; a transaction counts as one write.
    pub writes_per_second: Option<u32>,
    /// Rate limit of reads per second.
    pub reads_per_second: Option<u32>,
    /// Reads of the table return its state as of when this was set.
    pub stale_reads: bool,
}
