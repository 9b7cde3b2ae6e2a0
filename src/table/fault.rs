//! Errors of calls to the platform.

use crate::unit::Span;

/// Error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// No usable response arrived; a write may have taken effect.
    #[error("platform {call}: no response, the call may have taken effect: {cause}")]
    Lost {
        /// Call that was made.
        call: Box<str>,
        /// What the transport said.
        cause: Box<str>,
    },
    /// The platform could not be reached; the call certainly had no effect.
    #[error("platform {call}: cannot be reached: {cause}")]
    Unreachable {
        /// Call that was made.
        call: Box<str>,
        /// What the transport said.
        cause: Box<str>,
    },
    /// A rate limit rejected the call; it had no effect.
    #[error("platform {call}: rate limited, retry after {retry_after}")]
    Limited {
        /// Call that was made.
        call: Box<str>,
        /// Time after which to retry.
        retry_after: Span,
    },
    /// The platform rejected the call as invalid; it had no effect.
    #[error("platform {call}: rejected with status {status}: {detail}")]
    Refused {
        /// Call that was made.
        call: Box<str>,
        /// HTTP status.
        status: u16,
        /// Body of the error response.
        detail: Box<str>,
    },
}
