//! What other routers were last told of a part at a target.

use crate::gossip;

/// What other routers were last told of a part at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Announced {
    /// It was sent there.
    Sent,
    /// It was processed there.
    Prefilled,
    /// It was evicted there.
    Evicted,
}

impl Announced {
    /// Returns what an item says.
    pub(super) fn of(prefill: &gossip::Prefill) -> Self {
        match (prefill.evicted, prefill.prefilled) {
            (true, _) => Self::Evicted,
            (false, true) => Self::Prefilled,
            (false, false) => Self::Sent,
        }
    }

    /// Reports whether an item says more than what was told last.
    pub(super) fn is_exceeded_by(self, next: Self) -> bool {
        self != next && (self, next) != (Self::Prefilled, Self::Sent)
    }
}
