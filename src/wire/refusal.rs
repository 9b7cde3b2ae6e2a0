//! Refusal of a request that was not run.

use crate::unit::Span;
use std::fmt;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The workspace has as many waiting requests as it may have.
    WorkspaceFull,
    /// The owner has as many waiting requests as it may have.
    QueueFull,
    /// The deadline would pass before a slot is free.
    Deadline,
    /// No target of the service is known to be up.
    NoTarget,
    /// The router is shutting down.
    Draining,
    /// The router asked does not own the target.
    NotOwner,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::WorkspaceFull => "the workspace has too many waiting requests",
            Reason::QueueFull => "the queue of the target is full",
            Reason::Deadline => "the deadline passes before a slot is free",
            Reason::NoTarget => "no target of the service is up",
            Reason::Draining => "the router is shutting down",
            Reason::NotOwner => "the router does not own the target",
        })
    }
}

/// A refusal with the time after which a repeat makes sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Time after which the caller may try again.
    pub retry_after: Span,
}
