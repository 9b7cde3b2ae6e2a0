//! Slot requests: admission, refusal, cancellation and expiry.

use super::{MAX_HOPS, Scheduler, pulls::send_move};
use crate::{
    id,
    owner::{
        Account,
        request::{Request, State},
    },
    unit::{Span, Time},
    wire,
};
use std::sync::Arc;

/// Soft limit of the requests that wait at one owner; beyond it, a workspace may have no more than
/// an equal share of this number waiting.
const MAX_WAITING_SOFT: usize = 8_192;
/// Hard limit of the requests that wait at one owner; bounds its memory.
const MAX_WAITING_HARD: usize = 16_384;
/// Retry time of a refusal that does not depend on the queue; another owner may accept the request.
const SHORT_RETRY_AFTER: Span = Span::from_secs(1);

impl Scheduler {
    /// Handles a slot request.
    pub(super) fn handle_ask(
        &mut self,
        from: id::Router,
        ask: wire::Ask,
        out: &mut Vec<wire::Envelope>,
    ) {
        if self.handle_repeat(&from, &ask, out) {
            return;
        }
        if let Some(reason) = self.refusal_reason(&ask) {
            self.refuse_or_move(from, &ask, reason, out);
            return;
        }
        let service = ask.service.clone();
        self.enqueue(from, ask);
        self.dispatch(&service, out);
    }

    /// Handles the repetition of a known request; reports whether it is known.
    pub(super) fn handle_repeat(
        &mut self,
        from: &id::Router,
        ask: &wire::Ask,
        out: &mut Vec<wire::Envelope>,
    ) -> bool {
        self.confirm(&ask.attempt);
        let Some(request) = self.requests.get_mut(&ask.attempt) else {
            return false;
        };
        request.ingress = from.clone();
        if let State::Running { target, .. } = &request.state {
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

    /// Returns the reason to refuse a request, if there is one.
    pub(super) fn refusal_reason(&self, ask: &wire::Ask) -> Option<wire::Reason> {
        let Some(pool) = self.pools.get(&ask.service) else {
            return Some(wire::Reason::NotOwner);
        };
        if self.draining {
            return Some(wire::Reason::Draining);
        }
        if !pool.slots.contains_key(&ask.target) {
            return Some(wire::Reason::NotOwner);
        }
        if !pool.is_available(self.now) {
            return Some(wire::Reason::NoTarget);
        }
        let waiting = pool
            .accounts
            .get(&ask.workspace)
            .map_or(0, Account::waiting);
        if waiting >= pool.service.max_waiting as usize {
            return Some(wire::Reason::WorkspaceFull);
        }
        let total_waiting: usize = self.pools.values().map(|pool| pool.waiting).sum();
        let share = MAX_WAITING_SOFT / pool.backlogged_workspaces().max(1);
        if total_waiting >= MAX_WAITING_HARD
            || (total_waiting >= MAX_WAITING_SOFT && waiting >= share)
        {
            return Some(wire::Reason::QueueFull);
        }
        let late = pool.min_wait(self.now, ask) > ask.remaining;
        late.then_some(wire::Reason::Deadline)
    }

    /// Refuses a request, or moves it to another owner if the reason applies only to this one.
    pub(super) fn refuse_or_move(
        &mut self,
        from: id::Router,
        ask: &wire::Ask,
        reason: wire::Reason,
        out: &mut Vec<wire::Envelope>,
    ) {
        let movable = matches!(reason, wire::Reason::Draining | wire::Reason::NoTarget);
        if movable
            && ask.hops < MAX_HOPS
            && let Some(target) = self.peer_target(&ask.service)
        {
            send_move(from, ask.attempt, target, out);
            return;
        }
        let pool = self.pools.get(&ask.service);
        let waiting = pool.and_then(|p| p.accounts.get(&ask.workspace));
        let waiting = waiting.map_or(0, Account::waiting);
        let retry_after = match reason {
            wire::Reason::NotOwner => Span(0),
            wire::Reason::Draining | wire::Reason::NoTarget => SHORT_RETRY_AFTER,
            _ => pool.map_or(SHORT_RETRY_AFTER, |p| p.retry_after(self.now, waiting)),
        };
        send_refusal(from, ask.attempt, reason, retry_after, out);
    }

    /// Adds a request to the queue.
    pub(super) fn enqueue(&mut self, ingress: id::Router, ask: wire::Ask) {
        let now = self.now;
        let fleet = Arc::clone(&self.fleet);
        let Some(pool) = self.pools.get_mut(&ask.service) else {
            return;
        };
        pool.ensure_account(&fleet, &ask.workspace);
        let (estimate, class) = pool.classify(&ask);
        pool.record_arrival(now, class);
        let arrived = Time(now.0.saturating_sub(ask.waited.0));
        let request = Request {
            ingress,
            class,
            estimate,
            arrived,
            deadline: now + ask.remaining,
            confirm_by: None,
            state: State::Waiting,
            ask,
        };
        pool.push(now, &request);
        let attempt = request.ask.attempt;
        self.deadlines.insert((request.deadline, attempt));
        self.requests.insert(attempt, request);
    }

    /// Cancels a request.
    pub(super) fn withdraw(&mut self, attempt: &id::Attempt, out: &mut Vec<wire::Envelope>) {
        let Some(request) = self.remove(attempt) else {
            return;
        };
        self.dispatch(&request.ask.service, out);
    }

    /// Records that an ingress repeated a request after a broken link.
    pub(super) fn confirm(&mut self, attempt: &id::Attempt) {
        if let Some(request) = self.requests.get_mut(attempt)
            && let Some(until) = request.confirm_by.take()
        {
            self.unconfirmed.remove(&(until, *attempt));
        }
    }

    /// Refuses a waiting request whose deadline passed, or frees the slot of a running one whose
    /// lease ran out.
    pub(super) fn expire(&mut self, attempt: &id::Attempt, out: &mut Vec<wire::Envelope>) {
        let Some(request) = self.remove(attempt) else {
            return;
        };
        if request.state == State::Waiting {
            let reason = wire::Reason::Deadline;
            self.refuse_or_move(request.ingress, &request.ask, reason, out);
        }
    }
}

/// Sends a refusal.
pub(super) fn send_refusal(
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
