//! Failures of the platform.

use crate::unit::Span;

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// No answer came; a write may have taken effect.
    #[error("platform {call}: no answer, the call may have taken effect: {cause}")]
    Lost {
        /// Call that was made.
        call: Box<str>,
        /// What the transport said.
        cause: Box<str>,
    },
    /// The call certainly had no effect because the platform could not be reached.
    #[error("platform {call}: cannot be reached: {cause}")]
    Unreachable {
        /// Call that was made.
        call: Box<str>,
        /// What the transport said.
        cause: Box<str>,
    },
    /// The platform refused for now; the call had no effect.
    #[error("platform {call}: rate limited for {retry_after}")]
    Limited {
        /// Call that was made.
        call: Box<str>,
        /// Time after which to try again.
        retry_after: Span,
    },
    /// The platform refused the call as wrong; it had no effect.
    #[error("platform {call}: refused with status {status}: {detail}")]
    Refused {
        /// Call that was made.
        call: Box<str>,
        /// HTTP status.
        status: u16,
        /// What the platform said.
        detail: Box<str>,
    },
}
