//! Parsed headers of a client request.

use crate::{dispatch::Prompt, unit::Span};

/// Values parsed from the headers of a client request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Request ID chosen by the client; empty if it sent none.
    pub request: Box<str>,
    /// Time for which the client waits.
    pub deadline: Option<Span>,
    /// API key of the client.
    pub key: Option<Box<str>>,
    /// Token counts and prompt parts of a generation request.
    pub prompt: Option<Prompt>,
    /// ID of the last event that the client received of an earlier response.
    pub last_event: Option<Box<str>>,
}
