//! Datagrams by which routers tell each other that they are alive.

use crate::{
    id,
    unit::{Cost, Span, Version},
};
use std::net::SocketAddr;

/// Load of one target, as its owner tells everybody.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Target.
    pub target: id::Target,
    /// Free slots.
    pub free: u32,
    /// Slots in all.
    pub slots: u32,
    /// Estimated cost of the requests that wait for the target.
    pub waiting: Cost,
}

/// Where a router runs; the same for a whole run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Failure domain.
    pub domain: id::Domain,
    /// Address of the peer interface (TCP and UDP).
    pub address: SocketAddr,
}

/// What an owner tells of its targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Load of each target that the sender owns.
    pub loads: Vec<Load>,
    /// Lowest level among the sender's backlogged workspaces of each service.
    pub floors: Vec<(id::Service, u64)>,
    /// Targets that the sender has seen leave or fail.
    pub unfit: Vec<id::Target>,
}

/// A run of a router and where to reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Router.
    pub router: id::Router,
    /// Run.
    pub incarnation: id::Incarnation,
    /// Address of its peer interface.
    pub address: SocketAddr,
}

/// The last heartbeat that the sender heard from the receiver; zero if none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Echo(pub u64);

impl Echo {
    /// Low bits of an echo: the low bits of the incarnation, which are random.
    const RUN_BITS: u32 = 16;

    /// Returns the echo of a heartbeat.
    pub fn of(incarnation: id::Incarnation, sequence: u64) -> Self {
        let run = incarnation.0 & ((1 << Self::RUN_BITS) - 1);
        Self(sequence << Self::RUN_BITS | run)
    }

    /// Returns the sequence number of the heartbeat if that run sent it.
    pub fn sequence_of(self, incarnation: id::Incarnation) -> Option<u64> {
        let sequence = self.0 >> Self::RUN_BITS;
        (sequence > 0 && self == Self::of(incarnation, sequence)).then_some(sequence)
    }
}

/// State that a router tells one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Sender.
    pub router: id::Router,
    /// Run of the sender.
    pub incarnation: id::Incarnation,
    /// Number of the heartbeat within that run, larger is later: the sender's clock in microseconds.
    pub sequence: u64,
    /// Last heartbeat that the sender heard from the receiver.
    pub heard: Echo,
    /// Time until the sender's next heartbeat to the receiver.
    pub next: Span,
    /// The receiver is to answer at once.
    pub ask: bool,
    /// The sender is shutting down and takes no new work.
    pub leaving: bool,
    /// Configuration in force at the sender.
    pub version: Version,
    /// Where the sender runs; left out if the receiver knows it.
    pub origin: Option<Origin>,
    /// What the sender owns; left out if it is as the receiver knows it.
    pub state: Option<State>,
    /// Routers that the sender no longer hears although it should.
    pub suspects: Vec<(id::Router, id::Incarnation)>,
    /// Some members that the sender knows, for a receiver that is new to it.
    pub members: Vec<Contact>,
}
