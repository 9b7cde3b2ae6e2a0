//! Figures over all runs at a target.

/// Figures over all runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Total {
    /// Requests taken in, whether they ran or not.
    pub admitted: u64,
    /// Requests taken in after the target was told to leave.
    pub admitted_leaving: u64,
    /// Runs that began to have an effect.
    pub started: u64,
    /// Runs that were carried out whole.
    pub finished: u64,
    /// Runs that ended early.
    pub cancelled: u64,
    /// Tokens made, those of current runs included.
    pub tokens: u64,
    /// Time of the figures on the target's clock, in microseconds.
    pub at_micros: u64,
    /// Time that slots were held, added up over the slots, in microseconds.
    pub busy_micros: u64,
    /// Time that requests waited for a slot, added up over the requests, in microseconds.
    pub queued_micros: u64,
}
