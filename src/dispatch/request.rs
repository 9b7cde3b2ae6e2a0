//! A request as the dispatcher sees it.

use super::Prompt;
use crate::{id, routing::Kind, unit::Time};

/// A request as the dispatcher sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Number that the router gave it.
    pub number: u64,
    /// Workspace; `None` on public routes.
    pub workspace: Option<id::Workspace>,
    /// Service.
    pub service: id::Service,
    /// How often it may run.
    pub kind: Kind,
    /// Rank; 0 goes first.
    pub rank: u32,
    /// Time at which it arrived.
    pub arrived: Time,
    /// Time until which its answer, or the first event of it, is on time.
    pub due: Time,
    /// Time until which it must have its final answer.
    pub deadline: Time,
    /// Targets that it may be sent to.
    pub attempts: u32,
    /// What it generates, if it goes to a model engine.
    pub prompt: Option<Prompt>,
}
