//! Trial of a part that is held back.

use crate::{gossip::Evidence, unit::Time};

/// Announced trial of a part that is held back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    pub(super) at: Time,
    /// Hash of the name of the router that announced it.
    pub(super) router: u64,
    /// Number of the trial, from 1 on; one less once it has shown no crash.
    pub(super) number: u32,
    /// A target answered the part since.
    pub(super) is_answered: bool,
}

impl Trial {
    /// Returns what other routers are told of it.
    pub(super) fn evidence(&self) -> Evidence {
        Evidence::Trial {
            router: self.router,
            number: self.number,
        }
    }
}
