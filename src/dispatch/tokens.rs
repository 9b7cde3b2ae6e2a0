//! Requested and granted tokens.

use std::ops::AddAssign;

/// Requested and granted tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Tokens {
    pub(super) requested: u64,
    pub(super) granted: u64,
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        self.requested += other.requested;
        self.granted += other.granted;
    }
}
