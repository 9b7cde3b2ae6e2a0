//! Choice of targets, and the order in which queued requests are sent.

use super::{
    Attempt, Dispatcher, MIN_RETRY_DUE, Outcome, Pending, Queue, Request, Tokens, source::Copyable,
};
use crate::{
    dispatch::{
        Action, Cause, Estimate, Policy,
        grade::Grade,
        silence_timeout,
        target::{Condition, Target},
    },
    id,
    placement::hash,
    unit::{Span, Time},
};

/// Maximum number of queued requests that are tried at a time, of those that can be on time and of
/// late ones each. If targets have no room for these, they are unlikely to have room for the others.
const MAX_SCANNED: usize = 12;
/// Maximum wait inside a target for a request that cannot be on time at any target. Keeps it from
/// delaying later requests, which usually need their first event within 300 ms.
const MAX_LATE_WAIT: Span = Span::from_millis(120);
/// Margin for a request beyond its workspace's share, as a multiple of its wait: capacity that it
/// takes is missing for workspaces that have not used their share.
const EXCESS_MARGIN: f64 = 1.0;
/// Additional margin for each whole share by which the workspace exceeds its own. Spreads the spare
/// capacity evenly among workspaces beyond their share.
const EXCESS_MARGIN_PER_SHARE: f64 = 4.0;
/// Maximum wait inside a target for a request that cannot be on time at any target and is beyond
/// its workspace's share.
const MAX_EXCESS_WAIT: Span = Span::from_millis(40);
/// Time that a response takes from the target to the caller.
const RETURN_TIME: Span = Span::from_millis(8);
/// Added to twice the expected time to the first event, this is the time at which a response is
/// overdue.
const OVERDUE_MARGIN: Span = Span::from_millis(500);
/// Interval at which a request at a silent target looks for another target.
const SILENCE_CHECK_INTERVAL: Span = Span::from_millis(200);
/// Multiple of the time at which a response is overdue, after which a target counts as silent for
/// its request even if it answers others.
const MAX_OVERDUE_FACTOR: u64 = 3;
/// Time for which another router's report of a failing target counts, unless a request to the
/// target succeeded since.
const SUSPICION_TTL: Span = Span::from_millis(1_000);

impl Dispatcher {
    /// Returns the estimate of the best target that accepts a request.
    pub(super) fn choose(&self, now: Time, pending: &Pending, grade: Grade) -> Option<Estimate> {
        let request = &pending.request;
        let policy = self.settings.policy;
        let view_age = self.view_age(now);
        // The shortest time to the first event without waiting tells whether the request can be on
        // time at all.
        let mut fastest = Span(u64::MAX);
        let mut estimates = Vec::new();
        let is_free = self.is_free(pending);
        let work_elsewhere = self.work_elsewhere(now, request);
        let mut copyable = Copyable::default();
        for trusted in [true, false] {
            for target in self.targets.values() {
                if !target.matches(request)
                    || !target.allows_send(now)
                    || !self.may_use_credit(now, target, request, work_elsewhere)
                    || pending.tried.contains(&target.entry.name)
                    || !(is_free || self.is_admitted(pending, target.software()))
                    || trusted != self.is_trusted(target, now)
                {
                    continue;
                }
                let near = target.entry.domain == self.settings.domain;
                let copyable = self.copyable_tokens(now, request, target, &mut copyable);
                let is_cold = target.is_cold(now);
                let estimate = target.estimate(request, near, view_age, copyable, is_cold);
                let Some(mut estimate) = estimate else {
                    continue;
                };
                if self.may_outlast_shutdown(now, pending, estimate.lead(request)) {
                    continue;
                }
                if policy == Policy::Alone {
                    estimate.score = u64::from(target.own.running);
                }
                fastest = fastest.min(Span(estimate.first_event.0 - estimate.wait.0));
                estimates.push((target, estimate));
            }
            if !estimates.is_empty() {
                break;
            }
        }
        let is_late = now + fastest + RETURN_TIME > request.due;
        let condition = match (grade, is_late) {
            (Grade::Spare(excess), false) => {
                Condition::OnTimeWithMargin(EXCESS_MARGIN + EXCESS_MARGIN_PER_SHARE * excess)
            }
            (Grade::Surplus | Grade::Spare(_), true) => Condition::MaxWait(MAX_EXCESS_WAIT),
            (_, true) => Condition::MaxWait(MAX_LATE_WAIT),
            (_, false) => Condition::OnTime,
        };
        let meets = |(target, estimate): &(&Target, Estimate)| {
            policy != Policy::Shared || target.meets(estimate, request, condition, now)
        };
        if matches!(grade, Grade::Surplus | Grade::Spare(_)) {
            // A request beyond the share of the configured capacity must not cost others anything: only
            // the cheapest target may take it, and only if no other target has more of the prompt
            // cached.
            let uncached = self.least_uncached(now, request);
            estimates.retain(|(_, estimate)| estimate.uncached_tokens <= uncached);
            estimates.sort_by_key(|(_, estimate)| estimate.score);
            estimates.truncate(1);
        }
        estimates.retain(meets);
        let estimates = estimates.into_iter().map(|(_, estimate)| estimate);
        estimates.min_by_key(|estimate| estimate.score)
    }

