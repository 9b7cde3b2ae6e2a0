//! Why a list was not read.

use crate::unit::Span;

/// Why a list was not read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// No connection, or it broke.
    #[error("cannot reach {place}: {cause}")]
    Unreachable {
        /// Address and call.
        place: Box<str>,
        /// What the system said.
        cause: Box<str>,
    },
    /// No answer came in time.
    #[error("no answer of {place} within {limit}")]
    Timeout {
        /// Address and call.
        place: Box<str>,
        /// Time limit.
        limit: Span,
    },
    /// The answer was a refusal.
    #[error("{place} answered {status}")]
    Refused {
        /// Address and call.
        place: Box<str>,
        /// HTTP status.
        status: u16,
    },
    /// The changes that were asked for are not kept any more.
    #[error("{place} no longer keeps the changes asked for")]
    Forgotten {
        /// Address and call.
        place: Box<str>,
    },
    /// The answer cannot be read.
    #[error("{place} gave an unreadable answer: {cause}")]
    Malformed {
        /// Address and call.
        place: Box<str>,
        /// What is wrong.
        cause: Box<str>,
    },
}
