//! Transfer of cached prompts between model engines.

use crate::unit::Span;

/// Transfer of cached prompts from one model engine of a service to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Size of the cache entry of one token in bytes.
    pub token_bytes: u64,
    /// Rate of an engine's link for such transfers in megabits per second.
    pub link_mbps: u64,
}

impl Transfer {
    /// Returns the time to transfer tokens, without the set-up of the transfer.
    pub fn time(&self, tokens: u64) -> Span {
        // A megabit per second is one bit per microsecond.
        let bits = tokens.saturating_mul(self.token_bytes).saturating_mul(8);
        Span(bits / self.link_mbps.max(1))
    }
}
