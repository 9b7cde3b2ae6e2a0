//! Inputs of the membership state machine.

use crate::{
    id, table,
    unit::Version,
    wire::{Heartbeat, Load},
};
use std::net::SocketAddr;

/// State of this router that is sent to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Local {
    /// This router is shutting down.
    pub leaving: bool,
    /// Configuration in force here.
    pub version: Version,
    /// Load of each target that this router owns.
    pub loads: Vec<Load>,
    /// Lowest level among the backlogged workspaces of each service.
    pub floors: Vec<(id::Service, u64)>,
    /// Targets that this router has observed to leave or fail.
    pub unfit: Vec<id::Target>,
}

/// Input of [`Membership::step`](super::Membership::step).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The platform's list of VMs; it may lag, or be unavailable for a long time.
    Listed(Vec<table::Vm>),
    /// Addresses to contact in addition to those that the platform lists.
    Seeds(Vec<SocketAddr>),
    /// A heartbeat arrived.
    Heartbeat(Box<Heartbeat>),
    /// The link to a router broke.
    Unreachable(id::Router),
    /// The state sent to peers changed.
    Local(Local),
    /// Timer; sent every [`TICK`](super::TICK).
    Tick,
}
