//! What an answer's headers say.

use crate::unit::Span;

/// What an answer's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// Identifier of the request that it answers.
    pub request: Option<Box<str>>,
    /// It bears a target's signature.
    pub signed: bool,
    /// The target says that it did not run the request.
    pub not_run: bool,
    /// Time for which the target keeps the connection after the answer.
    pub keep: Option<Span>,
    /// The connection ends with the answer.
    pub closes: bool,
    /// The body is encoded, which no target does.
    pub encoded: bool,
}
