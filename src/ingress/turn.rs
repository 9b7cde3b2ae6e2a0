//! One step of a controller.

use super::{Action, Placement};
use crate::{id, unit::Time, wire};

/// One step of a controller: its inputs and its output.
pub(super) struct Turn<'a> {
    /// Time of the step.
    pub(super) now: Time,
    /// Choice of targets.
    pub(super) placement: &'a dyn Placement,
    /// Actions so far.
    pub(super) out: &'a mut Vec<Action>,
}

impl Turn<'_> {
    /// Sends a message to a router.
    pub(super) fn send(&mut self, to: &id::Router, message: wire::Message) {
        let to = to.clone();
        self.out.push(Action::Send(wire::Envelope { to, message }));
    }
}
