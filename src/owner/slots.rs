//! Slots of one target and the limit learned from its load reports.

use crate::unit::{Span, Time};

/// Pause after a decrease: load reports lag, so earlier ones still show the old load.
const SETTLE: Span = Span::from_secs(3);

/// Slots of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slots {
    /// Requests that the target may run at once, by configuration.
    pub max: u32,
    /// Requests that it may run at once, as learned.
    pub limit: u32,
    /// Requests granted and not yet done.
    pub running: u32,
    /// Time from which new work may be granted; `None` while the target is unfit.
    fit_from: Option<Time>,
    lowered: Option<Time>,
}

impl Slots {
    /// Returns free slots.
    pub fn new(max: u32) -> Self {
        Self {
            max,
            limit: max.max(1),
            running: 0,
            fit_from: Some(Time(0)),
            lowered: None,
        }
    }

    /// Takes a new configured number of slots.
    pub fn resize(&mut self, max: u32) {
        let full = self.limit == self.max;
        self.max = max.max(1);
        self.limit = if full {
            self.max
        } else {
            self.limit.min(self.max)
        };
    }

    /// Reports whether the target takes new work.
    pub fn is_fit(&self, now: Time) -> bool {
        self.fit_from.is_some_and(|from| from <= now)
    }

    /// Returns the number of slots that can be granted now.
    pub fn free(&self, now: Time) -> u32 {
        if !self.is_fit(now) {
            return 0;
        }
        self.limit.saturating_sub(self.running)
    }

    /// Stops new work until a time, or until `admit` when there is none.
    pub fn pause(&mut self, until: Option<Time>) {
        self.fit_from = until;
    }

    /// Stops new work for a while, unless it is stopped for longer.
    pub fn pause_for(&mut self, now: Time, span: Span) {
        self.fit_from = self.fit_from.map(|from| from.max(now + span));
    }

    /// Lets new work in.
    pub fn admit(&mut self) {
        self.fit_from = Some(Time(0));
    }

    /// Learns from a load report: additive increase, multiplicative decrease.
    ///
    /// A target that keeps requests waiting inside has more than it can run. One that is full
    /// without any waiting may take one more.
    pub fn learn(&mut self, now: Time, running: u32, waiting: u32) {
        if waiting > 0 {
            self.lower(now, running);
        } else if self.running >= self.limit && running >= self.limit {
            self.limit = (self.limit + 1).min(self.max);
        }
    }

    fn lower(&mut self, now: Time, running: u32) {
        let settling = self.lowered.is_some_and(|at| now.since(at) < SETTLE);
        if settling || self.running == 0 {
            return;
        }
        let decreased = self.limit - self.limit.div_ceil(4);
        let able = running.min(self.limit.saturating_sub(1));
        self.limit = decreased.max(able).max(1);
        self.lowered = Some(now);
    }
}
