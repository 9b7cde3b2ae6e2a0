//! Input events of a registry.

use super::{Key, Outcome};
use crate::{
    id,
    table::{Fault, Row, Verdict},
};

/// Input event of a registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request of this router claims its idempotency key.
    Claim {
        /// Identifier of the claim.
        attempt: id::Attempt,
        /// Workspace of the key.
        workspace: id::Workspace,
        /// Service of the key.
        service: id::Service,
        /// Key.
        key: Key,
    },
    /// The request of a granted claim ended.
    Settle {
        /// Identifier of the claim.
        attempt: id::Attempt,
        /// How the request ended.
        outcome: Outcome,
    },
    /// The table answered `Action::Write`.
    Written {
        /// Number of the call.
        call: u64,
        /// Result of the call.
        result: Result<Verdict, Fault>,
    },
    /// The table answered `Action::Read` or `Action::Scan`.
    Read {
        /// Number of the call.
        call: u64,
        /// Result of the call.
        result: Result<Vec<Row>, Fault>,
    },
    /// Another router claims a key that this router issued.
    KeyClaim {
        /// Router that claims.
        from: id::Router,
        /// Identifier of the claim.
        attempt: id::Attempt,
        /// Key.
        key: Box<str>,
    },
    /// The issuer of a key decided a claim of this router.
    KeyVerdict {
        /// Issuer.
        from: id::Router,
        /// Identifier of the claim.
        attempt: id::Attempt,
        /// Whether the request may run.
        granted: bool,
    },
    /// A request certainly did not run; its claim on a key that this router issued was granted.
    KeyRelease {
        /// Identifier of the claim that held the key.
        attempt: id::Attempt,
        /// Key.
        key: Box<str>,
    },
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
    /// Periodic timer.
    Tick,
}
