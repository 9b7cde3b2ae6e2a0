//! Correction of cost hints from the actual cost of earlier requests.

use crate::unit::Cost;

/// Decay factor of the history per observation.
const DECAY: f64 = 0.875;
/// Bound of the correction factor in both directions, so that a few outliers cannot make all hints
/// useless.
const MAX_FACTOR: f64 = 64.0;

/// Ratio of actual to hinted cost over a workspace's recent requests to a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimator {
    hinted: f64,
    actual: f64,
}

impl Estimator {
    /// Returns the hint times the ratio of actual to hinted cost; at least 1.
    pub fn correct(&self, hint: Cost) -> Cost {
        let corrected = hint.0 as f64 * self.factor();
        Cost((corrected.round() as u64).max(1))
    }

    /// Records the hint and the actual cost of a completed request.
    pub fn observe(&mut self, hint: Cost, actual: Cost) {
        self.hinted = self.hinted * DECAY + hint.0.max(1) as f64;
        self.actual = self.actual * DECAY + actual.0.max(1) as f64;
    }

    fn factor(&self) -> f64 {
        if self.hinted == 0.0 {
            return 1.0;
        }
        (self.actual / self.hinted).clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    }
}
