//! Messages over the links between routers.

use super::{Ask, Level, Outcome, Refusal, Report};
use crate::{
    id,
    unit::{Cost, Version},
};

/// Message over a link. A link delivers messages in order; each new connection begins with
/// `Resync`.
///
/// The ingress of a request is the router that accepted it, and the owner of a target is the router
/// that grants its slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Ingress to owner: requests a slot.
    Ask(Ask),
    /// Ingress to owner: cancels a slot request.
    Withdraw {
        /// Attempt that requested the slot.
        attempt: id::Attempt,
    },
    /// Owner to ingress: grants a slot of the target to the attempt.
    Grant {
        /// Attempt that may run.
        attempt: id::Attempt,
        /// Target that was granted.
        target: id::Target,
    },
    /// Owner to ingress: refuses the slot request and drops it.
    Refuse {
        /// Attempt that was refused.
        attempt: id::Attempt,
        /// Reason and retry delay.
        refusal: Refusal,
    },
    /// Owner to ingress: drops the slot request and redirects it to the owner of another target.
    Move {
        /// Attempt that is redirected.
        attempt: id::Attempt,
        /// Target whose owner to request a slot from.
        target: id::Target,
    },
    /// Ingress to owner: costs of running attempts so far.
    Progress(Vec<(id::Attempt, Cost)>),
    /// Ingress to owner: the attempt ended; releases its slot.
    Done {
        /// Attempt that ended.
        attempt: id::Attempt,
        /// Target that it ran on.
        target: id::Target,
        /// Final cost.
        cost: Cost,
        /// How it ended.
        outcome: Outcome,
    },
    /// Ingress to a new owner: the attempt already holds a slot of the target.
    Held {
        /// Slot request of the attempt.
        ask: Ask,
        /// Cost so far.
        cost: Cost,
    },
    /// Owner to owner: the sender has free slots and no waiting requests, and wants some of the
    /// receiver's (work stealing).
    Pull {
        /// Service of the wanted requests.
        service: id::Service,
        /// Target of the sender that has the free slots.
        target: id::Target,
        /// Number of free slots.
        free: u32,
    },
    /// Owner to aggregator: usage of workspaces.
    Report(Report),
    /// Aggregator to owner: fleet-wide levels of workspaces.
    Levels(Vec<Level>),
    /// Earlier messages of the sender may be lost: the receiver repeats its own requests and
    /// reports.
    Resync,
    /// Requests the configuration changes since a version.
    Fetch {
        /// Version that the sender has.
        have: Version,
    },
    /// Configuration changes since a version, encoded by `config`.
    Delta {
        /// Version that the delta applies to; 0 for a complete configuration.
        from: Version,
        /// Version that results.
        to: Version,
        /// Encoded changes.
        body: Vec<u8>,
    },
    /// Ingress to the issuer of an idempotency key: claims the key for an attempt.
    KeyClaim {
        /// Attempt that is to run.
        attempt: id::Attempt,
        /// Key that the receiver issued.
        key: Box<str>,
    },
    /// Issuer to ingress: decision on a `KeyClaim`.
    KeyVerdict {
        /// Attempt of the claim.
        attempt: id::Attempt,
        /// The attempt holds the key and may run; no other one may.
        granted: bool,
    },
    /// Ingress to the issuer of an idempotency key: releases the key, since the attempt certainly
    /// did not run.
    KeyRelease {
        /// Attempt that holds the key.
        attempt: id::Attempt,
        /// Key that the receiver issued.
        key: Box<str>,
    },
}
