//! Errors of reading a list.

use crate::unit::{Era, Span};

/// Error of a call that reads a list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The connection could not be made, or it broke.
    #[error("cannot reach {endpoint}: {cause}")]
    Unreachable {
        /// Address and call that failed.
        endpoint: Box<str>,
        /// Cause of the failure.
        cause: Box<str>,
    },
    /// No answer arrived in time.
    #[error("no answer from {endpoint} within {limit}")]
    Timeout {
        /// Address and call that failed.
        endpoint: Box<str>,
        /// Time limit.
        limit: Span,
    },
    /// The answer had an unexpected status.
    #[error("{endpoint} answered with HTTP status {status}")]
    Refused {
        /// Address and call that failed.
        endpoint: Box<str>,
        /// HTTP status.
        status: u16,
    },
    /// The requested changes are no longer kept.
    #[error("{endpoint} no longer keeps the requested changes")]
    Compacted {
        /// Address and call that failed.
        endpoint: Box<str>,
    },
    /// The answer is of an earlier era than is known.
    #[error("{endpoint} answered for era {era}, but era {newest} is known")]
    Outdated {
        /// Address and call that failed.
        endpoint: Box<str>,
        /// Era of the answer.
        era: Era,
        /// Newest known era.
        newest: Era,
    },
    /// The answer is invalid.
    #[error("invalid answer from {endpoint}: {cause}")]
    Malformed {
        /// Address and call that failed.
        endpoint: Box<str>,
        /// What is wrong.
        cause: Box<str>,
    },
}
