//! Limit on the time that refusing requests takes.

use crate::unit::{Span, Time};

/// Part of the time that refusing may take, as a divisor.
const TIME_DIVISOR: f64 = 10.0;
/// Refusals that are saved up at most: a full listen backlog.
const MAX_SAVED: f64 = 512.0;
/// Refusals that are saved up before the listener opens again, so that callers are told when to come back.
const MIN_SAVED: f64 = 64.0;
/// Time that refusing a connection unread takes, until it is measured, in seconds.
const INITIAL_COST: f64 = 20e-6;
/// Minimum of that time: clocks may not tell such times apart.
const MIN_COST: f64 = 1e-6;
/// Weight of one measurement in the moving average of that time.
const COST_WEIGHT: f64 = 0.2;

/// Limits the time that refusing requests takes at a router that is at its limit.
///
/// For callers that come more often than the router can refuse them: without a limit, the requests that it
/// accepted get the processor that refusing leaves.
#[derive(Clone, Copy, Debug)]
pub struct Throttle {
    /// Refusals that may follow at once; negative if there were more.
    saved: f64,
    /// Moving average of the time that refusing a connection unread takes, in seconds.
    cost: f64,
    updated: Time,
}

impl Throttle {
    /// Opens a throttle with all that it can save up.
    pub fn open(now: Time) -> Self {
        Self {
            saved: MAX_SAVED,
            cost: INITIAL_COST,
            updated: now,
        }
    }

    /// Records connections that were refused unread, and the time that it took.
    pub fn record_unread(&mut self, now: Time, connections: u64, spent: Span) {
        let cost = seconds(spent) / connections.max(1) as f64;
        self.cost += COST_WEIGHT * (cost - self.cost);
        self.spend(now, connections as f64);
    }

    /// Records a request that was refused after it was read, which takes about as long as refusing its
    /// connection.
    pub fn record_read(&mut self, now: Time) {
        self.spend(now, 1.0);
    }

    /// Records the time that closing the listener took, which resets the connections that are waiting.
    pub fn record_closing(&mut self, now: Time, spent: Span) {
        self.spend(now, seconds(spent) / self.cost.max(MIN_COST));
    }

    /// Reports whether further refusals would take too much time.
    pub fn is_exhausted(&self) -> bool {
        self.saved < 1.0
    }

    /// Reports whether enough refusals are saved up to open the listener again.
    pub fn is_recovered(&mut self, now: Time) -> bool {
        self.spend(now, 0.0);
        self.saved >= MIN_SAVED
    }

    fn spend(&mut self, now: Time, refusals: f64) {
        let earned = seconds(now.since(self.updated)) / TIME_DIVISOR / self.cost.max(MIN_COST);
        self.updated = now;
        self.saved = (self.saved + earned - refusals).clamp(-MAX_SAVED, MAX_SAVED);
    }
}

fn seconds(span: Span) -> f64 {
    span.0 as f64 / 1e6
}
