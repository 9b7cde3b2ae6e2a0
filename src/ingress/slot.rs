//! A concurrency slot at a target, from the request for it to its release.

use super::context::Context;
use crate::{id, unit::Cost, wire};
use std::mem;

/// A slot that has been requested, granted or is in use.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    /// Router that received the slot request; after a grant, the current owner of the target.
    pub(super) owner: id::Router,
    /// Previous owners that still count the slot as taken.
    pub(super) previous_owners: Vec<id::Router>,
    /// Slot request as sent; after a grant its target is the granted one.
    pub(super) ask: wire::Ask,
}

impl Slot {
    /// Sends a slot request to an owner.
    pub(super) fn ask(owner: id::Router, ask: wire::Ask, context: &mut Context<'_>) -> Self {
        context.send(&owner, wire::Message::Ask(ask.clone()));
        Self {
            owner,
            previous_owners: Vec::new(),
            ask,
        }
    }

    /// Repeats the slot request to the same owner; idempotent if the first one arrived.
    pub(super) fn repeat_ask(&self, context: &mut Context<'_>) {
        context.send(&self.owner, wire::Message::Ask(self.ask.clone()));
    }

    /// Leaves the owner's queue.
    pub(super) fn withdraw(&self, context: &mut Context<'_>) {
        let attempt = self.ask.attempt;
        context.send(&self.owner, wire::Message::Withdraw { attempt });
    }

    /// Returns a granted slot unused.
    pub(super) fn release(&self, context: &mut Context<'_>) {
        self.finish(Cost(0), wire::Outcome::Cancelled, context);
    }

    /// Tells every owner that counts the slot as taken that it is free, with the final cost.
    pub(super) fn finish(&self, cost: Cost, outcome: wire::Outcome, context: &mut Context<'_>) {
        for owner in self.previous_owners.iter().chain([&self.owner]) {
            let message = wire::Message::Done {
                attempt: self.ask.attempt,
                target: self.ask.target.clone(),
                cost,
                outcome,
            };
            context.send(owner, message);
        }
    }

    /// Tells the owner that the slot is in use.
    pub(super) fn send_held(&self, cost: Cost, context: &mut Context<'_>) {
        let ask = self.ask.clone();
        context.send(&self.owner, wire::Message::Held { ask, cost });
    }

    /// Tells the new owner that the slot is in use, if the target's owner has changed.
    pub(super) fn notify_new_owner(&mut self, cost: Cost, context: &mut Context<'_>) {
        let owner = context.placement.owner_of(&self.ask.target);
        let Some(owner) = owner.filter(|owner| *owner != self.owner) else {
            return;
        };
        let previous = mem::replace(&mut self.owner, owner);
        self.previous_owners.retain(|known| *known != self.owner);
        self.previous_owners.push(previous);
        self.send_held(cost, context);
    }

    /// Reports whether a router counts the slot as taken by this attempt.
    pub(super) fn is_recorded_by(&self, router: &id::Router) -> bool {
        self.owner == *router || self.previous_owners.contains(router)
    }
}
