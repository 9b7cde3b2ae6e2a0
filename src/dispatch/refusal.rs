//! Why a request is not sent to a target, or not once more.

use super::Standing;
use crate::unit::Span;
use std::fmt;

/// Why a request is not sent to a target, or not once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its workspace has had its share of the fleet, and no target has room to spare.
    Share,
    /// No target could begin it in time.
    Overload,
    /// Its service has no target that takes work.
    NoTarget,
    /// Its time was up before it was sent.
    Deadline,
    /// It was sent to as many targets as it may be.
    Attempts,
    /// The fleet's budget of repeats is spent.
    Budget,
}

/// Answer to a request that is not sent, or not once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Time after which a repeat may be served.
    pub retry_after: Span,
    /// A target may have run the request.
    pub ran: bool,
    /// Where its workspace stood.
    pub standing: Standing,
    /// Age of the oldest report of another router that counted.
    pub view_age: Span,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Share => "the workspace has had its share of the capacity",
            Reason::Overload => "no target can begin the request in time",
            Reason::NoTarget => "the service has no target that takes work",
            Reason::Deadline => "the deadline passed before a target was free",
            Reason::Attempts => "the request was sent to as many targets as it may be",
            Reason::Budget => "the budget of repeats is spent",
        })
    }
}
