//! Errors of reading a list.

use crate::unit::Span;

/// Error of a call that reads a list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The connection could not be made, or it broke.
    #[error("cannot reach {place}: {cause}")]
    Unreachable {
        /// Address and call.
        place: Box<str>,
        /// Cause of the failure.
        cause: Box<str>,
    },
    /// No answer arrived in time.
    #[error("no answer from {place} within {limit}")]
    Timeout {
        /// Address and call.
        place: Box<str>,
        /// Time limit.
        limit: Span,
    },
    /// The answer had an unexpected status.
    #[error("{place} answered with HTTP status {status}")]
    Refused {
        /// Address and call.
        place: Box<str>,
        /// HTTP status.
        status: u16,
    },
    /// The requested changes are no longer kept.
    #[error("{place} no longer keeps the requested changes")]
    Forgotten {
        /// Address and call.
        place: Box<str>,
    },
    /// The answer is invalid.
    #[error("invalid answer from {place}: {cause}")]
    Malformed {
        /// Address and call.
        place: Box<str>,
        /// What is wrong.
        cause: Box<str>,
    },
}
