//! How fast a target works, learned from its answers.

use crate::unit::Span;

/// Prompt tokens that an engine reads in a millisecond, before any was measured. An engine of the
/// users' sheets reads 140; a first guess below that errs towards spreading.
const FIRST_GUESS_TOKENS_PER_MS: f64 = 120.0;
/// Time until the first event of a short prompt at an idle engine, before any was measured.
const FIRST_GUESS_BASE_MS: f64 = 60.0;
/// Time that a plain request takes, before any was measured.
const FIRST_GUESS_WORK_MS: f64 = 20.0;
/// Weight of one measurement in the moving average: about twenty requests replace a value.
const ALPHA: f64 = 0.05;
/// Fewest waiting tokens from which a reading rate is measured: less drowns in the base time.
const MIN_AHEAD_TOKENS: u64 = 6_000;
/// Most waiting tokens at which the base time is measured.
const MAX_BASE_TOKENS: u64 = 2_000;
/// Slowest and fastest rate that is believed, in tokens per millisecond.
const RATE_RANGE: (f64, f64) = (5.0, 2_000.0);

/// How fast a target works, learned from its answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    rate: f64,
    base_ms: f64,
    work_ms: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            rate: FIRST_GUESS_TOKENS_PER_MS,
            base_ms: FIRST_GUESS_BASE_MS,
            work_ms: FIRST_GUESS_WORK_MS,
        }
    }
}

impl Pace {
    /// Returns the time to read some tokens.
    pub(super) fn read(&self, tokens: u64) -> Span {
        Span((tokens as f64 / self.rate * 1e3) as u64)
    }

    /// Returns the time from the send to the first event when nothing is to be read.
    pub(super) fn base(&self) -> Span {
        Span((self.base_ms * 1e3) as u64)
    }

    /// Returns the time that a plain request takes.
    pub(super) fn work(&self) -> Span {
        Span((self.work_ms * 1e3) as u64)
    }

    /// Learns from a first event that came `elapsed` after the send, with `ahead` tokens to read.
    pub(super) fn learn_first(&mut self, elapsed: Span, ahead: u64) {
        let elapsed_ms = elapsed.as_secs_f64() * 1e3;
        if ahead <= MAX_BASE_TOKENS {
            let base = elapsed_ms - ahead as f64 / self.rate;
            self.base_ms = mix(self.base_ms, base.clamp(1.0, 1_000.0));
        } else if ahead >= MIN_AHEAD_TOKENS {
            let reading = (elapsed_ms - self.base_ms).max(1.0);
            let rate = (ahead as f64 / reading).clamp(RATE_RANGE.0, RATE_RANGE.1);
            // The mean of times, not of rates: one fast answer says little.
            self.rate = 1.0 / mix(1.0 / self.rate, 1.0 / rate);
        }
    }

    /// Learns from a plain request that was answered after `elapsed`.
    pub(super) fn learn_work(&mut self, elapsed: Span) {
        self.work_ms = mix(self.work_ms, elapsed.as_secs_f64() * 1e3);
    }
}

fn mix(old: f64, new: f64) -> f64 {
    old + ALPHA * (new - old)
}
