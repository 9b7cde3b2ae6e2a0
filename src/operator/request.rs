//! A request that a router carries or carried lately.

use crate::{id, unit::Cost};
use std::fmt;

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It waits for a slot.
    Waiting,
    /// It runs on its target.
    Running,
    /// It was answered whole.
    Answered,
    /// It was refused and did not run.
    Refused,
    /// It ended and may have run.
    Unknown,
    /// The caller went away.
    Cancelled,
}

/// A request that the answering router carries or carried lately.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Identifier that the caller was given.
    pub id: Box<str>,
    /// Workspace.
    pub workspace: id::Workspace,
    /// Service.
    pub service: id::Service,
    /// Where it is.
    pub phase: Phase,
    /// Target that it has or had.
    pub target: Option<id::Target>,
    /// Times that it changed its owner.
    pub hops: u8,
    /// Time since its arrival, in milliseconds.
    pub age_ms: u64,
    /// Cost so far.
    pub cost: Cost,
    /// Trace that its spans are in.
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
