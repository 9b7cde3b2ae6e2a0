//! Requested and granted tokens.

use std::ops::AddAssign;

/// Requested and granted tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Count {
    pub(super) asked: u64,
    pub(super) granted: u64,
}

impl AddAssign for Count {
    fn add_assign(&mut self, other: Self) {
        self.asked += other.asked;
        self.granted += other.granted;
    }
}
