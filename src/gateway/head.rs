//! Parsed headers of a client request.

use crate::{dispatch::Prompt, unit::Span};

/// Values parsed from the headers of a client request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Request ID chosen by the client; empty if it sent none.
    pub request_id: Box<str>,
    /// Time for which the client waits.
    pub timeout: Option<Span>,
    /// API key of the client.
    pub api_key: Option<Box<str>>,
    /// Token counts and prompt parts of a generation request.
    pub prompt: Option<Prompt>,
    /// ID of the last event that the client received of an earlier response.
    pub last_event_id: Option<Box<str>>,
}
