//! Rate of events, averaged with exponentially decreasing weights.

use crate::unit::{Span, Time};

/// Rate of events, averaged with exponentially decreasing weights: unlike in a sliding window, a burst
/// doesn't leave the average all at once.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Meter {
    sum: f64,
    at: Time,
}

impl Meter {
    /// Adds an amount; the average goes back over about `span`.
    pub(super) fn add(&mut self, now: Time, span: Span, amount: u64) {
        self.add_sum(now, span, amount as f64);
    }

    /// Adds what a rate per second amounts to in some time.
    pub(super) fn add_rate(&mut self, now: Time, span: Span, rate: f64, elapsed: Span) {
        self.add_sum(now, span, rate * seconds(elapsed));
    }

    fn add_sum(&mut self, now: Time, span: Span, amount: f64) {
        self.sum = self.decayed(now, span) + amount;
        self.at = self.at.max(now);
    }

    /// Returns the rate per second.
    pub(super) fn rate(&self, now: Time, span: Span) -> f64 {
        self.decayed(now, span) / seconds(span)
    }

    fn decayed(&self, now: Time, span: Span) -> f64 {
        self.sum * (-seconds(now.since(self.at)) / seconds(span)).exp()
    }
}

/// Returns a span in seconds.
pub(super) fn seconds(span: Span) -> f64 {
    span.0 as f64 / 1e6
}
