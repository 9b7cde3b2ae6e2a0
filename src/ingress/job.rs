//! State of one request that has no final response yet.

use super::{Action, Placement, Request, context::Context, slot::Slot};
use crate::{
    id,
    unit::{Cost, Time},
    wire,
};
use std::{mem, slice};

/// An attempt that was handed to the HTTP front end.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// Slot in use.
    pub(super) slot: Slot,
    /// A byte may have been sent to the target.
    pub(super) sent: bool,
    /// Cost so far.
    pub(super) cost: Cost,
    /// Cost last reported to the owner.
    pub(super) reported: Cost,
    /// An abort was requested.
    pub(super) aborted: bool,
}

impl Run {
    /// Returns an attempt of which nothing has been sent.
    pub(super) fn new(slot: Slot) -> Self {
        Self {
            slot,
            sent: false,
            cost: Cost(0),
            reported: Cost(0),
            aborted: false,
        }
    }

    /// Requests an abort, once.
    pub(super) fn abort(&mut self, context: &mut Context<'_>) {
        if !mem::replace(&mut self.aborted, true) {
            let attempt = self.slot.ask.attempt;
            context.out.push(Action::Abort { attempt });
        }
    }
}

/// Progress of a request.
#[derive(Clone, Debug)]
pub(super) enum State {
    /// Waiting for a slot grant.
    Waiting(Slot),
    /// Granted a slot and waiting for the claim of its idempotency key.
    Claiming {
        /// Granted slot.
        slot: Slot,
        /// Time of the grant.
        granted: Time,
    },
    /// Handed to the HTTP front end.
    Running(Run),
    /// About to be refused; waiting for the claim that tells whether an earlier request with the
    /// same idempotency key ran.
    Refusing(wire::Refusal),
    /// Waiting to make its next attempt; also the state between two others within one step.
    Backoff {
        /// Time of the next attempt.
        until: Time,
    },
}

/// Claim on the idempotency key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Claim {
    /// Not needed or not requested yet.
    None,
    /// Requested under this identifier.
    Pending(id::Attempt),
    /// Granted under this identifier.
    Held(id::Attempt),
}

/// A request that has no final response yet.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// Request as accepted.
    pub(super) request: Request,
    /// Time of arrival at this router.
    pub(super) arrived: Time,
    /// Progress.
    pub(super) state: State,
    /// Claim on its idempotency key.
    pub(super) claim: Claim,
    /// Number of attempts handed to the HTTP front end.
    pub(super) attempt_count: u32,
    /// Number of owner changes.
    pub(super) hops: u8,
    /// Targets at which an attempt failed, oldest first.
    pub(super) failed_targets: Vec<id::Target>,
    /// A target may have run an attempt, completely or in part.
    pub(super) may_have_run: bool,
    /// Last event that the caller received, from which the response is resumed.
    pub(super) resume: Option<Box<str>>,
    /// The caller disconnected.
    pub(super) cancelled: bool,
}

impl Job {
    /// Returns the state of a request that has just arrived.
    pub(super) fn new(request: Request, now: Time) -> Self {
        Self {
            request,
            arrived: now,
            state: State::Backoff { until: now },
            claim: Claim::None,
            attempt_count: 0,
            hops: 0,
            failed_targets: Vec::new(),
            may_have_run: false,
            resume: None,
            cancelled: false,
        }
    }

    /// Selects a target and its owner. Targets that failed the request are used only if there is no
    /// other, and the one that failed last only if it is the only one.
    pub(super) fn pick(
        &self,
        placement: &dyn Placement,
        seed: u64,
    ) -> Option<(id::Target, id::Router)> {
        let last = self.failed_targets.last().map_or(&[][..], slice::from_ref);
        let mut exclusions = [&self.failed_targets[..], last, &[]].into_iter();
        exclusions.find_map(|exclude| placement.pick(&self.request.service, exclude, seed))
    }

    /// Releases a granted slot that is unused, or leaves the owner's queue.
    pub(super) fn release_slot(&mut self, context: &mut Context<'_>) {
        let until = context.now;
        match mem::replace(&mut self.state, State::Backoff { until }) {
            State::Waiting(slot) => slot.withdraw(context),
            State::Claiming { slot, .. } => slot.release(context),
            State::Running(_) | State::Refusing(_) | State::Backoff { .. } => {}
        }
    }

    /// Returns the attempt under which the request waits for or holds a slot, if any.
    pub(super) fn attempt(&self) -> Option<id::Attempt> {
        match &self.state {
            State::Waiting(slot) | State::Claiming { slot, .. } => Some(slot.ask.attempt),
            State::Running(run) => Some(run.slot.ask.attempt),
            State::Refusing(_) | State::Backoff { .. } => None,
        }
    }

    /// Reports whether its idempotency key must be claimed before an attempt runs.
    pub(super) fn needs_claim(&self) -> bool {
        let unclaimed = !matches!(self.claim, Claim::Held(_));
        unclaimed && !self.request.idempotent && self.request.key.is_some()
    }
}
