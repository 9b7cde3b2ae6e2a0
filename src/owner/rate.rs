//! Event rates that forget.

use crate::unit::{Span, Time};

/// Exponentially decaying count of events.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    window: Span,
    at: Time,
    count: f64,
}

impl Rate {
    /// Returns a rate that forgets with a time constant of `window`.
    pub fn new(window: Span) -> Self {
        Self {
            window,
            at: Time(0),
            count: 0.0,
        }
    }

    /// Counts events worth `amount`.
    pub fn add(&mut self, now: Time, amount: f64) {
        self.count = self.decayed(now) + amount;
        self.at = self.at.max(now);
    }

    /// Returns the amount per second.
    pub fn per_second(&self, now: Time) -> f64 {
        self.decayed(now) / self.window.as_secs_f64()
    }

    fn decayed(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64() / self.window.as_secs_f64();
        self.count * (-age).exp()
    }
}
