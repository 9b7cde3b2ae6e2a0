//! Short hold of free slots while requests with lower levels are on their way from another owner.

use crate::unit::{Span, Time};

/// Longest hold: a few times the latency of a pull, the move that answers it and the new ask.
const MAX_HOLD: Span = Span::from_millis(10);
/// Fraction of the slot time that may be lost to holds; keeps utilisation above 99 %.
const BUDGET_FRACTION: f64 = 0.005;
/// Largest budget, in slot-seconds.
const MAX_BUDGET_SLOT_SECS: f64 = 0.1;

/// Hold of free slots, with a budget that bounds the slot time lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    started_at: Option<Time>,
    /// Slot-seconds that may still be lost.
    budget: f64,
    refilled_at: Time,
}

impl Hold {
    /// Returns an inactive hold with a full budget.
    pub(super) fn new() -> Self {
        Self {
            started_at: None,
            budget: MAX_BUDGET_SLOT_SECS,
            refilled_at: Time(0),
        }
    }

    /// Returns the end of the hold, if it is active.
    pub(super) fn until(&self) -> Option<Time> {
        self.started_at.map(|since| since + MAX_HOLD)
    }

    /// Starts a hold if the budget is not used up; it grows over time, in proportion to `slots`.
    pub(super) fn start(&mut self, now: Time, slots: u32) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * f64::from(slots) * BUDGET_FRACTION;
        self.budget = (self.budget + refill).min(MAX_BUDGET_SLOT_SECS);
        self.refilled_at = now;
        let allowed = self.budget > 0.0;
        self.started_at = allowed.then_some(now);
        allowed
    }

    /// Ends the hold and deducts the time that `free` slots were unused.
    pub(super) fn end(&mut self, now: Time, free: u32) {
        if let Some(since) = self.started_at.take() {
            self.budget -= now.since(since).as_secs_f64() * f64::from(free);
        }
    }
}
