//! Choice of targets, and the order in which queued requests are sent.

use super::{Attempt, Dispatcher, Pending, Queue, Request, Tokens};
use crate::{
    dispatch::{
        Action, Estimate, Policy,
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
/// Added to twice the expected time to the first event, this gives the silence timeout: a target
/// that answers no request for so long counts as silent.
const SILENCE_MARGIN: Span = Span::from_millis(500);
/// Interval at which a request at a silent target looks for another target.
const SILENCE_CHECK_INTERVAL: Span = Span::from_millis(200);
/// Multiple of the silence timeout after which a target counts as silent for a request even if it
/// answers others.
const MAX_TIMEOUT_FACTOR: u64 = 3;
/// Time for which another router's report of a failing target counts, unless a request to the
/// target succeeded since.
const SUSPICION_TTL: Span = Span::from_millis(1_000);

impl Dispatcher {
    /// Returns the estimate of the best target that accepts a request.
    pub(super) fn choose(
        &self,
        now: Time,
        pending: &Pending,
        excess: Option<f64>,
    ) -> Option<Estimate> {
        let request = &pending.request;
        let policy = self.settings.policy;
        let view_age = self.view_age(now);
        // The shortest time to the first event without waiting tells whether the request can be on
        // time at all.
        let mut fastest = Span(u64::MAX);
        let mut estimates = Vec::new();
        for trusted in [true, false] {
            for target in self.targets.values() {
                if target.entry.service != request.service
                    || !target.allows_send(now)
                    || pending.tried.contains(&target.entry.name)
                    || trusted != self.is_trusted(target, now)
                {
                    continue;
                }
                let near = target.entry.domain == self.settings.domain;
                let Some(mut estimate) = target.estimate(request, near, view_age) else {
                    continue;
                };
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
        let condition = match (excess, is_late) {
            (Some(excess), false) => {
                Condition::OnTimeWithMargin(EXCESS_MARGIN + EXCESS_MARGIN_PER_SHARE * excess)
            }
            (Some(_), true) => Condition::MaxWait(MAX_EXCESS_WAIT),
            (None, true) => Condition::MaxWait(MAX_LATE_WAIT),
            (None, false) => Condition::OnTime,
        };
        let meets = |(target, estimate): &(&Target, Estimate)| {
            policy != Policy::Shared || target.meets(estimate, request, condition, now)
        };
        if excess.is_some() {
            // A request beyond a share must not cost others anything: only the cheapest target may
            // take it, and only if no other target has more of the prompt cached.
            let uncached = self.least_uncached(request);
            estimates.retain(|(_, estimate)| estimate.uncached_tokens <= uncached);
            estimates.sort_by_key(|(_, estimate)| estimate.score);
            estimates.truncate(1);
        }
        estimates.retain(meets);
        let estimates = estimates.into_iter().map(|(_, estimate)| estimate);
        estimates.min_by_key(|estimate| estimate.score)
    }

    /// Returns the prompt tokens that are not cached at the target that has most of the prompt
    /// cached.
    fn least_uncached(&self, request: &Request) -> u64 {
        let targets = self.targets.values();
        let targets = targets.filter(|t| t.entry.service == request.service && !t.is_leaving());
        let uncached = targets.map(|target| target.uncached_tokens(request));
        uncached.min().unwrap_or_default()
    }

    /// Reports whether a target is expected to answer.
    fn is_trusted(&self, target: &Target, now: Time) -> bool {
        if !target.health.is_usable(now) {
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
        estimate: Estimate,
        out: &mut Vec<Action>,
    ) {
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
        let target_key = target.key;
        if let Some(prompt) = &request.prompt {
            self.typical.record(&request, &estimate);
            self.announce(target_key, prompt);
            if let Some(workspace) = request.workspace.as_ref().filter(|_| tried.is_empty()) {
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
            abandoned: false,
            silent_at: None,
            estimate,
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
            match self.choose(now, &pending, None) {
                Some(estimate) => self.send(now, pending, estimate, out),
                None => self.requeue(service, pending),
            }
        }
    }

    fn requeue(&mut self, service: &id::Service, pending: Pending) {
        let queue: &mut Queue = self.queues.entry(service.clone()).or_default();
        queue.push(pending);
    }

    /// Stops waiting for silent targets where another target can run the request now. Otherwise the
    /// wait goes on, because a silent target may still answer.
    pub(super) fn abandon_silent(&mut self, now: Time, out: &mut Vec<Action>) {
        for number in self.silent_attempts(now) {
            let Some(attempt) = self.attempts.get_mut(&number) else {
                continue;
            };
            let is_first = attempt.silent_at.replace(now).is_none();
            let may_move = attempt.request.kind.is_repeatable()
                && attempt.tried.len() < attempt.request.max_attempts as usize;
            let pending = Pending {
                request: attempt.request.clone(),
                tried: attempt.tried.clone(),
                unsent: attempt.unsent,
                may_have_run: attempt.may_have_run,
                expires: now,
            };
            let name = attempt.estimate.target.clone();
            let moves = may_move
                && self.choose(now, &pending, None).is_some()
                && self.budget(&pending.request.service).try_withdraw();
            if moves {
                if let Some(attempt) = self.attempts.get_mut(&number) {
                    attempt.abandoned = true;
                }
                out.push(Action::Abandon { number });
            } else if is_first
                && let Some(target) = self.targets.get_mut(&name)
                && target.health.record_failure(now)
            {
                out.push(super::health_change(target));
            }
        }
    }

    /// Returns the requests at silent targets that were not checked in the last interval.
    fn silent_attempts(&self, now: Time) -> Vec<u64> {
        let silent = self.attempts.values().filter(|attempt| {
            let timeout = Span(2 * attempt.estimate.first_event.0 + SILENCE_MARGIN.0);
            let waited = now.since(attempt.sent);
            let is_checked = attempt
                .silent_at
                .is_some_and(|at| now.since(at) < SILENCE_CHECK_INTERVAL);
            if waited < timeout || attempt.response_started || attempt.abandoned || is_checked {
                return false;
            }
            let target = self.targets.get(&attempt.estimate.target);
            let last_success = target.and_then(|target| target.health.last_success());
            let silence = now.since(last_success.unwrap_or_default().max(attempt.sent));
            silence >= timeout || waited.0 >= MAX_TIMEOUT_FACTOR * timeout.0
        });
        silent.map(|attempt| attempt.request.number).collect()
    }
}
