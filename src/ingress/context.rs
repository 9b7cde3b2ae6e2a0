//! Context of one controller step.

use super::{Action, Placement};
use crate::{id, unit::Time, wire};

/// Inputs of one controller step and the actions that it emits.
pub(super) struct Context<'a> {
    /// Time of the step.
    pub(super) now: Time,
    /// Selects targets and their owners.
    pub(super) placement: &'a dyn Placement,
    /// Actions emitted so far.
    pub(super) out: &'a mut Vec<Action>,
}

impl Context<'_> {
    /// Sends a message to a router.
    pub(super) fn send(&mut self, to: &id::Router, message: wire::Message) {
        let to = to.clone();
        self.out.push(Action::Send(wire::Envelope { to, message }));
    }
}
