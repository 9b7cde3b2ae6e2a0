//! Inputs of the dispatcher.

use super::{End, Request};
use crate::{catalog, gossip, id, routing};
use std::{collections::BTreeMap, sync::Arc};

/// Input of the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrived(Request),
    /// The first event of a request's answer, or its head, came.
    Begun {
        /// Request.
        number: u64,
    },
    /// A request's run ended at its target.
    Ended {
        /// Request.
        number: u64,
        /// How.
        end: End,
        /// The caller can still be given the answer of another target.
        again: bool,
    },
    /// A request needs no decision any more.
    Gone {
        /// Request.
        number: u64,
    },
    /// The live targets changed.
    Targets(BTreeMap<id::Target, catalog::Target>),
    /// A configuration came into force.
    Routing(Arc<routing::Table>),
    /// Another router told its load.
    Summary(gossip::Summary),
    /// Requests were refused before they were read.
    Unread {
        /// How many.
        count: u64,
    },
    /// The known routers changed.
    Roster {
        /// Routers that this one may follow, best first; none if it leads.
        candidates: Vec<id::Router>,
        /// Other routers that lead.
        leaders: Vec<id::Router>,
    },
    /// Time has passed.
    Tick,
}
