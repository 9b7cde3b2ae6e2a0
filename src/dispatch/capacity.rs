//! Capacity of the fleet's engines, estimated from what they are seen to do.
//!
//! For loads beyond the capacity: shares that are computed from a configured rate which engines
//! don't reach (because some crashed, are slow, or the figure is for a larger fleet) restrict nobody,
//! so that all workspaces wait behind the one that floods.

/// Percentage by which demand must exceed the granted tokens for the capacity to be lowered; what
/// is refused for other reasons doesn't lower it.
const MIN_UNMET_PERCENT: u64 = 10;
/// Fraction of the engines that are crowded above which the estimate falls.
const HIGH_PRESSURE: f64 = 0.75;
/// Ratio of the estimate after and before an observation above [`HIGH_PRESSURE`].
const DECREASE: f64 = 0.95;
/// Fractions of the engines that are crowded, in ascending order, and the ratio by which the estimate
/// rises below each: fast while most of the capacity is idle, as after an outage of all engines.
const INCREASES: [(f64, f64); 3] = [(0.25, 1.25), (0.5, 1.1), (HIGH_PRESSURE, 1.03)];
/// Minimum ratio of the estimate to the granted rate: engines do serve what is granted.
const MIN_RATIO: f64 = 0.85;
/// Minimum ratio of the estimate to the configured rate, so that it recovers within seconds.
const MIN_CONFIGURED_RATIO: f64 = 0.05;

/// What was seen of demand and engines in the most recent part of the window.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    /// Tokens that were requested per second.
    pub(super) requested_per_s: u64,
    /// Tokens that were granted per second.
    pub(super) granted_per_s: u64,
    /// Fraction of the engines where a typical generation could not be on time.
    pub(super) pressure: f64,
}

/// Capacity of the fleet's engines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    /// Configured tokens per second, the upper bound; `None` if no capacity is configured.
    configured: Option<u64>,
    /// Estimate in tokens per second; `None` while the configured rate applies.
    estimate: Option<f64>,
}

impl Capacity {
    /// Sets the configured tokens per second.
    pub(super) fn configure(&mut self, tokens_per_s: Option<u64>) {
        self.configured = tokens_per_s;
    }

    /// Returns the estimated tokens per second; `None` if no capacity is configured.
    pub(super) fn tokens_per_s(&self) -> Option<u64> {
        let configured = self.configured?;
        let estimate = self.estimate.map_or(configured, |estimate| estimate as u64);
        Some(estimate.min(configured).max(1))
    }

    /// Returns the estimate in tokens per second; `None` while the configured rate applies.
    pub(super) fn estimated(&self) -> Option<u64> {
        self.estimate.map(|estimate| estimate as u64)
    }

    /// Updates the estimate. While engines have no room and demand is unmet, it falls from what they
    /// are granted; while they have room, it rises up to the configured rate.
    pub(super) fn observe(&mut self, seen: Observation) {
        let Some(configured) = self.configured.map(|rate| rate as f64) else {
            return;
        };
        let granted = seen.granted_per_s as f64;
        let estimate = self.estimate.unwrap_or(configured);
        let is_unmet = seen.requested_per_s * 100 > seen.granted_per_s * (100 + MIN_UNMET_PERCENT);
        let estimate = if seen.pressure > HIGH_PRESSURE && is_unmet {
            (estimate.min(granted) * DECREASE).max(granted * MIN_RATIO)
        } else {
            let mut increases = INCREASES.iter();
            let increase = increases.find(|(below, _)| seen.pressure < *below);
            estimate * increase.map_or(1.0, |(_, ratio)| *ratio)
        };
        let estimate = estimate.max(configured * MIN_CONFIGURED_RATIO);
        self.estimate = Some(estimate).filter(|estimate| *estimate < configured);
    }
}
