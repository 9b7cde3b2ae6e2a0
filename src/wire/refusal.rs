//! Refusal of a request that was not run.

use crate::unit::Span;
use std::fmt;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The workspace has reached its limit of waiting requests.
    WorkspaceFull,
    /// The owner has reached its limit of waiting requests.
    QueueFull,
    /// The deadline would pass before a slot becomes free.
    Deadline,
    /// No target of the service is known to be up.
    NoTarget,
    /// The router is shutting down.
    Draining,
    /// The router that was asked for a slot does not own the target.
    NotOwner,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::WorkspaceFull => "the workspace has too many waiting requests",
            Reason::QueueFull => "the queue of the owner is full",
            Reason::Deadline => "the deadline would pass before a slot becomes free",
            Reason::NoTarget => "no target of the service is up",
            Reason::Draining => "the router is shutting down",
            Reason::NotOwner => "the router does not own the target",
        })
    }
}

/// Refusal with a retry delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Delay after which the caller may retry.
    pub retry_after: Span,
}
