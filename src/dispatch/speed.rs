//! Speed of a target, estimated from its responses.

use super::meter::seconds;
use crate::unit::{Span, Time};

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

/// Time after the last sample from which an estimate is doubted.
const DOUBTED_AFTER: Span = Span::from_secs(1);
/// Time in which most of what a doubted estimate is worse than the best one is forgotten: a target that looks slow
/// gets no requests that would show otherwise.
const FORGET_SPAN: Span = Span::from_secs(5);
/// Ratio to the best estimate that a doubted one approaches: once it is the better one, a request tells.
const DOUBTED_RATIO: f64 = 0.97;

/// Speed of a target, estimated from its responses.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speed {
    rate: f64,
    base_ms: f64,
    service_ms: f64,
    /// Time of the last sample.
    sampled: Time,
    /// Time at which the estimate was last changed.
    changed: Time,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            rate: FIRST_GUESS_TOKENS_PER_MS,
            base_ms: FIRST_GUESS_BASE_MS,
            service_ms: FIRST_GUESS_SERVICE_MS,
            sampled: Time::default(),
            changed: Time::default(),
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

    /// Reports whether the estimate is doubted.
    pub(super) fn is_doubted(&self, now: Time) -> bool {
        now.since(self.sampled) >= DOUBTED_AFTER
    }

    /// Returns the better of two estimates in each respect.
    pub(super) fn best(self, other: Self) -> Self {
        Self {
            rate: self.rate.max(other.rate),
            base_ms: self.base_ms.min(other.base_ms),
            service_ms: self.service_ms.min(other.service_ms),
            ..self
        }
    }

    /// Brings a doubted estimate nearer to the best one of the same service.
    pub(super) fn forget(&mut self, now: Time, best: &Self) {
        let elapsed = now.since(self.changed.max(self.sampled + DOUBTED_AFTER));
        let kept = (-seconds(elapsed) / seconds(FORGET_SPAN)).exp();
        let nearer = |own: f64, best: f64| best + (own - best) * kept;
        let time_per_token = nearer(1.0 / self.rate, DOUBTED_RATIO / best.rate);
        self.rate = self.rate.max(1.0 / time_per_token);
        let base_ms = nearer(self.base_ms, DOUBTED_RATIO * best.base_ms);
        self.base_ms = self.base_ms.min(base_ms);
        let service_ms = nearer(self.service_ms, DOUBTED_RATIO * best.service_ms);
        self.service_ms = self.service_ms.min(service_ms);
        self.changed = now;
    }

    /// Updates the estimate with a first event that came `elapsed` after the request was sent, with
    /// `ahead` prompt tokens to process.
    pub(super) fn observe_first_event(&mut self, now: Time, elapsed: Span, ahead: u64) {
        self.sampled = now;
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
    pub(super) fn observe_service_time(&mut self, now: Time, elapsed: Span) {
        self.sampled = now;
        self.service_ms = moving_average(self.service_ms, elapsed.as_secs_f64() * 1e3);
    }
}

fn moving_average(old: f64, new: f64) -> f64 {
    old + ALPHA * (new - old)
}
