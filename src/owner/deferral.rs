//! Short delay of grants while requests that go first are on their way from another owner.

use crate::unit::{Span, Time};

/// Longest delay: a few times the latency of a pull, the move that answers it and the new ask.
const MAX_DELAY: Span = Span::from_millis(10);
/// Fraction of the slot time that may be lost to delays; keeps utilisation above 99 %.
const BUDGET_FRACTION: f64 = 0.005;
/// Largest budget, in slot-seconds.
const MAX_BUDGET_SLOT_SECS: f64 = 0.1;

/// Delay of grants, with a budget that bounds the slot time lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deferral {
    started_at: Option<Time>,
    /// Slot-seconds that may still be lost.
    budget: f64,
    refilled_at: Time,
}

impl Deferral {
    /// Returns an inactive delay with a full budget.
    pub(super) fn new() -> Self {
        Self {
            started_at: None,
            budget: MAX_BUDGET_SLOT_SECS,
            refilled_at: Time(0),
        }
    }

    /// Returns the end of the delay, if one is active.
    pub(super) fn until(&self) -> Option<Time> {
        self.started_at.map(|since| since + MAX_DELAY)
    }

    /// Starts a delay if the budget is not used up; it grows over time, in proportion to `slots`.
    pub(super) fn start(&mut self, now: Time, slots: u32) -> bool {
        let earned = now.since(self.refilled_at).as_secs_f64() * f64::from(slots) * BUDGET_FRACTION;
        self.budget = (self.budget + earned).min(MAX_BUDGET_SLOT_SECS);
        self.refilled_at = now;
        let on = self.budget > 0.0;
        self.started_at = on.then_some(now);
        on
    }

    /// Ends the delay and deducts the time that `free` slots were unused.
    pub(super) fn end(&mut self, now: Time, free: u32) {
        if let Some(since) = self.started_at.take() {
            self.budget -= now.since(since).as_secs_f64() * f64::from(free);
        }
    }
}