    /// Returns the prompt tokens that are not cached at the target that has most of the prompt
    /// cached, of those that may take it now or have no limit.
    fn least_uncached(&self, now: Time, request: &Request) -> u64 {
        let targets = self.targets.values();
        let targets =
            targets.filter(|t| t.matches(request) && t.may_get_new() && t.is_within_limit(now));
        let uncached = targets.map(|target| target.uncached_tokens(request));
        uncached.min().unwrap_or_default()
    }

    /// Reports whether a target is expected to answer.
    pub(super) fn is_trusted(&self, target: &Target, now: Time) -> bool {
        if target.quiet || !target.health.is_usable(now) {
            return false;
        }
        let (Some(at), true) = (
            target.suspected_at,
            self.settings.policy.uses_peer_reports(),
        ) else {
            return true;
        };
        now.since(at) >= SUSPICION_TTL || target.health.last_success().is_some_and(|last| last > at)
    }

    /// Sends a request to a target.
    pub(super) fn send(
        &mut self,
        now: Time,
        pending: Pending,
        mut estimate: Estimate,
        out: &mut Vec<Action>,
    ) {
        estimate.source = self.source(now, &pending.request, &estimate);
        let Pending {
            request,
            mut tried,
            unsent,
            may_have_run,
            ..
        } = pending;
        let Some(target) = self.targets.get_mut(&estimate.target) else {
            return;
        };
        let (memory, ahead) = target.start(&request, estimate.uncached_tokens, now);
        if let Some(allowance) = &mut target.allowance {
            allowance.record_send(now);
        }
        if let Some(warm_up) = &mut target.warm_up {
            warm_up.record_send(now);
        }
        let target_key = target.key;
        self.limits.count_send(target_key);
        if let Some(prompt) = &request.prompt {
            self.typical.record(&request, &estimate);
            self.announce(target_key, &request);
            self.record_shared_parts(now, &request);
            if let Some(workspace) = request.workspace.as_ref().filter(|_| tried.is_empty()) {
                self.ledger.record_sent(&request);
                let key = hash(workspace.as_str());
                let tokens = Tokens {
                    requested: 0,
                    granted: prompt.cost(),
                };
                self.accounts.entry(key).or_default().add_own(now, tokens);
                self.share.add(key, 0, prompt.cost());
            }
        }
        out.push(Action::Send {
            number: request.number,
            estimate: estimate.clone(),
            earlier: tried.len() as u32,
            waited: now.since(request.arrived),
        });
        tried.push(estimate.target.clone());
        let attempt = Attempt {
            ahead,
            memory,
            sent: now,
            tried,
            unsent,
            response_started: false,
            may_have_run,
            silent_at: None,
            is_withheld: false,
            estimate,
            previous: None,
            request,
        };
        self.attempts.insert(attempt.request.number, attempt);
    }

