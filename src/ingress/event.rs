//! Input events of a controller.

use super::{Request, Resume};
use crate::{claim, id, unit::Cost, wire};

/// Input event of a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The HTTP front end accepted a request.
    Request(Request),
    /// The caller disconnected.
    Cancelled {
        /// Number of the request.
        request: u64,
    },
    /// An owner granted a slot.
    Granted {
        /// Owner.
        from: id::Router,
        /// Attempt that may run.
        attempt: id::Attempt,
        /// Target that was granted.
        target: id::Target,
    },
    /// An owner refused an attempt.
    Refused {
        /// Owner.
        from: id::Router,
        /// Attempt that was refused.
        attempt: id::Attempt,
        /// Reason and retry delay.
        refusal: wire::Refusal,
    },
    /// An owner redirects a waiting attempt to another target.
    Moved {
        /// Owner that redirects; it has dropped the attempt.
        from: id::Router,
        /// Attempt.
        attempt: id::Attempt,
        /// Target whose owner to request a slot from.
        target: id::Target,
    },
    /// A claim was decided.
    Claimed {
        /// Identifier of the claim.
        attempt: id::Attempt,
        /// Decision.
        verdict: claim::Verdict,
    },
    /// The first byte of an attempt may have been sent.
    Sent {
        /// Attempt.
        attempt: id::Attempt,
    },
    /// Running cost of an attempt.
    Progress {
        /// Attempt.
        attempt: id::Attempt,
        /// Cost so far.
        cost: Cost,
    },
    /// An attempt ended; `Sent` precedes this event if any byte may have been sent.
    Ended {
        /// Attempt.
        attempt: id::Attempt,
        /// Final cost.
        cost: Cost,
        /// How it ended. `Cancelled` without an abort means that the HTTP front end sent nothing
        /// because `not_after` of `Action::Start` had passed.
        outcome: wire::Outcome,
        /// Position from which another target can resume the response.
        resume: Resume,
        /// Complete response, if it is small enough to be stored with the claim.
        answer: Option<Box<str>>,
    },
    /// The owners of targets or the eligible targets changed.
    Placement,
    /// A router failed or left the fleet.
    RouterLost {
        /// Router.
        router: id::Router,
    },
    /// The link to a peer broke or was re-established; messages to the peer may have been lost.
    Resync {
        /// Peer.
        from: id::Router,
    },
    /// This process was suspended for so long that its grants may have expired.
    Paused,
    /// This router is shutting down and accepts no new requests.
    Drain,
    /// Periodic timer.
    Tick,
}
