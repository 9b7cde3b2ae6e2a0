//! Short waits of a free slot for work that is due earlier and on its way from another owner.

use crate::unit::{Span, Time};

/// Longest wait: a few times the way of a pull, a move and an ask.
const WAIT: Span = Span::from_millis(10);
/// Part of the slot-time that may be spent on waits; the rest keeps utilisation above 99 %.
const BUDGET_RATE: f64 = 0.005;
/// Slot-seconds that the budget holds at most.
const BUDGET_MAX: f64 = 0.1;

/// Wait of free slots, with the budget that bounds the slot-time lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    since: Option<Time>,
    /// Slot-seconds that may be spent.
    budget: f64,
    at: Time,
}

impl Hold {
    /// Returns a hold that is not on.
    pub(super) fn new() -> Self {
        Self {
            since: None,
            budget: BUDGET_MAX,
            at: Time(0),
        }
    }

    /// Returns the end of the wait.
    pub(super) fn until(&self) -> Option<Time> {
        self.since.map(|since| since + WAIT)
    }

    /// Starts a wait if the budget of `slots` slots allows it.
    pub(super) fn start(&mut self, now: Time, slots: u32) -> bool {
        let earned = now.since(self.at).as_secs_f64() * f64::from(slots) * BUDGET_RATE;
        self.budget = (self.budget + earned).min(BUDGET_MAX);
        self.at = now;
        let on = self.budget > 0.0;
        self.since = on.then_some(now);
        on
    }

    /// Ends a wait of `free` slots.
    pub(super) fn end(&mut self, now: Time, free: u32) {
        if let Some(since) = self.since.take() {
            self.budget -= now.since(since).as_secs_f64() * f64::from(free);
        }
    }
}
