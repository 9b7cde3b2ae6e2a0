//! Suspicions that a router passes on.

use crate::{
    id,
    unit::{Span, Time},
};
use std::{cmp::Reverse, collections::BTreeMap};

/// Time for which a suspicion is told; within it every slow heartbeat of a failure domain carries it.
const TOLD_FOR: Span = Span::from_secs(6);
/// Suspicions of one heartbeat, the newest first; the datagram stays small.
const MAX_TOLD: usize = 6;

/// Suspicions that are told.
#[derive(Debug, Default)]
pub(super) struct Rumors(BTreeMap<id::Router, (Time, id::Incarnation)>);

impl Rumors {
    /// Tells from now on that a run is suspected.
    pub(super) fn add(&mut self, now: Time, router: &id::Router, incarnation: id::Incarnation) {
        let entry = (now + TOLD_FOR, incarnation);
        self.0.entry(router.clone()).or_insert(entry);
    }

    /// Ends a suspicion.
    pub(super) fn remove(&mut self, router: &id::Router) {
        self.0.remove(router);
    }

    /// Ends the suspicions that were told long enough.
    pub(super) fn expire(&mut self, now: Time) {
        self.0.retain(|_, (until, _)| *until > now);
    }

    /// Returns the newest suspicions.
    pub(super) fn newest(&self) -> Vec<(id::Router, id::Incarnation)> {
        let mut all: Vec<_> = self.0.iter().collect();
        all.sort_by_key(|(router, (until, _))| (Reverse(*until), *router));
        let newest = all.into_iter().take(MAX_TOLD);
        newest
            .map(|(router, (_, run))| (router.clone(), *run))
            .collect()
    }
}
