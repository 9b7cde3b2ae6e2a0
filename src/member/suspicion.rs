//! Suspicions that a router sends to its peers.

use crate::{
    id,
    unit::{Span, Time},
};
use std::{cmp::Reverse, collections::BTreeMap};

/// Time for which heartbeats carry a suspicion. As long as the heartbeat interval within the
/// failure domain is shorter, each peer there gets at least one heartbeat in this time.
const SUSPICION_LIFETIME: Span = Span::from_secs(6);
/// Maximum number of suspicions in one heartbeat, to keep the datagram small.
const MAX_SUSPICIONS: usize = 6;

/// Suspected incarnations, with the end of the time for which heartbeats carry them.
#[derive(Debug, Default)]
pub(super) struct Suspicions(BTreeMap<id::Router, (Time, id::Incarnation)>);

impl Suspicions {
    /// Adds a suspicion of an incarnation, unless the router is already suspected.
    pub(super) fn add(&mut self, now: Time, router: &id::Router, incarnation: id::Incarnation) {
        let entry = (now + SUSPICION_LIFETIME, incarnation);
        self.0.entry(router.clone()).or_insert(entry);
    }

    /// Removes the suspicion of a router.
    pub(super) fn remove(&mut self, router: &id::Router) {
        self.0.remove(router);
    }

    /// Removes the suspicions whose time is over.
    pub(super) fn expire(&mut self, now: Time) {
        self.0.retain(|_, (expires, _)| *expires > now);
    }

    /// Returns the suspicions for one heartbeat, the newest first.
    pub(super) fn newest(&self) -> Vec<(id::Router, id::Incarnation)> {
        let mut all: Vec<_> = self.0.iter().collect();
        all.sort_by_key(|(router, (expires, _))| (Reverse(*expires), *router));
        let newest = all.into_iter().take(MAX_SUSPICIONS);
        newest
            .map(|(router, (_, incarnation))| (router.clone(), *incarnation))
            .collect()
    }
}
