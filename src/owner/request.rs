//! Request that waits or runs at an owner.

use crate::{
    id,
    unit::{Cost, Time},
    wire,
};

/// State of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Waits in the queue.
    Waiting,
    /// Runs on a target.
    Running {
        /// Target.
        target: id::Target,
        /// Cost charged to the workspace so far, including `prior`.
        charged: Cost,
        /// Cost so far, as the ingress reported it.
        reported: Cost,
        /// Cost at the take-over from a previous owner, which charged it; 0 without one.
        prior: Cost,
        /// Time of the grant.
        started: Time,
    },
}

/// Request that waits or runs at an owner.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// Ingress that holds the caller's connection.
    pub(super) ingress: id::Router,
    /// Slot request as received.
    pub(super) ask: wire::Ask,
    /// Size class according to the corrected estimate.
    pub(super) class: wire::Class,
    /// Cost estimate after correction by the workspace's history.
    pub(super) estimate: Cost,
    /// Arrival at the ingress, in local time; orders the requests of a workspace.
    pub(super) arrived: Time,
    /// Deadline of the caller while waiting; end of the slot's lease while running.
    pub(super) deadline: Time,
    /// Time by which the ingress must repeat the request after a broken link.
    pub(super) confirm_by: Option<Time>,
    pub(super) state: State,
}
