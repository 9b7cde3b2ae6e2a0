//! Slot-seconds that requests held.

use crate::load::probe::{Probe, Reading};

/// Slot-seconds held, of those there were.
#[derive(Clone, Copy, Default)]
pub(super) struct Held {
    pub(super) busy: f64,
    pub(super) capacity: f64,
}

impl Held {
    pub(super) fn between(probe: &Probe, first: &Reading, last: &Reading) -> Self {
        let busy = last.total.busy_micros - first.total.busy_micros;
        let passed = last.total.at_micros - first.total.at_micros;
        Self {
            busy: busy as f64 / 1e6,
            capacity: passed as f64 / 1e6 * f64::from(probe.slots),
        }
    }

    pub(super) fn add(&mut self, other: Held) {
        self.busy += other.busy;
        self.capacity += other.capacity;
    }

    pub(super) fn part(self) -> f64 {
        if self.capacity > 0.0 {
            self.busy / self.capacity
        } else {
            0.0
        }
    }
}
