//! A request that was sent to a target.

use super::{Offer, Request};
use crate::{id, unit::Time};

/// A request that was sent to a target.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) request: Request,
    pub(super) offer: Offer,
    pub(super) sent: Time,
    /// Targets that it was sent to, the last one at the end.
    pub(super) tried: Vec<id::Target>,
    /// How many of them could not be reached.
    pub(super) unsent: usize,
    /// Prompt tokens that were waiting at the target when it was sent, its own included.
    pub(super) ahead: u64,
    /// Tokens of its own in the target's memory, without shared parts.
    pub(super) memory: u64,
    /// Its first event or head came.
    pub(super) begun: bool,
    /// A target may have run it.
    pub(super) ran: bool,
    /// The gateway was told to stop waiting; the repeat is paid from the budget.
    pub(super) abandoned: bool,
    /// Time at which the target was last found silent.
    pub(super) doubted: Option<Time>,
}
