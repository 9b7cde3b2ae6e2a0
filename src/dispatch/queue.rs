//! Queue of the requests of one service.

use super::Request;
use crate::{id, unit::Time};

/// A queued request.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) request: Request,
    /// Targets that it was sent to already.
    pub(super) tried: Vec<id::Target>,
    /// Number of those that could not be reached.
    pub(super) unsent: usize,
    /// One of those targets may have run it.
    pub(super) ran: bool,
    /// Time at which it is refused if it has not been sent.
    pub(super) until: Time,
}

/// Queue of the requests of one service, ordered by rank, then by due time.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let key = |waiting: &Waiting| (waiting.request.rank, waiting.request.due);
        let at = self
            .waiting
            .partition_point(|other| key(other) <= key(&waiting));
        self.waiting.insert(at, waiting);
    }

    pub(super) fn get(&self, index: usize) -> Option<&Waiting> {
        self.waiting.get(index)
    }

    /// Removes a request by its number.
    pub(super) fn remove(&mut self, number: u64) -> Option<Waiting> {
        let found = |waiting: &Waiting| waiting.request.number == number;
        let at = self.waiting.iter().position(found)?;
        Some(self.waiting.remove(at))
    }

    /// Removes all requests whose queueing time is over.
    pub(super) fn expire(&mut self, now: Time) -> Vec<Waiting> {
        let (due, kept) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.until <= now);
        self.waiting = kept;
        due
    }

    /// Returns the indices of the requests to try, in order: up to `most` that can still be on
    /// time, then up to `most` that are late.
    pub(super) fn order(&self, now: Time, most: usize) -> Vec<usize> {
        let late = |index: &usize| self.waiting[*index].request.due <= now;
        let all = 0..self.waiting.len();
        let on_time = all.clone().filter(|index| !late(index)).take(most);
        on_time.chain(all.filter(late).take(most)).collect()
    }
}
