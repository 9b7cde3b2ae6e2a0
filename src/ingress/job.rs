//! State of one request.

use super::{Action, Placement, Request, slot::Slot, turn::Turn};
use crate::{
    id,
    unit::{Cost, Time},
    wire,
};
use std::{mem, slice};

/// An attempt that the front was told to send.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// Slot in use.
    pub(super) slot: Slot,
    /// A byte may have left.
    pub(super) sent: bool,
    /// Cost so far.
    pub(super) cost: Cost,
    /// Cost that the owner was told.
    pub(super) reported: Cost,
    /// The front was told to break it off.
    pub(super) aborted: bool,
}

impl Run {
    /// Returns an attempt of which nothing was sent yet.
    pub(super) fn new(slot: Slot) -> Self {
        Self {
            slot,
            sent: false,
            cost: Cost(0),
            reported: Cost(0),
            aborted: false,
        }
    }

    /// Tells the front to break the attempt off.
    pub(super) fn abort(&mut self, turn: &mut Turn<'_>) {
        if !mem::replace(&mut self.aborted, true) {
            let attempt = self.slot.ask.attempt;
            turn.out.push(Action::Abort { attempt });
        }
    }
}

/// Where a request stands.
#[derive(Clone, Debug)]
pub(super) enum State {
    /// Waits for a grant.
    Waiting(Slot),
    /// Has a slot and waits for its claim.
    Claiming {
        /// Slot that was granted.
        slot: Slot,
        /// Time of the grant.
        granted: Time,
    },
    /// Was given to the front.
    Running(Run),
    /// Is refused, and waits to hear whether an earlier try with its key ran.
    Refusing(wire::Refusal),
    /// Waits for its next attempt.
    Backoff {
        /// Time of the next attempt.
        until: Time,
    },
}

/// Claim of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Claim {
    /// None is needed, or not yet asked for.
    None,
    /// Asked for under this attempt.
    Pending(id::Attempt),
    /// Granted under this attempt.
    Held(id::Attempt),
}

/// State of one request.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// Request.
    pub(super) request: Request,
    /// Arrival at this router.
    pub(super) arrived: Time,
    /// Where it stands.
    pub(super) state: State,
    /// Claim.
    pub(super) claim: Claim,
    /// Attempts that were started.
    pub(super) tries: u32,
    /// Owner changes so far.
    pub(super) hops: u8,
    /// Targets that failed the request.
    pub(super) failed: Vec<id::Target>,
    /// An attempt may have run, whole or in part.
    pub(super) ran: bool,
    /// Last event that the caller got.
    pub(super) resume: Option<Box<str>>,
    /// The caller went away.
    pub(super) abandoned: bool,
}

impl Job {
    /// Returns a request that has just arrived.
    pub(super) fn new(request: Request, now: Time) -> Self {
        Self {
            request,
            arrived: now,
            state: State::Backoff { until: now },
            claim: Claim::None,
            tries: 0,
            hops: 0,
            failed: Vec::new(),
            ran: false,
            resume: None,
            abandoned: false,
        }
    }

    /// Returns a target and its owner; one that failed comes after all others, and the last one last.
    pub(super) fn pick(
        &self,
        placement: &dyn Placement,
        seed: u64,
    ) -> Option<(id::Target, id::Router)> {
        let last = self.failed.last().map_or(&[][..], slice::from_ref);
        let mut excluded = [&self.failed[..], last, &[]].into_iter();
        excluded.find_map(|failed| placement.pick(&self.request.service, failed, seed))
    }

    /// Gives back its slot, or its place in a queue.
    pub(super) fn give_back(&mut self, turn: &mut Turn<'_>) {
        let until = turn.now;
        match mem::replace(&mut self.state, State::Backoff { until }) {
            State::Waiting(slot) => slot.withdraw(turn),
            State::Claiming { slot, .. } => slot.release(turn),
            State::Running(_) | State::Refusing(_) | State::Backoff { .. } => {}
        }
    }

    /// Returns the attempt that an owner knows, if any.
    pub(super) fn attempt(&self) -> Option<id::Attempt> {
        match &self.state {
            State::Waiting(slot) | State::Claiming { slot, .. } => Some(slot.ask.attempt),
            State::Running(run) => Some(run.slot.ask.attempt),
            State::Refusing(_) | State::Backoff { .. } => None,
        }
    }

    /// Reports whether an attempt must be claimed before it runs.
    pub(super) fn needs_claim(&self) -> bool {
        let unclaimed = !matches!(self.claim, Claim::Held(_));
        unclaimed && !self.request.idempotent && self.request.key.is_some()
    }
}
