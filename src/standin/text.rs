//! Answers of the engine stand-in, which follow from the request.

use sha2::{Digest, Sha256};
use std::fmt;

/// Text that a request leads to; every engine stand-in gives the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Text(u64);

impl Text {
    /// Returns the text for a model and the request's messages.
    pub fn of(model: &str, messages: &serde_json::Value) -> Self {
        let mut digest = Sha256::new();
        digest.update(model);
        digest.update([0]);
        digest.update(messages.to_string());
        let digest = digest.finalize();
        Self(digest.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b)))
    }

    /// Returns a token, counted from 1.
    pub fn token(self, number: u64) -> String {
        format!("{:06x} ", mix(self.0 ^ mix(number)) >> 40)
    }

    /// Returns the tokens from `first` to `last`, both included.
    pub fn range(self, first: u64, last: u64) -> String {
        (first..=last).map(|number| self.token(number)).collect()
    }
}

impl fmt::Display for Text {
    /// Writes the name under which engines count the runs that lead to the text.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Finalizer of SplitMix64.
fn mix(n: u64) -> u64 {
    let n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}
