//! A request as the dispatcher sees it.

use super::Prompt;
use crate::{id, routing::Kind, unit::Time};

/// A request as the dispatcher sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Number that this router assigned to the request.
    pub number: u64,
    /// Workspace; `None` on public routes.
    pub workspace: Option<id::Workspace>,
    /// Service.
    pub service: id::Service,
    /// Whether it may run more than once.
    pub kind: Kind,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Time of arrival.
    pub arrived: Time,
    /// Latest time at which the response, or its first event if it is streamed, is on time.
    pub due: Time,
    /// Deadline of the complete response.
    pub deadline: Time,
    /// Maximum number of targets that it may be sent to.
    pub max_attempts: u32,
    /// Prompt, if the request goes to a model engine.
    pub prompt: Option<Prompt>,
}
