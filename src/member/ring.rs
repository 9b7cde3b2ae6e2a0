//! Ring that determines which routers monitor each other.

use super::View;
use crate::{id, placement};

/// Routers ordered by the hash of their names, so that neighbours rarely share a rack.
#[derive(Debug, Default)]
pub(super) struct Ring(Vec<(u64, id::Router, id::Domain)>);

impl Ring {
    /// Returns the ring of the live routers.
    pub(super) fn of(view: &View) -> Self {
        let entry = |member: &super::Member| {
            let hash = placement::hash(member.router.as_str());
            (hash, member.router.clone(), member.domain.clone())
        };
        let mut ring: Vec<_> = view.iter().map(entry).collect();
        ring.sort();
        Self(ring)
    }

    /// Iterates over the routers of a failure domain that follow `router`, nearest first.
    pub(super) fn successors<'a>(
        &'a self,
        router: &id::Router,
        domain: &'a id::Domain,
    ) -> impl Iterator<Item = &'a id::Router> {
        let (preceding, following) = self.0.split_at(self.index_of(router));
        let others = following.iter().skip(1).chain(preceding);
        others
            .filter(move |(_, _, other)| other == domain)
            .map(|(_, router, _)| router)
    }

    /// Iterates over the routers of a failure domain that precede `router`, nearest first.
    pub(super) fn predecessors<'a>(
        &'a self,
        router: &id::Router,
        domain: &'a id::Domain,
    ) -> impl Iterator<Item = &'a id::Router> {
        let (preceding, following) = self.0.split_at(self.index_of(router));
        let others = preceding.iter().rev().chain(following.iter().skip(1).rev());
        others
            .filter(move |(_, _, other)| other == domain)
            .map(|(_, router, _)| router)
    }

    /// Returns the routers 1, 2, 4, 8, ... places after `router`, as in a Chord finger table.
    /// Following these from router to router reaches the whole ring.
    pub(super) fn fingers(&self, router: &id::Router) -> Vec<&id::Router> {
        let start = self.index_of(router);
        let steps = (0..usize::BITS).map(|bit| 1 << bit);
        let steps = steps.take_while(|step| *step < self.0.len());
        let indices = steps.map(|step| (start + step) % self.0.len());
        indices.map(|index| &self.0[index].1).collect()
    }

    /// Iterates over all failure domains.
    pub(super) fn domains(&self) -> impl Iterator<Item = &id::Domain> {
        let all: std::collections::BTreeSet<_> = self.0.iter().map(|entry| &entry.2).collect();
        all.into_iter()
    }

    /// Returns the index of a router; if it is not in the ring, the index of its successor.
    fn index_of(&self, router: &id::Router) -> usize {
        let hash = placement::hash(router.as_str());
        let index = self
            .0
            .partition_point(|entry| (entry.0, &entry.1) < (hash, router));
        if index < self.0.len() { index } else { 0 }
    }
}
