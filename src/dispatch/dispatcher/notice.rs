//! Announcements of targets, and the requests that no target can serve because of them.

use super::{
    Dispatcher, NO_TARGET_RETRY_AFTER, OVERLOAD_RETRY_AFTER, Pending, RETRY_AFTER_RANGE,
    shutdown::SHUTDOWN_RETRY_AFTER,
};
use crate::{
    catalog,
    dispatch::{
        Action, Reason, Request,
        target::{Target, key_of_run},
    },
    gossip, id,
    placement::mix,
    unit::{Span, Time},
};

/// Time between the returns of two routers after a pause of a target.
const RETURN_INTERVAL: Span = Span::from_millis(10);

impl Dispatcher {
    /// Records that a target announced in the response to a request that it leaves. Nothing more is
    /// sent to this run of it.
    pub(super) fn record_leaving(
        &mut self,
        now: Time,
        number: u64,
        run: &catalog::Run,
        out: &mut Vec<Action>,
    ) {
        if !self.notices.record_leaving(now, run) {
            return;
        }
        out.push(Action::TargetLeaving {
            number,
            target: run.target.clone(),
        });
        if let Some(target) = self.targets.get_mut(&run.target) {
            target.announced_leaving = self.notices.is_leaving(&target.entry);
            let service = target.entry.service.clone();
            self.refuse_unservable(now, &service, out);
        }
    }

    /// Records that a target refused a request and wants no further ones for a time.
    pub(super) fn record_pause(
        &mut self,
        now: Time,
        number: u64,
        run: &catalog::Run,
        asked: Span,
        out: &mut Vec<Action>,
    ) {
        let key = key_of_run(run);
        let delay = self.return_delay(key);
        let applied = match self.targets.get_mut(&run.target) {
            Some(target) if target.entry.started_at_ms != run.started_at_ms => return,
            Some(target) => target.pause.begin(now, asked, delay),
            None => self.notices.begin_pause(now, run, asked, delay),
        };
        if let Some(applied) = applied {
            self.pauses.push(None, (key, now + applied));
            out.push(Action::TargetPaused {
                target: run.target.clone(),
                asked,
                applied,
                request: Some(number),
                router: None,
            });
        }
        let target = self.targets.get(&run.target);
        if let Some(service) = target.map(|target| target.entry.service.clone()) {
            self.refuse_unservable(now, &service, out);
        }
    }

    /// Records the pauses that another router reported, and passes them on.
    pub(super) fn receive_pauses(
        &mut self,
        now: Time,
        summary: &gossip::Summary,
        out: &mut Vec<Action>,
    ) {
        for pause in &summary.pauses {
            let delay = self.return_delay(pause.target);
            let Some(target) = self.names.get(&pause.target) else {
                continue;
            };
            let Some(target) = self.targets.get_mut(target) else {
                continue;
            };
            if target.pause.remaining(now) >= pause.remaining {
                continue;
            }
            let Some(applied) = target.pause.begin(now, pause.remaining, delay) else {
                continue;
            };
            let (name, service) = (target.entry.name.clone(), target.entry.service.clone());
            let from = Some(summary.router.clone());
            self.pauses
                .push(from.clone(), (pause.target, now + applied));
            out.push(Action::TargetPaused {
                target: name,
                asked: pause.remaining,
                applied,
                request: None,
                router: from,
            });
            self.refuse_unservable(now, &service, out);
        }
    }

    /// Returns the time from the end of a target's pause until this router sends it requests: all return one after the
    /// other, so that a target which is still full can say so.
    fn return_delay(&self, target: u64) -> Span {
        let all = Span(RETURN_INTERVAL.0 * u64::from(self.fleet_size() - 1));
        Span(mix(target ^ self.key) % (all.0 + 1))
    }

    /// Reports whether a run of a target still takes new requests.
    pub fn accepts(&self, now: Time, run: &catalog::Run) -> bool {
        let target = self.targets.get(&run.target);
        target.is_some_and(|target| {
            target.entry.started_at_ms == run.started_at_ms && target.accepts(now)
        })
    }

    pub(super) fn staying<'a>(&'a self, request: &'a Request) -> impl Iterator<Item = &'a Target> {
        let targets = self.targets.values();
        targets.filter(move |target| target.matches(request) && target.may_get_new())
    }

    /// Returns why no target can serve a request in time, if that is certain already, and the time
    /// after which a retry may be served.
    ///
    /// A request waits for the end of a pause only while it could still be on time then, and for its turn among
    /// the `ahead` requests that are queued before it only while limits allow as many until then.
    pub(super) fn unservable(
        &self,
        now: Time,
        pending: &Pending,
        ahead: usize,
    ) -> Option<(Reason, Span)> {
        let request = &pending.request;
        if self.may_outlast_shutdown(now, pending, Span(0)) {
            return Some((Reason::Shutdown, SHUTDOWN_RETRY_AFTER));
        }
        if let Some(until) = self.held_until(pending) {
            return Some((Reason::Hazard, Self::held_retry_after(now, until)));
        }
        let limit = pending.expires.min(request.due);
        let mut reason = None;
        let (mut is_limited, mut turns, mut per_s) = (false, 0, 0.0);
        for target in self.staying(request) {
            if pending.tried.contains(&target.entry.name) {
                reason = reason.or(Some(Reason::Attempts));
                continue;
            }
            let remaining = target.pause.remaining(now);
            if remaining.0 > 0 && now + remaining > limit {
                reason = Some(Reason::Pause);
                continue;
            }
            let (target_turns, target_per_s) = target.within(now, limit.since(now))?;
            is_limited = true;
            if self.may_try(target, request) {
                turns += target_turns;
                per_s += target_per_s;
            }
        }
        if is_limited {
            let turn = (ahead + 1) as f64;
            // A cast of infinity saturates.
            let retry_after = Span((turn / per_s * 1e6) as u64);
            let is_served = turns > ahead;
            return (!is_served).then(|| (Reason::Limit, clamped_retry_after(retry_after)));
        }
        let reason = reason.unwrap_or_else(|| self.reason_without_target(request));
        Some((reason, self.retry_after(now, request)))
    }

    /// Returns the time after which a target may take a request that none takes now.
    pub(super) fn retry_after(&self, now: Time, request: &Request) -> Span {
        let ends = self.staying(request).map(|target| {
            let remaining = target.pause.remaining(now);
            let is_paused = remaining.0 > 0;
            if is_paused {
                remaining
            } else {
                OVERLOAD_RETRY_AFTER
            }
        });
        ends.min()
            .map_or(NO_TARGET_RETRY_AFTER, clamped_retry_after)
    }

    /// Refuses the queued requests of a service that no target can serve in time.
    pub(super) fn refuse_unservable(
        &mut self,
        now: Time,
        service: &id::Service,
        out: &mut Vec<Action>,
    ) {
        let Some(queue) = self.queues.get(service) else {
            return;
        };
        let unservable = queue.iter().enumerate().filter_map(|(ahead, pending)| {
            let cause = self.unservable(now, pending, ahead)?;
            Some((pending.request.number, cause))
        });
        for (number, (reason, retry_after)) in unservable.collect::<Vec<_>>() {
            let queue = self.queues.get_mut(service);
            if let Some(pending) = queue.and_then(|queue| queue.remove(number)) {
                self.refuse(now, &pending, reason, retry_after, out);
            }
        }
    }
}

/// Returns the time after which a caller is to try again, for an expected time until it can be served.
fn clamped_retry_after(after: Span) -> Span {
    after.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
}
