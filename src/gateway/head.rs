//! Parsed headers of a caller's request.

use crate::{dispatch::Prompt, unit::Span};

/// Values parsed from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Request ID chosen by the caller; empty if it sent none.
    pub request_id: Box<str>,
    /// Time for which the caller waits.
    pub timeout: Option<Span>,
    /// API key of the caller.
    pub api_key: Option<Box<str>>,
    /// Token counts and prompt parts of a generation request.
    pub prompt: Option<Prompt>,
    /// ID of the last event that the caller received of an earlier response.
    pub last_event_id: Option<Box<str>>,
    /// ID of the request whose response brought the first event of the stream that the caller resumes.
    pub origin: Option<Box<str>>,
}
