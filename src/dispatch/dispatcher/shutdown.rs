//! Requests at a router that is shutting down: those that may take longer than it has left are refused, so that
//! their callers turn to another router in time.

use super::{Dispatcher, Pending};
use crate::{
    dispatch::Action,
    id,
    unit::{Span, Time},
};

/// `Retry-After` of such a request; short because the retry reaches another router.
pub(super) const SHUTDOWN_RETRY_AFTER: Span = Span::from_millis(20);

impl Dispatcher {
    /// Records that requests which are in progress at a time will be cut.
    pub(super) fn begin_shutdown(&mut self, now: Time, at: Time, out: &mut Vec<Action>) {
        self.shutdown = Some(at);
        self.refuse_too_long(now, out);
    }

    /// Refuses the queued requests that can't end before the shutdown any more.
    pub(super) fn refuse_too_long(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.shutdown.is_none() {
            return;
        }
        let services: Vec<id::Service> = self.queues.keys().cloned().collect();
        for service in services {
            self.refuse_unservable(now, &service, out);
        }
    }

    /// Reports whether a request may be cut by the shutdown if its run begins after `lead`.
    ///
    /// A run that nothing is known of may take until the deadline. A request that may have run already is never
    /// too long: its caller can't be told that it wasn't, and an attempt may still succeed.
    pub(super) fn may_outlast_shutdown(&self, now: Time, pending: &Pending, lead: Span) -> bool {
        let Some(shutdown) = self.shutdown.filter(|_| !pending.may_have_run) else {
            return false;
        };
        let request = &pending.request;
        let longest = self.durations.longest(request);
        let end = longest.map_or(request.deadline, |longest| now + lead + longest);
        end.min(request.deadline) > shutdown
    }
}
