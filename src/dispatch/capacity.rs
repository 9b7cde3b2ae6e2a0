//! Capacity of the fleet's engines, estimated from what they are seen to do.
//!
//! For loads beyond the capacity: shares that are computed from a configured rate which engines
//! don't reach (because some crashed, are slow, or the figure is for a larger fleet) restrict nobody,
//! so that all workspaces wait behind the one that floods. Where engines serve more than the configured
//! rate, because they have cached parts of prompts, shares that don't follow leave it to chance who gets
//! the rest.
//!
//! The estimate follows from what all routers know in the same way, and hardly from earlier estimates:
//! routers that integrate small differences drift apart, and a workspace whose callers reach one
//! router gets that one's share.

/// Percentage by which demand must exceed the granted tokens for the capacity to be lowered; what
/// is refused for other reasons doesn't lower it.
const MIN_UNMET_PERCENT: u64 = 10;
/// Ratio of the estimate to the granted rate by the fraction of the engines that are crowded, between which
/// it is interpolated, while the estimate is below the configured rate.
const RATIOS_BELOW: [(f64, f64); 2] = [(0.7, 1.0), (1.0, 0.7)];
/// The same above the configured rate. It grows only while most engines have room, since workspaces within
/// their shares need it.
const RATIOS_ABOVE: [(f64, f64); 3] = [(0.1, 1.2), (0.4, 1.0), (0.9, 0.8)];
/// Part of the configured rate that applies at least, by the fraction of the engines that are crowded.
const CONFIGURED: [(f64, f64); 2] = [(0.65, 1.0), (0.85, 0.0)];
/// Minimum ratio of the estimate to the configured rate, so that it recovers within seconds.
const MIN_CONFIGURED_RATIO: f64 = 0.05;
/// Weight of an observation in the moving average of the crowded fraction.
const PRESSURE_WEIGHT: f64 = 0.5;

/// What was seen of demand and engines a moment ago.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    /// Tokens that were requested per second.
    pub(super) requested_per_s: f64,
    /// Tokens that were granted per second.
    pub(super) granted_per_s: f64,
    /// Fraction of the engines where a typical generation could not be on time.
    pub(super) pressure: f64,
    /// Fraction of what is above the configured rate that is shared out.
    pub(super) shared: f64,
}

/// Capacity of the fleet's engines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    /// Configured tokens per second; `None` if no capacity is configured.
    configured: Option<u64>,
    /// Moving average of the fraction of the engines that are crowded.
    pressure: f64,
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
        Some(estimate.max(1))
    }

    /// Returns the lower one of the estimate and the configured tokens per second.
    pub(super) fn guaranteed(&self) -> Option<u64> {
        let configured = self.configured?;
        Some(self.tokens_per_s()?.min(configured.max(1)))
    }

    /// Returns the estimate in tokens per second; `None` while the configured rate applies.
    pub(super) fn estimated(&self) -> Option<u64> {
        self.estimate.map(|estimate| estimate as u64)
    }

    /// Updates the estimate: near what is granted while demand is unmet, and above it while engines have
    /// room.
    pub(super) fn observe(&mut self, seen: Observation) {
        let Some(configured) = self.configured.map(|rate| rate as f64) else {
            return;
        };
        self.pressure += PRESSURE_WEIGHT * (seen.pressure - self.pressure);
        let granted = seen.granted_per_s;
        let unmet_from = granted * (100 + MIN_UNMET_PERCENT) as f64 / 100.0;
        let estimate = if seen.requested_per_s > unmet_from {
            let below = granted * interpolate(&RATIOS_BELOW, self.pressure);
            let usable = configured * interpolate(&CONFIGURED, self.pressure);
            let above = granted * interpolate(&RATIOS_ABOVE, self.pressure) - configured;
            below.max(usable).min(configured) + above.max(0.0) * seen.shared
        } else {
            configured
        };
        let estimate = estimate.max(configured * MIN_CONFIGURED_RATIO);
        self.estimate = Some(estimate).filter(|estimate| *estimate != configured);
    }
}

/// Returns the value at `x` on the line through points with ascending coordinates, constant beyond them.
fn interpolate(points: &[(f64, f64)], x: f64) -> f64 {
    let mut pairs = points.windows(2);
    let Some(pair) = pairs.find(|pair| x < pair[1].0) else {
        return points.last().map_or(1.0, |point| point.1);
    };
    let ((x0, y0), (x1, y1)) = (pair[0], pair[1]);
    y0 + (y1 - y0) * ((x - x0) / (x1 - x0)).max(0.0)
}
