//! Queue of the requests of one service.

use super::Request;
use crate::{id, unit::Time};
use std::collections::HashMap;

/// A queued request.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) request: Request,
    /// Targets that it was sent to already.
    pub(super) tried: Vec<id::Target>,
    /// Number of those that could not be reached.
    pub(super) unsent: usize,
    /// One of those targets may have run it.
    pub(super) may_have_run: bool,
    /// It is sent although a part of its prompt is held back.
    pub(super) is_trial: bool,
    /// Time at which it is refused if it has not been sent.
    pub(super) expires: Time,
}

/// Queue of the requests of one service, ordered by priority, then by due time.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    pending: Vec<Pending>,
    /// Number of those that need a certain build.
    bound: usize,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }

    pub(super) fn push(&mut self, pending: Pending) {
        let key = |pending: &Pending| (pending.request.priority, pending.request.due);
        let index = self
            .pending
            .partition_point(|other| key(other) <= key(&pending));
        self.bound += usize::from(pending.request.build.is_some());
        self.pending.insert(index, pending);
    }

    /// Returns the number of requests that go before another one.
    pub(super) fn ahead_of(&self, request: &Request) -> usize {
        let key = |request: &Request| (request.priority, request.due);
        self.pending
            .partition_point(|other| key(&other.request) <= key(request))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Pending> {
        self.pending.iter()
    }

    pub(super) fn get(&self, index: usize) -> Option<&Pending> {
        self.pending.get(index)
    }

    /// Removes a request by its number.
    pub(super) fn remove(&mut self, number: u64) -> Option<Pending> {
        let is_wanted = |pending: &Pending| pending.request.number == number;
        let index = self.pending.iter().position(is_wanted)?;
        let removed = self.pending.remove(index);
        self.bound -= usize::from(removed.request.build.is_some());
        Some(removed)
    }

    /// Removes all requests whose queueing time is over.
    pub(super) fn expire(&mut self, now: Time) -> Vec<Pending> {
        let (due, kept) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| pending.expires <= now);
        self.pending = kept;
        let bound = self.pending.iter().filter(|p| p.request.build.is_some());
        self.bound = bound.count();
        due
    }

    /// Returns the indices of the requests to try, in order: up to `limit` that can still be on
    /// time, then up to `limit` that are late. The limits are those of each build that requests need,
    /// so that ones that wait for a full build don't hold up others.
    pub(super) fn order(&self, now: Time, limit: usize) -> Vec<usize> {
        let late = |index: &usize| self.pending[*index].request.due <= now;
        let all = 0..self.pending.len();
        let on_time = self.first_of_each_build(all.clone().filter(|index| !late(index)), limit);
        let late = self.first_of_each_build(all.filter(late), limit);
        [on_time, late].concat()
    }

    fn first_of_each_build(
        &self,
        indices: impl Iterator<Item = usize>,
        limit: usize,
    ) -> Vec<usize> {
        if self.bound == 0 {
            return indices.take(limit).collect();
        }
        let mut counts: HashMap<Option<&id::Build>, usize> = HashMap::new();
        let is_first = |index: &usize| {
            let build = self.pending[*index].request.build.as_ref();
            let count = counts.entry(build).or_default();
            *count += 1;
            *count <= limit
        };
        indices.filter(is_first).collect()
    }
}
