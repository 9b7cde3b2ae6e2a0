//! Actions that a controller asks for.

use super::Rejection;
use crate::{claim, id, unit::Time, wire};

/// Action that a controller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a router.
    Send(wire::Envelope),
    /// Claim an operation; `Event::Claimed` follows.
    Claim {
        /// Attempt that claims, for this and later attempts of its request.
        attempt: id::Attempt,
        /// Workspace of the key.
        workspace: id::Workspace,
        /// Service of the key.
        service: id::Service,
        /// Key.
        key: claim::Key,
    },
    /// Tell how a granted claim ended.
    Settle {
        /// Attempt that claimed.
        attempt: id::Attempt,
        /// How it ended.
        end: claim::End,
    },
    /// Send the request to a target now; `Event::Ended` follows.
    Start {
        /// Number of the request.
        request: u64,
        /// Attempt.
        attempt: id::Attempt,
        /// Target.
        target: id::Target,
        /// Identifier of the last event that the caller got, if the answer is to be resumed.
        resume: Option<Box<str>>,
        /// The first byte must not leave later; the front checks just before it sends.
        not_after: Time,
        /// Deadline of the caller, to be told to the target.
        deadline: Time,
    },
    /// Break an attempt off; `Event::Ended` follows.
    Abort {
        /// Attempt.
        attempt: id::Attempt,
    },
    /// Give the caller this final answer; if an answer has begun, break it off visibly.
    Reject {
        /// Number of the request.
        request: u64,
        /// Answer.
        rejection: Rejection,
    },
}
