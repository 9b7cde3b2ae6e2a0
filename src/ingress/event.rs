//! Events that a controller is told.

use super::{Request, Resume};
use crate::{claim, id, unit::Cost, wire};

/// Event that a controller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The front took a request.
    Request(Request),
    /// The caller went away.
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
        /// Why, and when to come back.
        refusal: wire::Refusal,
    },
    /// An owner hands an attempt on.
    Moved {
        /// Owner that forgot the attempt.
        from: id::Router,
        /// Attempt.
        attempt: id::Attempt,
        /// Target to ask for.
        target: id::Target,
    },
    /// The claim of an attempt was answered.
    Claimed {
        /// Attempt that claimed.
        attempt: id::Attempt,
        /// Answer.
        verdict: claim::Verdict,
    },
    /// The first byte of an attempt may have left.
    Sent {
        /// Attempt.
        attempt: id::Attempt,
    },
    /// An attempt runs on.
    Progress {
        /// Attempt.
        attempt: id::Attempt,
        /// Cost so far.
        cost: Cost,
    },
    /// An attempt ended; `Sent` came before if a byte may have left.
    Ended {
        /// Attempt.
        attempt: id::Attempt,
        /// Final cost.
        cost: Cost,
        /// How it ended. `Cancelled` without an abort: the front let the start time pass.
        outcome: wire::Outcome,
        /// Where another target may go on.
        resume: Resume,
        /// Whole answer, if it is small enough to be stored with its claim.
        answer: Option<Box<str>>,
    },
    /// Owners or candidates changed.
    Placement,
    /// A router failed or left.
    RouterLost {
        /// Router.
        router: id::Router,
    },
    /// A link was made anew: what the peer was told may be lost.
    Resync {
        /// Peer.
        from: id::Router,
    },
    /// This process stood still for longer than a grant stays fresh.
    Paused,
    /// This router shuts down: no new requests.
    Drain,
    /// Time passes.
    Tick,
}
