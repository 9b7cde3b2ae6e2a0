//! Messages that routers send each other over their links.

use super::{Ask, Level, Outcome, Refusal, Report};
use crate::{
    id,
    unit::{Cost, Version},
};

/// Message over a link. A link delivers in order; after a break, `Resync` comes first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Ingress to owner: wants a slot.
    Ask(Ask),
    /// Ingress to owner: no longer wants a slot.
    Withdraw {
        /// Attempt that waited.
        attempt: id::Attempt,
    },
    /// Owner to ingress: the attempt may run on the target now.
    Grant {
        /// Attempt that may run.
        attempt: id::Attempt,
        /// Target that was granted.
        target: id::Target,
    },
    /// Owner to ingress: the attempt was refused and forgotten.
    Refuse {
        /// Attempt that was refused.
        attempt: id::Attempt,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Owner to ingress: the attempt was forgotten here; ask the owner of another target.
    Move {
        /// Attempt that moves.
        attempt: id::Attempt,
        /// Target to ask for.
        target: id::Target,
    },
    /// Ingress to owner: cost of running attempts so far.
    Progress(Vec<(id::Attempt, Cost)>),
    /// Ingress to owner: the attempt ended and its slot is free.
    Done {
        /// Attempt that ended.
        attempt: id::Attempt,
        /// Target that it had.
        target: id::Target,
        /// Final cost.
        cost: Cost,
        /// How it ended.
        outcome: Outcome,
    },
    /// Ingress to a new owner: the attempt already runs on the target.
    Held {
        /// Attempt as it was asked.
        ask: Ask,
        /// Cost so far.
        cost: Cost,
    },
    /// Owner to owner: the sender has free slots and no work.
    Pull {
        /// Service whose work is wanted.
        service: id::Service,
        /// Target of the sender that has the free slots.
        target: id::Target,
        /// Number of free slots.
        free: u32,
    },
    /// Owner to tally: service given.
    Report(Report),
    /// Tally to owner: fleet-wide levels.
    Levels(Vec<Level>),
    /// The sender's earlier messages may be lost: the receiver asks and reports again.
    Resync,
    /// Asks a peer for the configuration after a version.
    Fetch {
        /// Version that the sender has.
        have: Version,
    },
    /// Configuration after a version, encoded by `config`.
    Delta {
        /// Version that the delta starts from; 0 when it is whole.
        from: Version,
        /// Version that it leads to.
        to: Version,
        /// Encoded changes.
        body: Vec<u8>,
    },
    /// Ingress to the issuer of an idempotency key: may the attempt run it?
    KeyClaim {
        /// Attempt that wants to run.
        attempt: id::Attempt,
        /// Key that the receiver issued.
        key: Box<str>,
    },
    /// Issuer to ingress: the answer to `KeyClaim`.
    KeyVerdict {
        /// Attempt that asked.
        attempt: id::Attempt,
        /// The attempt is the first and only one that may run the key.
        granted: bool,
    },
    /// Ingress to the issuer of an idempotency key: the attempt that may run it certainly did not.
    KeyRelease {
        /// Attempt that was granted the key.
        attempt: id::Attempt,
        /// Key that the receiver issued.
        key: Box<str>,
    },
}
