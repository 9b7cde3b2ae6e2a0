//! Speed of a target, estimated from its responses.

use crate::unit::Span;

/// Initial estimate of the prompt tokens that an engine processes in a millisecond. The platform's
/// engines are rated at 140; a lower estimate errs towards spreading requests.
const FIRST_GUESS_TOKENS_PER_MS: f64 = 120.0;
/// Initial estimate of the time until the first event of a short prompt at an idle engine.
const FIRST_GUESS_BASE_MS: f64 = 60.0;
/// Initial estimate of the time that a plain request takes.
const FIRST_GUESS_SERVICE_MS: f64 = 20.0;
/// Weight of one sample in the moving average: about twenty requests replace a value.
const ALPHA: f64 = 0.05;
/// Minimum number of tokens ahead for a sample of the prefill rate; with less, the base time
/// dominates.
const MIN_AHEAD_TOKENS: u64 = 6_000;
/// Maximum number of tokens ahead for a sample of the base time.
const MAX_BASE_TOKENS: u64 = 2_000;
/// Range of plausible prefill rates, in tokens per millisecond.
const RATE_RANGE: (f64, f64) = (5.0, 2_000.0);

/// Speed of a target, estimated from its responses.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speed {
    rate: f64,
    base_ms: f64,
    service_ms: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            rate: FIRST_GUESS_TOKENS_PER_MS,
            base_ms: FIRST_GUESS_BASE_MS,
            service_ms: FIRST_GUESS_SERVICE_MS,
        }
    }
}

impl Speed {
    /// Returns the time to process prompt tokens.
    pub(super) fn prefill_time(&self, tokens: u64) -> Span {
        Span((tokens as f64 / self.rate * 1e3) as u64)
    }

    /// Returns the time from sending a request to its first event, without prefill.
    pub(super) fn base_time(&self) -> Span {
        Span((self.base_ms * 1e3) as u64)
    }

    /// Returns the time that a plain request takes.
    pub(super) fn service_time(&self) -> Span {
        Span((self.service_ms * 1e3) as u64)
    }

    /// Updates the estimate with a first event that came `elapsed` after the request was sent, with
    /// `ahead` prompt tokens to process.
    pub(super) fn observe_first_event(&mut self, elapsed: Span, ahead: u64) {
        let elapsed_ms = elapsed.as_secs_f64() * 1e3;
        if ahead <= MAX_BASE_TOKENS {
            let base = elapsed_ms - ahead as f64 / self.rate;
            self.base_ms = moving_average(self.base_ms, base.clamp(1.0, 1_000.0));
        } else if ahead >= MIN_AHEAD_TOKENS {
            let prefill_ms = (elapsed_ms - self.base_ms).max(1.0);
            let rate = (ahead as f64 / prefill_ms).clamp(RATE_RANGE.0, RATE_RANGE.1);
            // Averages the time per token, not the rate, so that a single fast response has little
            // effect.
            self.rate = 1.0 / moving_average(1.0 / self.rate, 1.0 / rate);
        }
    }

    /// Updates the estimate with a plain request that was answered after `elapsed`.
    pub(super) fn observe_service_time(&mut self, elapsed: Span) {
        self.service_ms = moving_average(self.service_ms, elapsed.as_secs_f64() * 1e3);
    }
}

fn moving_average(old: f64, new: f64) -> f64 {
    old + ALPHA * (new - old)
}
