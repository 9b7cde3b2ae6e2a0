//! Actions that a controller emits for its caller to carry out.

use super::Rejection;
use crate::{claim, id, unit::Time, wire};

/// Action that a controller emits for its caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a router.
    Send(wire::Envelope),
    /// Claim the idempotency key of a request; `Event::Claimed` follows.
    Claim {
        /// Identifier of the claim, from the same sequence as those of attempts. The claim covers
        /// every attempt of the request.
        attempt: id::Attempt,
        /// Workspace of the key.
        workspace: id::Workspace,
        /// Service of the key.
        service: id::Service,
        /// Idempotency key.
        key: claim::Key,
    },
    /// Record the outcome of the request that holds a claim.
    Settle {
        /// Identifier of the claim.
        attempt: id::Attempt,
        /// Outcome of the request.
        outcome: claim::Outcome,
    },
    /// Send the request to a target now; `Event::Ended` follows.
    Start {
        /// Number of the request.
        request: u64,
        /// Attempt.
        attempt: id::Attempt,
        /// Target.
        target: id::Target,
        /// Identifier of the last event that the caller received (`Last-Event-ID`), if the target
        /// is to resume the stream after it.
        resume: Option<Box<str>>,
        /// Latest time to send the first byte; the HTTP front end checks it just before it sends.
        not_after: Time,
        /// Deadline of the caller, passed on to the target.
        deadline: Time,
    },
    /// Abort an attempt; `Event::Ended` follows.
    Abort {
        /// Attempt.
        attempt: id::Attempt,
    },
    /// Send the caller this final response; if a response has begun, truncate it so that the caller
    /// sees an error.
    Reject {
        /// Number of the request.
        request: u64,
        /// Final response.
        rejection: Rejection,
    },
}
