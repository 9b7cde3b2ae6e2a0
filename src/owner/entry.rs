//! A request that an owner knows.

use crate::{
    id,
    unit::{Cost, Time},
    wire,
};

/// Place of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// In the queue.
    Waiting,
    /// On a target.
    Running {
        /// Target.
        target: id::Target,
        /// Cost charged to the workspace so far, with `base`.
        charged: Cost,
        /// Cost so far, as the ingress told it.
        progress: Cost,
        /// Cost that an earlier owner charged.
        base: Cost,
        /// Time of the grant.
        since: Time,
    },
}

/// A request that an owner knows.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// Ingress that holds the caller's connection.
    pub(super) from: id::Router,
    /// Request as it was asked.
    pub(super) ask: wire::Ask,
    /// Size class by the corrected estimate.
    pub(super) class: wire::Class,
    /// Corrected estimate.
    pub(super) estimate: Cost,
    /// Arrival in the fleet by the local clock; orders the requests of a workspace.
    pub(super) arrived: Time,
    /// End of the wait, or of the slot's lease when it runs.
    pub(super) deadline: Time,
    /// Time until which the ingress must have repeated the request, after a broken link.
    pub(super) confirm: Option<Time>,
    /// Place.
    pub(super) state: State,
}
