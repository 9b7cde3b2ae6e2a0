//! When requests arrive.

use super::length;
use crate::unit::Span;
use rand_chacha::ChaCha8Rng;

/// When requests arrive.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Arrival {
    /// Open loop: at random, this many a second, whatever becomes of the earlier ones.
    Rate(f64),
    /// Closed loop: this many callers, each of which sends its next request after an answer.
    Callers(u32),
}

impl Arrival {
    /// Draws the time between two requests of an open loop.
    pub(super) fn interval(rate: f64, random: &mut ChaCha8Rng) -> Span {
        let secs = -(1.0 - length::unit(random)).ln() / rate;
        Span((secs * 1e6) as u64)
    }
}
