//! Cost estimates corrected by history.

use crate::unit::Cost;

/// Share of the history that a new observation leaves in place.
const KEEP: f64 = 0.875;
/// Bounds of the correction factor, so that a few odd requests cannot void all hints.
const FACTOR_MAX: f64 = 64.0;

/// Ratio between the actual and the hinted cost of a workspace's requests to a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimator {
    hinted: f64,
    actual: f64,
}

impl Estimator {
    /// Returns the hint corrected by what earlier hints were worth; at least 1.
    pub fn correct(&self, hint: Cost) -> Cost {
        let corrected = hint.0 as f64 * self.factor();
        Cost((corrected.round() as u64).max(1))
    }

    /// Learns from a request that ran to its end.
    pub fn learn(&mut self, hint: Cost, actual: Cost) {
        self.hinted = self.hinted * KEEP + hint.0.max(1) as f64;
        self.actual = self.actual * KEEP + actual.0.max(1) as f64;
    }

    fn factor(&self) -> f64 {
        if self.hinted == 0.0 {
            return 1.0;
        }
        (self.actual / self.hinted).clamp(1.0 / FACTOR_MAX, FACTOR_MAX)
    }
}
