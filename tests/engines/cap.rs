//! Limit that a simulated engine names.

use marlrun::unit::Rate;
use std::ops::Range;

/// Limit that a simulated engine names in its responses for some time, in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Cap {
    pub(crate) engine: usize,
    pub(crate) during: Range<u64>,
    pub(crate) limit: Rate,
}
