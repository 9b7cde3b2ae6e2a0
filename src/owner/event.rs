//! Inputs of the owner.

use crate::{
    config, id,
    unit::{Cost, Time},
    wire,
};
use std::sync::Arc;

/// What a peer last told about its targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Router.
    pub router: id::Router,
    /// Load of each target that it owns.
    pub loads: Vec<wire::Load>,
    /// Lowest level among its backlogged workspaces of each service.
    pub floors: Vec<(id::Service, u64)>,
}

/// Input of the owner.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Config(Arc<config::Fleet>),
    /// Targets that this router owns from now on.
    Owned(Vec<id::Target>),
    /// An ingress wants a slot.
    Ask {
        /// Ingress.
        from: id::Router,
        /// Request for the slot.
        ask: wire::Ask,
    },
    /// An ingress no longer wants a slot.
    Withdraw {
        /// Ingress.
        from: id::Router,
        /// Attempt that waited.
        attempt: id::Attempt,
    },
    /// An attempt already runs on a target; an earlier owner granted it.
    Held {
        /// Ingress.
        from: id::Router,
        /// Attempt as it was asked; its target is the one that it runs on.
        ask: wire::Ask,
        /// Cost so far.
        cost: Cost,
    },
    /// Cost of running attempts so far.
    Progress {
        /// Ingress.
        from: id::Router,
        /// Costs.
        costs: Vec<(id::Attempt, Cost)>,
    },
    /// An attempt ended.
    Done {
        /// Ingress.
        from: id::Router,
        /// Attempt that ended.
        attempt: id::Attempt,
        /// Target that it had.
        target: id::Target,
        /// Final cost.
        cost: Cost,
        /// How it ended.
        outcome: wire::Outcome,
    },
    /// Fleet-wide levels from a tally.
    Levels(Vec<wire::Level>),
    /// A target's own report of its load; it may lag.
    Load {
        /// Target.
        target: id::Target,
        /// Requests that it runs.
        running: u32,
        /// Requests that it keeps waiting inside.
        waiting: u32,
    },
    /// A target failed or leaves: no new work until the time, or until `Fit`.
    Unfit {
        /// Target.
        target: id::Target,
        /// End of the pause; `None` until `Fit`.
        until: Option<Time>,
    },
    /// A target takes work again.
    Fit {
        /// Target.
        target: id::Target,
    },
    /// Another owner has free slots and no work.
    Pull {
        /// Owner that asks.
        from: id::Router,
        /// Service whose work is wanted.
        service: id::Service,
        /// Target with the free slots.
        target: id::Target,
        /// Number of free slots.
        free: u32,
    },
    /// State of all live peers; replaces what was known.
    Peers(Vec<Peer>),
    /// A router died: what it asked for is void. `None` means all of its incarnations.
    RouterLost {
        /// Router.
        router: id::Router,
        /// Last incarnation that is lost.
        incarnation: Option<id::Incarnation>,
    },
    /// Messages of a router may be lost: what it does not repeat is void.
    Resync {
        /// Router.
        from: id::Router,
    },
    /// This router shuts down: waiting work is handed on and new work refused.
    Drain,
    /// Time passed; comes at least every 100 ms.
    Tick,
}
