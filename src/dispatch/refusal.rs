//! Refusal of a request that is not sent, or not retried.

use super::Allocation;
use crate::unit::Span;
use std::fmt;

/// Reason why a request is not sent to a target, or not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The workspace has used its share of the fleet's capacity, and no target has spare capacity.
    Share,
    /// No target could start the request in time.
    Overload,
    /// The service has no target that accepts requests.
    NoTarget,
    /// No target of the build that began the stream accepts requests.
    NoBuild,
    /// The targets that could take the request are in failure domains that are evacuated.
    Evacuated,
    /// No target in a region that the request is restricted to accepts requests.
    Region,
    /// The caller resumes a stream that began at a build that no router has reported.
    Origin,
    /// All targets that could take the request asked for a pause that ends too late for it.
    Pause,
    /// All targets that could take the request are at their limits, and so will be until it is late.
    Limit,
    /// A part of the prompt has crashed several targets.
    Hazard,
    /// The router shuts down, and the request may take longer than it has left.
    Shutdown,
    /// The deadline passed before the request was sent.
    Deadline,
    /// The request has reached its limit of attempts, or must not run twice.
    Attempts,
    /// The retry budget of the service is exhausted.
    Budget,
}

/// Response to a request that is not sent, or not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// Time after which a retry may be served.
    pub retry_after: Span,
    /// A target may have run the request.
    pub may_have_run: bool,
    /// Share and usage of the workspace.
    pub allocation: Allocation,
    /// Age of the oldest report of another router that was taken into account.
    pub view_age: Span,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Share => "the workspace has used its share of the capacity",
            Reason::Overload => "no target can start the request in time",
            Reason::NoTarget => "the service has no target that accepts requests",
            Reason::NoBuild => "no target of the build that began the stream accepts requests",
            Reason::Evacuated => "the failure domains of the targets are evacuated",
            Reason::Region => "no target in an allowed region accepts requests",
            Reason::Origin => "the build that began the stream is unknown",
            Reason::Pause => "the targets asked for a pause that ends too late for the request",
            Reason::Limit => "the targets are at the limits that they named",
            Reason::Hazard => "a part of the prompt has crashed several targets",
            Reason::Shutdown => "the router shuts down before the request may have ended",
            Reason::Deadline => "the deadline passed before a target was available",
            Reason::Attempts => "the request has no attempts left",
            Reason::Budget => "the retry budget is exhausted",
        })
    }
}
