//! How a request ended.

use crate::unit::Span;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer to this request came.
    Answered,
    /// The request was refused and not run; with the time after which to come back, if given.
    Refused(Option<Span>),
    /// Whether the request ran is not known, and the answer says so.
    Unknown,
    /// The connection or the answer broke off visibly.
    Broken,
    /// The connection could not be opened.
    Unreachable,
    /// An answer that seemed whole was not, or was another request's.
    Wrong(Box<str>),
    /// The request was refused as wrong in itself.
    Rejected(u16),
    /// The run ended first.
    Unfinished,
}
