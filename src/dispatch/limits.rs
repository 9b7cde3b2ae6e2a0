//! Limits that targets named in their responses.

use super::{
    limit::{Limit, Source},
    quota::Quota,
    reading::Reading,
};
use crate::unit::{Rate, Span, Time};
use std::collections::HashMap;

/// Maximum number of targets with a known limit; more than the largest fleet has targets.
const MAX_LIMITS: usize = 4_096;
/// Time for which it is remembered that a target has no limit any more: responses from before, and reports
/// of them, are older by then.
const ENDED_RETENTION: Span = Span::from_secs(30);
/// Time for which a limit is remembered that no response has named again: longer than a target may be
/// missing from the list.
const RETENTION: Span = Span::from_secs(600);

/// Limits that targets named in their responses, by the hash of the target's name and start time.
#[derive(Clone, Debug, Default)]
pub(super) struct Limits {
    known: HashMap<u64, Limit>,
}

impl Limits {
    /// Returns the limit of a target, in requests per second of all routers together.
    pub(super) fn get(&self, target: u64) -> Option<Rate> {
        self.known.get(&target)?.reading.limit
    }

    /// Reports whether any target has a limit.
    pub(super) fn any(&self) -> bool {
        let mut known = self.known.values();
        known.any(|limit| limit.reading.limit.is_some())
    }

    /// Returns the limit of a target with the part of it that this router may use.
    pub(super) fn known(&self, target: u64) -> Option<(Rate, Quota)> {
        let known = self.known.get(&target)?;
        Some((known.reading.limit?, known.quota))
    }

    /// Returns all that is known, by target.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, &Limit)> {
        self.known.iter().map(|(target, limit)| (*target, limit))
    }

    /// Records what a response said; returns whether the target's limit changed.
    pub(super) fn record(&mut self, target: u64, reading: Reading, source: Source) -> bool {
        let Some(known) = self.known.get_mut(&target) else {
            let is_limited = reading.limit.is_some();
            if is_limited {
                self.known.insert(target, Limit::new(reading, source));
                self.yield_oldest();
            }
            return is_limited;
        };
        known.record(reading, source)
    }

    /// Sets the part of a target's limit that this router may use.
    pub(super) fn set_quota(&mut self, target: u64, quota: Quota) {
        if let Some(limit) = self.known.get_mut(&target) {
            limit.quota = quota;
        }
    }

    /// Takes back the parts that the router which this one followed gave it.
    pub(super) fn clear_quotas(&mut self) {
        let known = self.known.values_mut();
        known.for_each(|limit| limit.quota = Quota::default());
    }

    /// Counts a request that was sent to a target, if it has a limit.
    pub(super) fn count_send(&mut self, target: u64) {
        if let Some(limit) = self.known.get_mut(&target) {
            limit.sent += 1;
        }
    }

    /// Returns the limits in force with this router's parts, and the requests that it sent there since the last
    /// call.
    pub(super) fn take_sent(&mut self) -> impl Iterator<Item = (u64, Rate, Quota, u64)> {
        let known = self.known.iter_mut();
        known.filter_map(|(target, limit)| {
            let sent = std::mem::take(&mut limit.sent);
            Some((*target, limit.reading.limit?, limit.quota, sent))
        })
    }

    /// Forgets what was read too long ago.
    pub(super) fn expire(&mut self, now: Time) {
        self.known.retain(|_, limit| {
            let retention = match limit.reading.limit {
                Some(_) => RETENTION,
                None => ENDED_RETENTION,
            };
            now.since(limit.reading.received) < retention
        });
    }

    fn yield_oldest(&mut self) {
        if self.known.len() <= MAX_LIMITS {
            return;
        }
        let oldest = self.known.iter().min_by_key(|(_, l)| l.reading.received);
        let oldest = oldest.map(|(target, _)| *target);
        oldest.and_then(|target| self.known.remove(&target));
    }
}
