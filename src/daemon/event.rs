//! Inputs of the control thread.

use crate::{beacon, claim, config, front, link, probe, table};

/// Input of the control thread.
#[derive(Debug)]
pub(super) enum Event {
    /// Something happened to a request.
    Front(front::Event),
    /// A peer sent messages, or a link broke.
    Link(link::Event),
    /// A heartbeat arrived.
    Heartbeat(beacon::Arrival),
    /// A probe found something.
    Probe(probe::Event),
    /// The platform's table answered a claim.
    Claim(claim::Event),
    /// A read of the platform's configuration ended.
    Changes(Result<Option<config::Update>, table::Fault>),
    /// The platform listed its VMs.
    Listed(Vec<table::Vm>),
    /// The router has to shut down.
    Drain,
    /// The thread has to end; everything has been drained.
    Stop,
}

impl From<link::Event> for Event {
    fn from(event: link::Event) -> Self {
        Self::Link(event)
    }
}

impl From<beacon::Arrival> for Event {
    fn from(arrival: beacon::Arrival) -> Self {
        Self::Heartbeat(arrival)
    }
}

impl From<front::Event> for Event {
    fn from(event: front::Event) -> Self {
        Self::Front(event)
    }
}

impl From<probe::Event> for Event {
    fn from(event: probe::Event) -> Self {
        Self::Probe(event)
    }
}

impl From<claim::Event> for Event {
    fn from(event: claim::Event) -> Self {
        Self::Claim(event)
    }
}
