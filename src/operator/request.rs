//! Requests that a router handles or handled recently.

use crate::{id, unit::Cost};
use std::fmt;

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It waits for a slot.
    Waiting,
    /// It runs on its target.
    Running,
    /// It was answered completely.
    Answered,
    /// It was refused and did not run.
    Refused,
    /// It ended and may have run.
    Unknown,
    /// The client disconnected.
    Cancelled,
}

/// A request that the answering router handles or handled recently.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Identifier that was returned to the client.
    pub id: Box<str>,
    /// Workspace.
    pub workspace: id::Workspace,
    /// Service.
    pub service: id::Service,
    /// State.
    pub phase: Phase,
    /// Target that runs or ran it, if any.
    pub target: Option<id::Target>,
    /// Number of times that it moved to another owner.
    pub hops: u8,
    /// Time since its arrival, in milliseconds.
    pub age_ms: u64,
    /// Cost so far.
    pub cost: Cost,
    /// Trace that its spans belong to.
    pub trace: Option<Box<str>>,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::Waiting => "waiting",
            Phase::Running => "running",
            Phase::Answered => "answered",
            Phase::Refused => "refused, not run",
            Phase::Unknown => "outcome unknown",
            Phase::Cancelled => "cancelled",
        })
    }
}
