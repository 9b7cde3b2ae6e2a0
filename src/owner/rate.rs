//! Exponentially decaying event rate.

use crate::unit::{Span, Time};

/// Event rate as an exponentially weighted moving average.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    window: Span,
    updated_at: Time,
    count: f64,
}

impl Rate {
    /// Returns a rate of zero that decays with a time constant of `window`.
    pub fn new(window: Span) -> Self {
        Self {
            window,
            updated_at: Time(0),
            count: 0.0,
        }
    }

    /// Adds `amount` events.
    pub fn add(&mut self, now: Time, amount: f64) {
        self.count = self.decayed(now) + amount;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the events per second.
    pub fn per_second(&self, now: Time) -> f64 {
        self.decayed(now) / self.window.as_secs_f64()
    }

    fn decayed(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / self.window.as_secs_f64();
        self.count * (-age).exp()
    }
}
