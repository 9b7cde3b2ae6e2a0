//! Backoff before retries.

use crate::unit::Span;
use rand_chacha::{ChaCha8Rng, rand_core::Rng};

/// Exponential backoff with full jitter.
#[derive(Clone, Debug)]
pub(super) struct Backoff {
    base: Span,
    max: Span,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Returns a backoff whose first delay is below `base` and whose delays all stay below `max`.
    pub(super) fn new(base: Span, max: Span, random: ChaCha8Rng) -> Self {
        Self { base, max, random }
    }

    /// Returns a random delay before the next attempt, after `failures` failed attempts or refusals
    /// by owners.
    pub(super) fn delay(&mut self, failures: u32) -> Span {
        let doublings = failures.saturating_sub(1).min(u64::BITS - 1);
        let ceiling = self.base.0.saturating_mul(1 << doublings).min(self.max.0);
        Span(self.random.next_u64() % ceiling.max(1))
    }

    /// Returns a random seed for the selection of a target.
    pub(super) fn next_seed(&mut self) -> u64 {
        self.random.next_u64()
    }
}
