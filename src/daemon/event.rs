//! Inputs of the control thread.

use crate::{beacon, front, link, probe, unit::Time};

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
    /// The router has to shut down.
    Drain,
    /// The thread has to end; everything has been drained.
    Stop,
}

/// An input with the time at which it was queued.
#[derive(Debug)]
pub(super) struct Input {
    pub(super) at: Time,
    pub(super) event: Event,
}

impl Input {
    pub(super) fn now(event: Event) -> Self {
        Self {
            at: crate::clock::now(),
            event,
        }
    }
}

impl From<link::Event> for Input {
    fn from(event: link::Event) -> Self {
        Self::now(Event::Link(event))
    }
}

impl From<beacon::Arrival> for Input {
    fn from(arrival: beacon::Arrival) -> Self {
        Self::now(Event::Heartbeat(arrival))
    }
}

impl From<front::Event> for Input {
    fn from(event: front::Event) -> Self {
        Self::now(Event::Front(event))
    }
}

impl From<probe::Event> for Input {
    fn from(event: probe::Event) -> Self {
        Self::now(Event::Probe(event))
    }
}
