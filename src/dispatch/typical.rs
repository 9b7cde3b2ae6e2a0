//! Typical generation, from the requests that this router sent.

use super::{Estimate, Request};
use crate::unit::Span;

/// Weight of one request in the moving averages.
const ALPHA: f64 = 0.02;

/// Moving averages over generations.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Typical {
    /// Time within which the first event is on time, in microseconds.
    limit: f64,
    /// Prompt tokens that the target has to process.
    uncached_tokens: f64,
    /// A request was recorded.
    is_known: bool,
}

impl Typical {
    /// Records a generation that is sent to a target.
    pub(super) fn record(&mut self, request: &Request, estimate: &Estimate) {
        let limit = request.due.since(request.arrived).0 as f64;
        let uncached_tokens = estimate.uncached_tokens as f64;
        let alpha = if self.is_known { ALPHA } else { 1.0 };
        self.limit += alpha * (limit - self.limit);
        self.uncached_tokens += alpha * (uncached_tokens - self.uncached_tokens);
        self.is_known = true;
    }

    /// Returns the time within which the first event is on time; `None` before the first request.
    pub(super) fn limit(&self) -> Option<Span> {
        self.is_known.then_some(Span(self.limit as u64))
    }

    /// Returns the prompt tokens that the target has to process.
    pub(super) fn uncached_tokens(&self) -> u64 {
        self.uncached_tokens as u64
    }
}
