//! A request as the dispatcher sees it.

use super::Prompt;
use crate::{
    id,
    routing::Kind,
    unit::{Span, Time},
};
use std::sync::Arc;

/// Longest silence of a target after which another one is tried. Healthy targets may be silent for
/// about a second, and callers of streams disconnect after about two.
const MAX_SILENCE: Span = Span::from_millis(1_500);
/// The same as a percentage of the time to the deadline; another target needs the rest.
const SILENCE_PERCENT: u64 = 75;

/// Returns the silence of a target after which another one is tried for a request with that much
/// time left.
pub fn silence_timeout(remaining: Span) -> Span {
    MAX_SILENCE.min(Span(remaining.0 * SILENCE_PERCENT / 100))
}

/// What a caller says of the stream that it resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resumption {
    /// Stream; `None` if the caller doesn't name it.
    pub stream: Option<id::Stream>,
    /// Whether the caller has events of it, after which the stream goes on.
    pub has_events: bool,
}

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
    /// Identifies the stream that the request begins; `None` if callers can't resume it.
    pub stream: Option<id::Stream>,
    /// The caller resumes a stream.
    pub resumption: Option<Resumption>,
    /// Build that must run the request, if its stream has begun; the events of two builds don't fit
    /// together.
    pub build: Option<id::Build>,
    /// Regions whose targets may run the request; `None` if all may.
    pub regions: Option<Arc<[id::Region]>>,
}
