//! Limits that targets named in their responses.

use super::{limit::Limit, reading::Reading};
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
    /// Records what a response said; returns whether the target's limit changed.
    pub(super) fn record(&mut self, target: u64, reading: Reading) -> bool {
        let Some(known) = self.known.get_mut(&target) else {
            let is_limited = reading.limit.is_some();
            if is_limited {
                self.known.insert(target, Limit::new(reading));
                self.yield_oldest();
            }
            return is_limited;
        };
        known.record(reading)
    }

    /// Counts a request that was sent to a target, if it has a limit.
    pub(super) fn count_send(&mut self, target: u64) {
        if let Some(limit) = self.known.get_mut(&target) {
            limit.sent += 1;
        }
    }

    /// Returns the limits in force, with the requests that were sent there since the last call.
    pub(super) fn take_sent(&mut self) -> impl Iterator<Item = (u64, Rate, u64)> {
        let known = self.known.iter_mut();
        known.filter_map(|(target, limit)| {
            let sent = std::mem::take(&mut limit.sent);
            Some((*target, limit.reading.limit?, sent))
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
