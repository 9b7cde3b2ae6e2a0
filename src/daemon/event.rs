//! Events that the control thread handles.

use crate::{beacon, claim, config, front, link, probe, table};

/// Event that the control thread handles.
#[derive(Debug)]
pub(super) enum Event {
    /// Event of a client request.
    Front(front::Event),
    /// A peer sent a message, or the link to it broke.
    Link(link::Event),
    /// A heartbeat arrived.
    Heartbeat(beacon::Arrival),
    /// Result of a probe of a target.
    Probe(probe::Event),
    /// The platform's table responded to a call of the claim registry.
    Claim(claim::Event),
    /// Result of reading configuration changes from the platform.
    Changes(Result<Option<config::Update>, table::Fault>),
    /// New list of VMs from the platform.
    Listed(Vec<table::Vm>),
    /// Rows of the platform's table by which failure domains are evacuated.
    Evacuations(Vec<table::Row>),
    /// Start a graceful shutdown.
    Drain,
    /// End the thread once the outcomes of claims are recorded; sent after the drain.
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
