//! Concurrency slots of one target, with a limit adapted to its load reports.

use crate::unit::{Span, Time};

/// Shortest time between two decreases. Load reports lag, so those that follow a decrease still
/// show the load from before it.
const DECREASE_INTERVAL: Span = Span::from_secs(3);

/// Concurrency slots of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slots {
    /// Configured number of requests that the target may run at once.
    pub max: u32,
    /// Current limit, adapted to the load reports; at most `max`.
    pub limit: u32,
    /// Number of requests that were granted and have not ended.
    pub running: u32,
    /// Time from which slots may be granted; `None` while the target is paused indefinitely.
    available_from: Option<Time>,
    decreased_at: Option<Time>,
}

impl Slots {
    /// Returns `max` free slots, at least one.
    pub fn new(max: u32) -> Self {
        Self {
            max,
            limit: max.max(1),
            running: 0,
            available_from: Some(Time(0)),
            decreased_at: None,
        }
    }

    /// Changes the configured number of slots.
    pub fn resize(&mut self, max: u32) {
        let full = self.limit == self.max;
        self.max = max.max(1);
        self.limit = if full {
            self.max
        } else {
            self.limit.min(self.max)
        };
    }

    /// Reports whether the target accepts requests.
    pub fn is_available(&self, now: Time) -> bool {
        self.available_from.is_some_and(|from| from <= now)
    }

    /// Returns the number of slots that can be granted now.
    pub fn free(&self, now: Time) -> u32 {
        if !self.is_available(now) {
            return 0;
        }
        self.limit.saturating_sub(self.running)
    }

    /// Stops grants until a time, or until `resume` if there is none.
    pub fn pause(&mut self, until: Option<Time>) {
        self.available_from = until;
    }

    /// Stops grants for a time, unless they are already stopped for longer.
    pub fn pause_for(&mut self, now: Time, span: Span) {
        self.available_from = self.available_from.map(|from| from.max(now + span));
    }

    /// Allows grants again.
    pub fn resume(&mut self) {
        self.available_from = Some(Time(0));
    }

    /// Adapts the limit to a load report by additive increase and multiplicative decrease.
    ///
    /// If the target queues requests internally, the limit is too high. If all slots are in use and
    /// the target queues nothing, the limit grows by one.
    pub fn adapt(&mut self, now: Time, running: u32, waiting: u32) {
        if waiting > 0 {
            self.decrease(now, running);
        } else if self.running >= self.limit && running >= self.limit {
            self.limit = (self.limit + 1).min(self.max);
        }
    }

    fn decrease(&mut self, now: Time, running: u32) {
        let recently_decreased = self
            .decreased_at
            .is_some_and(|at| now.since(at) < DECREASE_INTERVAL);
        if recently_decreased || self.running == 0 {
            return;
        }
        let decreased = self.limit - self.limit.div_ceil(4);
        let sustained = running.min(self.limit.saturating_sub(1));
        self.limit = decreased.max(sustained).max(1);
        self.decreased_at = Some(now);
    }
}
