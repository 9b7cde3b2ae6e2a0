//! An attempt in flight.

use super::{Estimate, Request};
use crate::{id, unit::Time};

/// An attempt in flight: a request sent to a target, whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) request: Request,
    pub(super) estimate: Estimate,
    /// The attempt at the silent target that the request was moved from. It may go back there until
    /// the new target has taken it.
    pub(super) previous: Option<Box<Attempt>>,
    pub(super) sent: Time,
    /// Targets that the request was sent to, the current one last.
    pub(super) tried: Vec<id::Target>,
    /// Number of those that could not be reached.
    pub(super) unsent: usize,
    /// Prompt tokens that the target had to process before the first event, including those of this
    /// request.
    pub(super) ahead: u64,
    /// Tokens in the target's memory that only this request uses.
    pub(super) memory: u64,
    /// The first event of a streamed response, or a plain response, arrived.
    pub(super) response_started: bool,
    /// One of those targets may have run the request.
    pub(super) may_have_run: bool,
    /// Time at which the target was last found silent.
    pub(super) silent_at: Option<Time>,
    /// It was not written, because the target is cold and may get no further request now.
    pub(super) is_withheld: bool,
}
