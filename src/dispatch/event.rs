//! Inputs of the dispatcher.

use super::{History, Outcome, Request};
use crate::{
    catalog, gossip, id, routing,
    unit::{Rate, Span, Time},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Input of the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrived(Request),
    /// The first event of a streamed response, or a plain response, arrived.
    ResponseStarted {
        /// Request.
        number: u64,
    },
    /// The caller gets the first event of a stream.
    StreamBegun {
        /// Request.
        number: u64,
        /// Build of the target that wrote the event.
        build: id::Build,
    },
    /// A streamed response that had started is silent for too long.
    Stalled {
        /// Request.
        number: u64,
    },
    /// A request that was moved has not left its former target, and goes on there.
    Returned {
        /// Request.
        number: u64,
        /// Outcome of the attempt at the new target.
        outcome: Outcome,
    },
    /// An attempt ended.
    Ended {
        /// Request.
        number: u64,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Another target can still answer the request, or resume its stream.
        can_retry: bool,
    },
    /// The response to a request says that its target leaves.
    Leaving {
        /// Request.
        number: u64,
        /// Run of the target that the request was sent to.
        run: catalog::Run,
    },
    /// A target refused a request and wants no further ones for a time.
    Paused {
        /// Request.
        number: u64,
        /// Run of the target that the request was sent to.
        run: catalog::Run,
        /// Duration that the target asked for.
        asked: Span,
    },
    /// A target's response to a request arrived, which says how many requests it takes.
    LimitRead {
        /// Request.
        number: u64,
        /// Run of the target that the request was sent to.
        run: catalog::Run,
        /// Time at which the request was sent.
        sent: Time,
        /// Requests that the target takes of all routers together; `None` if it named no limit.
        limit: Option<Rate>,
    },
    /// A request was closed and needs no further decision; an attempt in flight counts as
    /// cancelled.
    Closed {
        /// Request.
        number: u64,
    },
    /// The live targets changed.
    Targets(BTreeMap<id::Target, catalog::Target>),
    /// The list of targets was read or confirmed.
    TargetsConfirmed {
        /// Time since the platform sent it.
        age: Span,
    },
    /// The platform was asked for the list of targets at a time; all changes made before that have been applied.
    TargetsChecked {
        /// Time at which it was asked.
        asked: Time,
    },
    /// A new configuration is in force.
    Routing(Arc<routing::Table>),
    /// These failure domains, and no others, are evacuated from now on.
    Evacuated(BTreeSet<id::Domain>),
    /// Another router sent a summary of its load.
    Summary(gossip::Summary),
    /// Requests were shed before they were parsed.
    Shed {
        /// Number of requests.
        count: u64,
    },
    /// A generation was refused because the router had reached its limit of requests.
    Busy {
        /// Workspace of the caller.
        workspace: id::Workspace,
        /// Tokens charged for the generation.
        tokens: u64,
    },
    /// A health probe of a target ended.
    Probed {
        /// Run of the target that was probed.
        run: catalog::Run,
        /// Time at which the probe was sent.
        sent: Time,
        /// The target responded.
        reached: bool,
        /// Time for which it stays cold, if the response says so.
        left: Option<Span>,
    },
    /// The list of routers changed; it may contain this one.
    Listed(Vec<id::Router>),
    /// The known routers changed.
    Roster {
        /// Routers that this one may follow, in order of preference; none if it leads.
        candidates: Vec<id::Router>,
        /// Other leading routers.
        leaders: Vec<id::Router>,
        /// Other routers of the same failure domain.
        neighbors: Vec<id::Router>,
        /// Number of all other routers.
        others: usize,
    },
    /// What routers remembered before this one started was read.
    Recalled(Vec<History>),
    /// The router shuts down.
    ShuttingDown {
        /// Time at which requests that are still in progress are cut.
        at: Time,
    },
    /// Time has passed.
    Tick,
}
