//! Datagrams by which routers tell each other that they are alive.

use crate::{
    id,
    unit::{Cost, Version},
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

/// State that a router tells its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Sender.
    pub router: id::Router,
    /// Run of the sender.
    pub incarnation: id::Incarnation,
    /// Number of the heartbeat within that run; larger is later.
    pub sequence: u64,
    /// Failure domain of the sender.
    pub domain: id::Domain,
    /// Address of the sender's peer interface (TCP and UDP).
    pub address: SocketAddr,
    /// The sender is shutting down and takes no new work.
    pub leaving: bool,
    /// Configuration in force at the sender.
    pub version: Version,
    /// Load of each target that the sender owns.
    pub loads: Vec<Load>,
    /// Lowest level among the sender's backlogged workspaces of each service.
    pub floors: Vec<(id::Service, u64)>,
    /// Routers that the sender no longer hears although it should.
    pub suspects: Vec<(id::Router, id::Incarnation)>,
    /// Targets that the sender has seen leave or fail.
    pub unfit: Vec<id::Target>,
}