    /// Sends the queued requests of a service that targets accept.
    pub(super) fn send_queued(&mut self, now: Time, service: &id::Service, out: &mut Vec<Action>) {
        let Some(queue) = self.queues.get(service) else {
            return;
        };
        let mut numbers = Vec::new();
        for index in queue.order(now, MAX_SCANNED) {
            let Some(number) = queue.get(index).map(|pending| pending.request.number) else {
                continue;
            };
            numbers.push(number);
        }
        for number in numbers {
            let queue = self.queues.entry(service.clone()).or_default();
            let Some(pending) = queue.remove(number) else {
                continue;
            };
            match self.choose(now, &pending, Grade::Within) {
                Some(estimate) => self.send(now, pending, estimate, out),
                None => self.requeue(service, pending),
            }
        }
    }

    fn requeue(&mut self, service: &id::Service, pending: Pending) {
        let queue: &mut Queue = self.queues.entry(service.clone()).or_default();
        queue.push(pending);
    }

    /// Moves requests from silent targets to others. Where no other target accepts the request, it
    /// keeps waiting, because a silent target may still answer.
    pub(super) fn check_silent(&mut self, now: Time, out: &mut Vec<Action>) {
        for number in self.silent_attempts(now) {
            let Some(attempt) = self.attempts.get_mut(&number) else {
                continue;
            };
            let is_first = attempt.silent_at.replace(now).is_none();
            let name = attempt.estimate.target.clone();
            if let Some(target) = self.targets.get_mut(&name) {
                target.doubt_warm(now, Cause::Interrupted);
            }
            if !self.try_move(now, number, out)
                && is_first
                && let Some(target) = self.targets.get_mut(&name)
                && target.health.record_failure(now)
            {
                out.push(super::health_change(target));
            }
        }
    }

    /// Moves a request from a silent target to another one, if one accepts it now and the retry
    /// budget allows it; returns whether it was moved. Its load moves in the same step, so that it is
    /// never without a target.
    pub(super) fn try_move(&mut self, now: Time, number: u64, out: &mut Vec<Action>) -> bool {
        let Some(attempt) = self.attempts.get(&number) else {
            return false;
        };
        let request = &attempt.request;
        let reached = attempt.tried.len() - attempt.unsent;
        if !request.kind.is_repeatable() || reached >= request.max_attempts as usize {
            return false;
        }
        let pending = Pending {
            request: Request {
                due: request.due.max(now + MIN_RETRY_DUE),
                ..request.clone()
            },
            tried: attempt.tried.clone(),
            unsent: attempt.unsent,
            may_have_run: true,
            is_trial: false,
            expires: now,
        };
        let Some(estimate) = self.choose(now, &pending, Grade::Within) else {
            return false;
        };
        if !self.budget(&pending.request.service).try_withdraw() {
            return false;
        }
        let previous = self.attempts.remove(&number);
        if let Some(previous) = &previous {
            self.release(now, previous, Outcome::Silent, out);
        }
        self.send(now, pending, estimate, out);
        if let (Some(attempt), Some(mut previous)) = (self.attempts.get_mut(&number), previous) {
            previous.previous = None;
            attempt.previous = Some(Box::new(previous));
        }
        true
    }

    /// Returns the requests at silent targets that were not checked in the last interval, and marks
    /// the targets at which a response is overdue.
    fn silent_attempts(&mut self, now: Time) -> Vec<u64> {
        self.targets
            .values_mut()
            .for_each(|target| target.quiet = false);
        let mut silent = Vec::new();
        for attempt in self.attempts.values() {
            let request = &attempt.request;
            let overdue = Span(2 * attempt.estimate.first_event.0 + OVERDUE_MARGIN.0);
            let waited = now.since(attempt.sent);
            if waited < overdue || attempt.response_started {
                continue;
            }
            let mut last_response = attempt.sent;
            if let Some(target) = self.targets.get_mut(&attempt.estimate.target) {
                last_response = last_response.max(target.health.last_success().unwrap_or_default());
                target.quiet |= now.since(last_response) >= overdue;
            }
            let remaining = request.deadline.since(attempt.sent);
            let timeout = overdue.max(silence_timeout(remaining));
            let is_silent = now.since(last_response) >= timeout
                || waited >= timeout.max(Span(overdue.0 * MAX_OVERDUE_FACTOR));
            let is_checked = attempt
                .silent_at
                .is_some_and(|at| now.since(at) < SILENCE_CHECK_INTERVAL);
            if is_silent && !is_checked {
                silent.push(request.number);
            }
        }
        silent
    }
}
