//! Lengths of answers.

use rand_chacha::{ChaCha8Rng, rand_core::Rng};

/// Distribution of the length of answers, in tokens, or in milliseconds of a plain call.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Length {
    /// Always the same.
    Fixed(u64),
    /// Evenly between two lengths, both included.
    Uniform(u64, u64),
    /// Exponential with this mean, cut at ten times the mean.
    Exponential(u64),
}

/// Multiple of the mean at which an exponential length is cut; one in 22,000 is longer.
const EXPONENTIAL_CUT: f64 = 10.0;

impl Length {
    /// Draws a length; it is at least 1.
    pub fn draw(self, random: &mut ChaCha8Rng) -> u64 {
        let length = match self {
            Length::Fixed(length) => length,
            Length::Uniform(low, high) => {
                let width = high.saturating_sub(low) + 1;
                low + random.next_u64() % width
            }
            Length::Exponential(mean) => {
                let multiple = -(1.0 - unit(random)).ln();
                (mean as f64 * multiple.min(EXPONENTIAL_CUT)).round() as u64
            }
        };
        length.max(1)
    }
}

/// Draws a number from 0 up to but not including 1.
pub(super) fn unit(random: &mut ChaCha8Rng) -> f64 {
    (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}
