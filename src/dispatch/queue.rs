//! Requests of one service that wait for a target.

use super::Request;
use crate::{id, unit::Time};

/// A request that waits for a target.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) request: Request,
    /// Targets that it was sent to.
    pub(super) tried: Vec<id::Target>,
    /// How many of them could not be reached.
    pub(super) unsent: usize,
    /// A target may have run it.
    pub(super) ran: bool,
    /// Time at which it must be sent or refused.
    pub(super) until: Time,
}

/// Requests of one service that wait for a target: by rank, then by the time they are due.
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

    /// Takes a request by its number.
    pub(super) fn remove(&mut self, number: u64) -> Option<Waiting> {
        let found = |waiting: &Waiting| waiting.request.number == number;
        let at = self.waiting.iter().position(found)?;
        Some(self.waiting.remove(at))
    }

    /// Takes all requests that have to be refused by now.
    pub(super) fn expire(&mut self, now: Time) -> Vec<Waiting> {
        let (due, kept) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.until <= now);
        self.waiting = kept;
        due
    }

    /// Returns the order in which requests are tried: those that can be on time first.
    pub(super) fn order(&self, now: Time, most: usize) -> Vec<usize> {
        let late = |index: &usize| self.waiting[*index].request.due <= now;
        let all = 0..self.waiting.len();
        let on_time = all.clone().filter(|index| !late(index)).take(most);
        on_time.chain(all.filter(late).take(most)).collect()
    }
}
