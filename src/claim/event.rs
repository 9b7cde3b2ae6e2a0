//! Events that a registry is told.

use super::{End, Key};
use crate::{
    id,
    table::{Fault, Row, Verdict},
};

/// Event that a registry is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An attempt wants to run an operation.
    Claim {
        /// Attempt.
        attempt: id::Attempt,
        /// Workspace of the key.
        workspace: id::Workspace,
        /// Service of the key.
        service: id::Service,
        /// Key.
        key: Key,
    },
    /// A granted claim ended.
    Settle {
        /// Attempt that claimed.
        attempt: id::Attempt,
        /// How it ended.
        end: End,
    },
    /// The table answered `Action::Write`.
    Written {
        /// Number of the call.
        call: u64,
        /// Answer.
        result: Result<Verdict, Fault>,
    },
    /// The table answered `Action::Read` or `Action::Scan`.
    Read {
        /// Number of the call.
        call: u64,
        /// Answer.
        result: Result<Vec<Row>, Fault>,
    },
    /// Another router claims a key that this router issued.
    KeyClaim {
        /// Router of the attempt.
        from: id::Router,
        /// Attempt.
        attempt: id::Attempt,
        /// Key.
        key: Box<str>,
    },
    /// The issuer of a key answered.
    KeyVerdict {
        /// Issuer.
        from: id::Router,
        /// Attempt that claimed.
        attempt: id::Attempt,
        /// The attempt may run.
        granted: bool,
    },
    /// The holder of a key that this router issued certainly did not run.
    KeyRelease {
        /// Attempt that held the key.
        attempt: id::Attempt,
        /// Key.
        key: Box<str>,
    },
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
    /// Time passes.
    Tick,
}
