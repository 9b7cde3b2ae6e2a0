//! Requests that want a slot: queued, refused, withdrawn or expired.

use super::{MAX_HOPS, Owner, pulls::move_to};
use crate::{
    id,
    owner::{
        Account,
        entry::{Entry, State},
    },
    unit::{Span, Time},
    wire,
};
use std::sync::Arc;

/// Requests that may wait at one owner; above it, workspaces keep within equal shares of it.
const MAX_WAITING: usize = 8_192;
/// Requests that may wait at one owner whatever their workspaces; bounds its memory.
const MAX_WAITING_HARD: usize = 16_384;
/// Retry time of a refusal that another owner may not share.
const RETRY_SOON: Span = Span::from_secs(1);

impl Owner {
    /// Takes a request for a slot.
    pub(super) fn ask(&mut self, from: id::Router, ask: wire::Ask, out: &mut Vec<wire::Envelope>) {
        if self.refresh(&from, &ask, out) {
            return;
        }
        if let Some(reason) = self.turn_away(&ask) {
            self.decline(from, &ask, reason, out);
            return;
        }
        let service = ask.service.clone();
        self.enqueue(from, ask);
        self.dispatch(&service, out);
    }

    /// Takes the repetition of a known request; reports whether it is known.
    pub(super) fn refresh(
        &mut self,
        from: &id::Router,
        ask: &wire::Ask,
        out: &mut Vec<wire::Envelope>,
    ) -> bool {
        self.confirm(&ask.attempt);
        let Some(entry) = self.entries.get_mut(&ask.attempt) else {
            return false;
        };
        entry.from = from.clone();
        if let State::Running { target, .. } = &entry.state {
            out.push(wire::Envelope {
                to: from.clone(),
                message: wire::Message::Grant {
                    attempt: ask.attempt,
                    target: target.clone(),
                },
            });
        }
        true
    }

    /// Returns the reason for which a request cannot wait here.
    pub(super) fn turn_away(&self, ask: &wire::Ask) -> Option<wire::Reason> {
        let Some(pool) = self.pools.get(&ask.service) else {
            return Some(wire::Reason::NotOwner);
        };
        if self.draining {
            return Some(wire::Reason::Draining);
        }
        if !pool.slots.contains_key(&ask.target) {
            return Some(wire::Reason::NotOwner);
        }
        if !pool.is_fit(self.now) {
            return Some(wire::Reason::NoTarget);
        }
        let waiting = pool
            .accounts
            .get(&ask.workspace)
            .map_or(0, Account::waiting);
        if waiting >= pool.service.max_waiting as usize {
            return Some(wire::Reason::WorkspaceFull);
        }
        let all: usize = self.pools.values().map(|pool| pool.waiting).sum();
        let share = MAX_WAITING / pool.backlogged().max(1);
        if all >= MAX_WAITING_HARD || (all >= MAX_WAITING && waiting >= share) {
            return Some(wire::Reason::QueueFull);
        }
        let late = pool.least_wait(self.now, ask) > ask.remaining;
        late.then_some(wire::Reason::Deadline)
    }

    /// Refuses a request, or sends it to another owner where that helps.
    pub(super) fn decline(
        &mut self,
        from: id::Router,
        ask: &wire::Ask,
        reason: wire::Reason,
        out: &mut Vec<wire::Envelope>,
    ) {
        let elsewhere = matches!(reason, wire::Reason::Draining | wire::Reason::NoTarget);
        if elsewhere
            && ask.hops < MAX_HOPS
            && let Some(target) = self.other_target(&ask.service)
        {
            move_to(from, ask.attempt, target, out);
            return;
        }
        let pool = self.pools.get(&ask.service);
        let waiting = pool.and_then(|p| p.accounts.get(&ask.workspace));
        let waiting = waiting.map_or(0, Account::waiting);
        let retry_after = match reason {
            wire::Reason::NotOwner => Span(0),
            wire::Reason::Draining | wire::Reason::NoTarget => RETRY_SOON,
            _ => pool.map_or(RETRY_SOON, |p| p.retry_after(self.now, waiting)),
        };
        refuse(from, ask.attempt, reason, retry_after, out);
    }

    /// Puts a request into the queue.
    pub(super) fn enqueue(&mut self, from: id::Router, ask: wire::Ask) {
        let now = self.now;
        let fleet = Arc::clone(&self.fleet);
        let Some(pool) = self.pools.get_mut(&ask.service) else {
            return;
        };
        pool.open(&fleet, &ask.workspace);
        let (estimate, class) = pool.classify(&ask);
        pool.arrive(now, class);
        let arrived = Time(now.0.saturating_sub(ask.waited.0));
        let entry = Entry {
            from,
            class,
            estimate,
            arrived,
            deadline: now + ask.remaining,
            confirm: None,
            state: State::Waiting,
            ask,
        };
        pool.push(now, &entry);
        let attempt = entry.ask.attempt;
        self.deadlines.insert((entry.deadline, attempt));
        self.entries.insert(attempt, entry);
    }

    /// Takes a request out of the queue.
    pub(super) fn withdraw(&mut self, attempt: &id::Attempt, out: &mut Vec<wire::Envelope>) {
        let Some(entry) = self.remove(attempt) else {
            return;
        };
        self.dispatch(&entry.ask.service, out);
    }

    /// Notes that an ingress repeated a request.
    pub(super) fn confirm(&mut self, attempt: &id::Attempt) {
        if let Some(entry) = self.entries.get_mut(attempt)
            && let Some(until) = entry.confirm.take()
        {
            self.unconfirmed.remove(&(until, *attempt));
        }
    }

    /// Refuses a request whose deadline passed in the queue, or frees the slot of a lost one.
    pub(super) fn expire(&mut self, attempt: &id::Attempt, out: &mut Vec<wire::Envelope>) {
        let Some(entry) = self.remove(attempt) else {
            return;
        };
        if entry.state == State::Waiting {
            let reason = wire::Reason::Deadline;
            self.decline(entry.from, &entry.ask, reason, out);
        }
    }
}

/// Refuses a request.
pub(super) fn refuse(
    to: id::Router,
    attempt: id::Attempt,
    reason: wire::Reason,
    retry_after: Span,
    out: &mut Vec<wire::Envelope>,
) {
    out.push(wire::Envelope {
        to,
        message: wire::Message::Refuse {
            attempt,
            refusal: wire::Refusal {
                reason,
                retry_after,
            },
        },
    });
}
