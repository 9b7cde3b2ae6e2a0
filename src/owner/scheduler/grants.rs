//! Grant, accounting and release of slots.

use super::{Scheduler, pulls::pull_message};
use crate::{
    id,
    owner::{pool::Pool, request::State},
    unit::{Cost, Span},
    wire,
};
use std::mem;

/// Time after a running request's deadline at which its slot is freed.
const LEASE_GRACE: Span = Span::from_secs(5);
/// Time for which an unreachable target gets no grants.
const UNREACHABLE_PAUSE: Span = Span::from_secs(1);

impl Scheduler {
    /// Grants free slots to waiting requests, then pulls from peers if that is due.
    pub(super) fn dispatch(&mut self, service: &id::Service, out: &mut Vec<wire::Envelope>) {
        while self.grant(service, out) {}
        self.pull_if_due(service, out);
    }

    pub(super) fn dispatch_all(&mut self, out: &mut Vec<wire::Envelope>) {
        let services: Vec<_> = self.pools.keys().cloned().collect();
        for service in services {
            self.dispatch(&service, out);
        }
    }

    /// Grants one slot; reports whether it did.
    pub(super) fn grant(&mut self, service: &id::Service, out: &mut Vec<wire::Envelope>) -> bool {
        let now = self.now;
        let Some(pool) = self.pools.get(service) else {
            return false;
        };
        let Some((workspace, class)) = pool.pick(now) else {
            return false;
        };
        if class == wire::Class::Long && self.hold_slots(service, &workspace, out) {
            return false;
        }
        let Some(pool) = self.pools.get_mut(service) else {
            return false;
        };
        let Some(attempt) = pool.head(&workspace, class) else {
            return false;
        };
        let Some(request) = self.requests.get_mut(&attempt) else {
            return false;
        };
        let Some(target) = pool.pick_target(now, &request.ask.target) else {
            return false;
        };
        pool.record_grant(now, &workspace, class, request.estimate);
        pool.start(now, request, &target, request.estimate);
        let lease = request.deadline + LEASE_GRACE;
        self.deadlines.remove(&(request.deadline, attempt));
        self.deadlines.insert((lease, attempt));
        request.deadline = lease;
        request.state = State::Running {
            target: target.clone(),
            charged: request.estimate,
            reported: Cost(0),
            prior: Cost(0),
            started: now,
        };
        out.push(wire::Envelope {
            to: request.ingress.clone(),
            message: wire::Message::Grant { attempt, target },
        });
        true
    }

    /// Holds the free slots for a short time if a peer has requests that take precedence over those
    /// of a workspace here; reports whether they are held.
    ///
    /// The call that starts the hold pulls those requests.
    pub(super) fn hold_slots(
        &mut self,
        service: &id::Service,
        workspace: &id::Workspace,
        out: &mut Vec<wire::Envelope>,
    ) -> bool {
        let now = self.now;
        let Some(pool) = self.pools.get_mut(service) else {
            return false;
        };
        let free = pool.free(now);
        let precedence_level = pool.precedence_level(workspace);
        let lowest = pool
            .backlogged_peers
            .first()
            .filter(|(floor, _)| *floor < precedence_level);
        let Some((_, to)) = lowest.filter(|_| !self.draining).cloned() else {
            pool.hold.end(now, free);
            return false;
        };
        if let Some(until) = pool.hold.until() {
            if until <= now {
                pool.hold.end(now, free);
            }
            return now < until;
        }
        let Some(target) = pool.most_free_target(now) else {
            return false;
        };
        if !pool.hold.start(now, pool.total_limit()) {
            return false;
        }
        pool.record_pull(now);
        out.push(pull_message(to, service, target, free));
        true
    }

    /// Takes over a running request from a previous owner; the part of its charge up to `cost` was
    /// charged there.
    pub(super) fn take_over(&mut self, from: id::Router, ask: wire::Ask, cost: Cost) {
        let attempt = ask.attempt;
        self.confirm(&attempt);
        let known = self.requests.get(&attempt).map(|request| &request.state);
        if let Some(State::Running { .. }) = known {
            self.update_costs(&[(attempt, cost)]);
            return;
        }
        let owns = |pool: &Pool| pool.slots.contains_key(&ask.target);
        if !self.pools.get(&ask.service).is_some_and(owns) {
            return;
        }
        self.remove(&attempt);
        let target = ask.target.clone();
        self.enqueue(from, ask);
        let Some(request) = self.requests.get_mut(&attempt) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&request.ask.service) else {
            return;
        };
        let charged = request.estimate.max(cost);
        pool.start(self.now, request, &target, charged.saturating_sub(cost));
        let lease = request.deadline + LEASE_GRACE;
        self.deadlines.remove(&(request.deadline, attempt));
        self.deadlines.insert((lease, attempt));
        request.deadline = lease;
        request.state = State::Running {
            target,
            charged,
            reported: cost,
            prior: cost,
            started: self.now,
        };
    }

    /// Raises the charges of running requests to their costs so far.
    pub(super) fn update_costs(&mut self, costs: &[(id::Attempt, Cost)]) {
        for (attempt, cost) in costs {
            self.confirm(attempt);
            let Some(request) = self.requests.get_mut(attempt) else {
                continue;
            };
            let State::Running {
                charged, reported, ..
            } = &mut request.state
            else {
                continue;
            };
            *reported = (*reported).max(*cost);
            let old = mem::replace(charged, request.estimate.max(*reported));
            let new = *charged;
            if let Some(pool) = self.pools.get_mut(&request.ask.service)
                && old != new
            {
                pool.update_account(self.now, &request.ask.workspace, |account| {
                    account.replace_charge(old, new)
                });
            }
        }
    }

    /// Settles a request that ended, at its final cost.
    pub(super) fn handle_done(
        &mut self,
        attempt: &id::Attempt,
        cost: Cost,
        outcome: wire::Outcome,
        out: &mut Vec<wire::Envelope>,
    ) {
        let Some(request) = self.remove_at_cost(attempt, Some(cost)) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&request.ask.service) else {
            return;
        };
        if let State::Running {
            target, started, ..
        } = &request.state
        {
            if outcome == wire::Outcome::Unreachable
                && let Some(slots) = pool.slots.get_mut(target)
            {
                slots.pause_for(self.now, UNREACHABLE_PAUSE);
            }
            if outcome == wire::Outcome::Answered {
                pool.observe(&request, cost, self.now.since(*started));
            }
        }
        self.dispatch(&request.ask.service, out);
    }
}
