//! A request as the dispatcher sees it.

use super::Prompt;
use crate::{
    id,
    routing::Kind,
    unit::{Span, Time},
};

/// Percentage of the time for which a caller waits without a byte, after which its target counts as
/// silent. Healthy targets may pause for about a second, and another target needs the rest for its
/// first event.
const SILENCE_PERCENT: u64 = 75;

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

impl Request {
    /// Returns the silence of a target after which another one is tried.
    pub fn silence_timeout(&self) -> Span {
        let patience = match self.kind {
            Kind::Stream { patience, .. } => patience,
            Kind::Once | Kind::Idempotent => self.deadline.since(self.arrived),
        };
        Span(patience.0 * SILENCE_PERCENT / 100)
    }
}
