//! Routers among which the turns at cold targets are divided.

use crate::{
    id,
    placement::{hash, mix},
    unit::{Span, Time},
};
use std::collections::BTreeMap;

/// Time for which a router counts that is not listed any more, or that was heard before it was listed: longer than
/// the lists of two routers differ, except while the platform is down.
const RETENTION: Span = Span::from_secs(30);
/// Maximum number of routers that are not listed; more than the largest fleet replaces in that time.
const MAX_UNLISTED: usize = 1_024;

/// Routers among which the turns at cold targets are divided: those that are listed, or were a moment ago. Whether
/// they are heard doesn't matter, since those that are cut off go on with their turns.
#[derive(Clone, Debug, Default)]
pub(super) struct Listing {
    /// Hash of the name of each router, with the time until which it counts; `None` while it is listed.
    known: BTreeMap<u64, Option<Time>>,
    is_read: bool,
}

impl Listing {
    /// Sets the listed routers.
    pub(super) fn set(&mut self, now: Time, listed: &[id::Router]) {
        self.is_read = true;
        for until in self.known.values_mut() {
            until.get_or_insert(now + RETENTION);
        }
        let listed = listed.iter().map(|router| (hash(router.as_str()), None));
        self.known.extend(listed);
    }

    /// Records a router that was heard; returns whether it was unknown.
    pub(super) fn record_heard(&mut self, now: Time, router: &id::Router) -> bool {
        let key = hash(router.as_str());
        let until = now + RETENTION;
        if let Some(known) = self.known.get_mut(&key) {
            *known = known.map(|known| known.max(until));
            return false;
        }
        let unlisted = self.known.values().filter(|until| until.is_some());
        if unlisted.count() >= MAX_UNLISTED {
            return false;
        }
        self.known.insert(key, Some(until));
        true
    }

    /// Forgets routers that are not listed any more; returns whether there were any.
    pub(super) fn expire(&mut self, now: Time) -> bool {
        let before = self.known.len();
        self.known
            .retain(|_, until| until.is_none_or(|until| until > now));
        self.known.len() != before
    }

    /// Returns the rank of this router for a target, from 0, among a number of routers that includes it; no rank before
    /// the list was read.
    pub(super) fn rank(&self, own: u64, target: u64) -> (Option<usize>, usize) {
        let score = |router: u64| (mix(target ^ mix(router)), router);
        let others = self.known.keys().filter(|router| **router != own);
        let own_score = score(own);
        let before = others.clone().filter(|router| score(**router) > own_score);
        let rank = self.is_read.then(|| before.count());
        (rank, others.count() + 1)
    }
}
