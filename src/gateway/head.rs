//! What a request's headers say.

use crate::{dispatch::Prompt, unit::Span};

/// What a request's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Identifier that the caller gave the request.
    pub request: Box<str>,
    /// Time for which the caller waits.
    pub deadline: Option<Span>,
    /// Key of the caller.
    pub key: Option<Box<str>>,
    /// What is to be generated, if the request says so.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has of an earlier answer.
    pub last_event: Option<Box<str>>,
}
