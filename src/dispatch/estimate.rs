//! Estimate of how a target would serve a request.

use super::{Request, Source, View};
use crate::{id, unit::Span};

/// Estimate of how a target would serve a request, as far as this router knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Target.
    pub target: id::Target,
    /// Software version of the target.
    pub build: id::Build,
    /// Load of the target that the estimate is based on.
    pub view: View,
    /// Age of the oldest report of another router in that load.
    pub view_age: Span,
    /// Prompt tokens that the target has to process because they are neither cached nor copied.
    pub uncached_tokens: u64,
    /// Tokens of the shared parts that the target is expected to copy from another engine instead.
    pub copied_tokens: u64,
    /// Time until the target begins to process the prompt; for a plain service, until it begins the
    /// request.
    pub wait: Span,
    /// Time until the first event, or the response of a plain service.
    pub first_event: Span,
    /// Engine from which the target copies what it lacks of the prompt; `None` if it copies nothing.
    pub source: Option<Source>,
    /// Score in microseconds of engine time; the target with the lowest score is chosen.
    pub(super) score: u64,
}

impl Estimate {
    /// Returns the time until the part of the run whose duration doesn't depend on the target's load: until the
    /// first event of a generation, or until a plain service begins the request.
    pub(super) fn lead(&self, request: &Request) -> Span {
        match request.prompt {
            Some(_) => self.first_event,
            None => self.wait,
        }
    }
}
