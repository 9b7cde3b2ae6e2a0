//! Limit of one target.

use super::reading::Reading;

/// Limit of one target, as far as responses told.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    /// The reading that applies.
    pub(super) reading: Reading,
    /// Requests sent there since this was last logged.
    pub(super) sent: u64,
}

impl Limit {
    pub(super) fn new(reading: Reading) -> Self {
        Self { reading, sent: 0 }
    }

    /// Records what a response said; returns whether the limit changed.
    pub(super) fn record(&mut self, reading: Reading) -> bool {
        if !reading.replaces(&self.reading) {
            return false;
        }
        let is_changed = self.reading.limit != reading.limit;
        self.reading = reading;
        is_changed
    }
}
