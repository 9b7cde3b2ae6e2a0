//! What membership is told.

use crate::{
    id, table,
    unit::Version,
    wire::{Heartbeat, Load},
};
use std::net::SocketAddr;

/// State of this router that its peers should know.
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
    /// Targets that this router has seen leave or fail.
    pub unfit: Vec<id::Target>,
}

/// What membership is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The platform's list of VMs; it may lag, and may be missing for long.
    Candidates(Vec<table::Vm>),
    /// Addresses to try besides those that the platform lists.
    Seeds(Vec<SocketAddr>),
    /// A heartbeat arrived.
    Heartbeat(Box<Heartbeat>),
    /// The link to a router broke.
    Unreachable(id::Router),
    /// The state to tell peers changed.
    Local(Local),
    /// Time has passed; sent every [`TICK`](super::TICK).
    Tick,
}
