//! Announcements of targets, and the requests that no target can serve because of them.

use super::{Dispatcher, NO_TARGET_RETRY_AFTER, OVERLOAD_RETRY_AFTER, Pending};
use crate::{
    catalog,
    dispatch::{Action, Reason},
    id,
    unit::{Span, Time},
};

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

    /// Reports whether a run of a target still takes new requests.
    pub fn accepts(&self, run: &catalog::Run) -> bool {
        let target = self.targets.get(&run.target);
        target.is_some_and(|target| {
            target.entry.started_at_ms == run.started_at_ms && !target.is_leaving()
        })
    }

    /// Returns why no target can serve a request, if that is certain already, and the time after
    /// which a retry may be served.
    pub(super) fn unservable(&self, pending: &Pending) -> Option<(Reason, Span)> {
        let targets = self.targets.values();
        let mut targets = targets
            .filter(|target| target.entry.service == pending.request.service)
            .filter(|target| !target.is_leaving())
            .peekable();
        if targets.peek().is_none() {
            return Some((Reason::NoTarget, NO_TARGET_RETRY_AFTER));
        }
        let are_tried = targets.all(|target| pending.tried.contains(&target.entry.name));
        are_tried.then_some((Reason::Attempts, OVERLOAD_RETRY_AFTER))
    }

    /// Refuses the queued requests of a service that no target can serve.
    pub(super) fn refuse_unservable(
        &mut self,
        now: Time,
        service: &id::Service,
        out: &mut Vec<Action>,
    ) {
        let Some(queue) = self.queues.get(service) else {
            return;
        };
        let unservable = queue.iter().filter_map(|pending| {
            let cause = self.unservable(pending)?;
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
