//! A concurrency slot at a target, from the request for it to its release.

use super::turn::Turn;
use crate::{id, unit::Cost, wire};
use std::mem;

/// A slot that has been requested, granted or is in use.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    /// Router that received the slot request; after a grant, the current owner of the target.
    pub(super) owner: id::Router,
    /// Previous owners that still count the slot as taken.
    pub(super) informed: Vec<id::Router>,
    /// Slot request as sent; after a grant its target is the granted one.
    pub(super) ask: wire::Ask,
}

impl Slot {
    /// Sends a slot request to an owner.
    pub(super) fn ask(owner: id::Router, ask: wire::Ask, turn: &mut Turn<'_>) -> Self {
        turn.send(&owner, wire::Message::Ask(ask.clone()));
        Self {
            owner,
            informed: Vec::new(),
            ask,
        }
    }

    /// Repeats the slot request to the same owner; idempotent if the first one arrived.
    pub(super) fn ask_again(&self, turn: &mut Turn<'_>) {
        turn.send(&self.owner, wire::Message::Ask(self.ask.clone()));
    }

    /// Leaves the owner's queue.
    pub(super) fn withdraw(&self, turn: &mut Turn<'_>) {
        let attempt = self.ask.attempt;
        turn.send(&self.owner, wire::Message::Withdraw { attempt });
    }

    /// Returns a granted slot unused.
    pub(super) fn release(&self, turn: &mut Turn<'_>) {
        self.end(Cost(0), wire::Outcome::Cancelled, turn);
    }

    /// Tells every owner that counts the slot as taken that it is free, with the final cost.
    pub(super) fn end(&self, cost: Cost, outcome: wire::Outcome, turn: &mut Turn<'_>) {
        for owner in self.informed.iter().chain([&self.owner]) {
            let message = wire::Message::Done {
                attempt: self.ask.attempt,
                target: self.ask.target.clone(),
                cost,
                outcome,
            };
            turn.send(owner, message);
        }
    }

    /// Tells the owner that the slot is in use.
    pub(super) fn hold(&self, cost: Cost, turn: &mut Turn<'_>) {
        let ask = self.ask.clone();
        turn.send(&self.owner, wire::Message::Held { ask, cost });
    }

    /// Tells the new owner that the slot is in use, if the target's owner has changed.
    pub(super) fn follow(&mut self, cost: Cost, turn: &mut Turn<'_>) {
        let owner = turn.placement.owner_of(&self.ask.target);
        let Some(owner) = owner.filter(|owner| *owner != self.owner) else {
            return;
        };
        let earlier = mem::replace(&mut self.owner, owner);
        self.informed.retain(|known| *known != self.owner);
        self.informed.push(earlier);
        self.hold(cost, turn);
    }

    /// Reports whether a router counts the slot as taken.
    pub(super) fn is_known_to(&self, router: &id::Router) -> bool {
        self.owner == *router || self.informed.contains(router)
    }
}
