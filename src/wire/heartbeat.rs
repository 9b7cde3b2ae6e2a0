//! Heartbeats: datagrams for failure detection, which also carry the load of targets.

use crate::{
    id,
    unit::{Cost, Span, Version},
};
use std::net::SocketAddr;

/// Load of a target, as its owner advertises it to all routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Target.
    pub target: id::Target,
    /// Number of free slots.
    pub free: u32,
    /// Total number of slots.
    pub slots: u32,
    /// Estimated cost of the requests queued for the target.
    pub waiting: Cost,
}

/// Location of a router; constant within an incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Failure domain.
    pub domain: id::Domain,
    /// Address of the peer interface (TCP and UDP).
    pub address: SocketAddr,
}

/// State that an owner advertises.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Load of each target that the owner owns.
    pub loads: Vec<Load>,
    /// Lowest level among the owner's backlogged workspaces, by service.
    pub floors: Vec<(id::Service, u64)>,
    /// Targets that the owner has observed to leave or fail.
    pub unfit: Vec<id::Target>,
}

/// Incarnation of a router and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Router.
    pub router: id::Router,
    /// Incarnation.
    pub incarnation: id::Incarnation,
    /// Address of its peer interface.
    pub address: SocketAddr,
}

/// Acknowledges the last heartbeat received from the addressee; zero if there was none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Echo(pub u64);

impl Echo {
    /// Number of low bits of an echo that hold the low bits of the incarnation, which are random.
    const RUN_BITS: u32 = 16;

    /// Returns the echo that acknowledges a heartbeat.
    pub fn of(incarnation: id::Incarnation, sequence: u64) -> Self {
        let run = incarnation.0 & ((1 << Self::RUN_BITS) - 1);
        Self(sequence << Self::RUN_BITS | run)
    }

    /// Returns the sequence number of the acknowledged heartbeat, if `incarnation` sent it.
    pub fn sequence_of(self, incarnation: id::Incarnation) -> Option<u64> {
        let sequence = self.0 >> Self::RUN_BITS;
        (sequence > 0 && self == Self::of(incarnation, sequence)).then_some(sequence)
    }
}

/// Heartbeat of a router to one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Sender.
    pub router: id::Router,
    /// Incarnation of the sender.
    pub incarnation: id::Incarnation,
    /// Sequence number within that incarnation, larger is later: the sender's clock in
    /// microseconds.
    pub sequence: u64,
    /// Last heartbeat that the sender received from the receiver.
    pub heard: Echo,
    /// Time until the sender's next heartbeat to the receiver.
    pub next: Span,
    /// Requests an immediate heartbeat in reply.
    pub ask: bool,
    /// The sender is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Version of the configuration in force at the sender.
    pub version: Version,
    /// Location of the sender; omitted if the receiver knows it.
    pub origin: Option<Origin>,
    /// Advertised state of the sender; omitted if the receiver has its latest version.
    pub state: Option<State>,
    /// Routers that the sender monitors and whose heartbeats have stopped.
    pub suspects: Vec<(id::Router, id::Incarnation)>,
    /// Some members that the sender knows, for a receiver that it has just discovered.
    pub members: Vec<Contact>,
}
