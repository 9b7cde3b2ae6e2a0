//! Percentiles of times.

use crate::unit::Span;
use hdrhistogram::Histogram;

/// Percentiles of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Latency {
    /// Number of times.
    pub count: u64,
    /// Mean.
    pub mean_ms: f64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest.
    pub max_ms: f64,
}

/// Times that are gathered.
#[derive(Clone, Debug)]
pub(super) struct Times(Histogram<u64>);

/// Significant digits kept of each time.
const DIGITS: u8 = 3;

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new(DIGITS);
        Self(histogram.expect("three significant digits are allowed"))
    }
}

impl Times {
    pub(super) fn add(&mut self, span: Span) {
        // An automatically growing histogram takes every value.
        let _ = self.0.record(span.0);
    }

    pub(super) fn merge(&mut self, other: &Times) {
        let _ = self.0.add(&other.0);
    }

    pub(super) fn latency(&self) -> Latency {
        let millis = |micros: u64| micros as f64 / 1e3;
        Latency {
            count: self.0.len(),
            mean_ms: self.0.mean() / 1e3,
            p50_ms: millis(self.0.value_at_quantile(0.5)),
            p95_ms: millis(self.0.value_at_quantile(0.95)),
            p99_ms: millis(self.0.value_at_quantile(0.99)),
            max_ms: millis(self.0.max()),
        }
    }
}
