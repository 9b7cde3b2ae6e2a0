//! Actions requested by the membership state machine.

use crate::{id, wire::Heartbeat};
use std::net::SocketAddr;

/// Action that the caller of [`Membership::step`](super::Membership::step) carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat.
    Datagram {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// Contents of the datagram.
        heartbeat: Box<Heartbeat>,
    },
    /// An incarnation of a router is up: heartbeats pass in both directions.
    Up {
        /// Router.
        router: id::Router,
        /// Incarnation that is up.
        incarnation: id::Incarnation,
    },
    /// An incarnation of a router is dead, unreachable or replaced by a later one.
    Down {
        /// Router.
        router: id::Router,
        /// Incarnation that is down.
        incarnation: id::Incarnation,
    },
    /// Members, their leaving flags or their addresses changed; ownership must be recomputed.
    Changed,
}
