//! Events that drive the scheduler of an owner.

use crate::{
    config, id,
    unit::{Cost, Time},
    wire,
};
use std::sync::Arc;

/// State that a peer last announced in its heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Peer.
    pub router: id::Router,
    /// Load of each target that the peer owns.
    pub loads: Vec<wire::Load>,
    /// Lowest level among the peer's backlogged workspaces, for each service.
    pub floors: Vec<(id::Service, u64)>,
}

/// Event that the scheduler handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new configuration is in force.
    Config(Arc<config::Fleet>),
    /// Targets that this router owns from now on; replaces the previous set.
    Owned(Vec<id::Target>),
    /// An ingress requests a slot for an attempt.
    Ask {
        /// Ingress.
        from: id::Router,
        /// Slot request.
        ask: wire::Ask,
    },
    /// An ingress cancels a slot request.
    Withdraw {
        /// Ingress.
        from: id::Router,
        /// Attempt whose request is cancelled.
        attempt: id::Attempt,
    },
    /// An attempt holds a slot of an owned target: a previous owner granted it, or the ingress
    /// repeats this after a broken link.
    Held {
        /// Ingress.
        from: id::Router,
        /// Original slot request, with the target that the attempt runs on.
        ask: wire::Ask,
        /// Cost so far.
        cost: Cost,
    },
    /// Cost so far of running attempts.
    Progress {
        /// Ingress.
        from: id::Router,
        /// Cost so far of each attempt.
        costs: Vec<(id::Attempt, Cost)>,
    },
    /// An attempt ended.
    Done {
        /// Ingress.
        from: id::Router,
        /// Attempt that ended.
        attempt: id::Attempt,
        /// Target that the attempt ran on.
        target: id::Target,
        /// Final cost.
        cost: Cost,
        /// Result of the attempt.
        outcome: wire::Outcome,
    },
    /// Fleet-wide levels of workspaces, from the router that aggregates their usage.
    Levels(Vec<wire::Level>),
    /// Load as the target itself reports it; may be out of date.
    Load {
        /// Target.
        target: id::Target,
        /// Number of requests that the target runs.
        running: u32,
        /// Number of requests in the target's internal queue.
        waiting: u32,
    },
    /// A target failed or shuts down: grant none of its slots until a time, or until `Resume`.
    Pause {
        /// Target.
        target: id::Target,
        /// End of the pause; `None` if only `Resume` ends it.
        until: Option<Time>,
    },
    /// A target accepts requests again.
    Resume {
        /// Target.
        target: id::Target,
    },
    /// Another owner asks for waiting requests.
    Pull {
        /// Owner that asks.
        from: id::Router,
        /// Service of the requests.
        service: id::Service,
        /// Target of the asking owner, to which the requests move.
        target: id::Target,
        /// Largest number of requests to move.
        free: u32,
    },
    /// State of all live peers; replaces the previous state.
    Peers(Vec<Peer>),
    /// A router died: drop its requests.
    RouterLost {
        /// Router.
        router: id::Router,
        /// Last incarnation that died; `None` for all of them.
        incarnation: Option<id::Incarnation>,
    },
    /// The link to a router broke and messages may be lost: drop requests that it does not repeat.
    Resync {
        /// Router.
        from: id::Router,
    },
    /// This router shuts down: move or refuse waiting requests and refuse new ones.
    Drain,
    /// Timer tick, at least every 100 ms.
    Tick,
}
