//! What membership wants done.

use crate::{id, wire::Heartbeat};
use std::net::SocketAddr;

/// What membership wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat.
    Datagram {
        /// Peer interface of the receiver.
        to: SocketAddr,
        /// Heartbeat.
        heartbeat: Box<Heartbeat>,
    },
    /// A run of a router is alive.
    Up {
        /// Router.
        router: id::Router,
        /// Run that is alive.
        incarnation: id::Incarnation,
    },
    /// A run of a router is dead or out of reach.
    Down {
        /// Router.
        router: id::Router,
        /// Run that is gone.
        incarnation: id::Incarnation,
    },
    /// Members, their leaving flags or their addresses changed: owners must be found anew.
    Changed,
}
