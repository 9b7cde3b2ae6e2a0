//! Faults of simulated routers.

use std::ops::Range;

/// Fault of routers for some time, in milliseconds.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// A router is down, and starts without memory at the end.
    Down { router: usize, during: Range<u64> },
    /// A router stands still, and then goes on with what arrived meanwhile.
    Stopped { router: usize, during: Range<u64> },
    /// Routers and all others don't hear each other.
    Cut {
        routers: Range<usize>,
        during: Range<u64>,
    },
}

impl Fault {
    /// Reports whether a router answers no callers.
    pub(crate) fn is_out(&self, which: usize, now_ms: u64) -> bool {
        match self {
            Fault::Down { router, during } | Fault::Stopped { router, during } => {
                *router == which && during.contains(&now_ms)
            }
            Fault::Cut { .. } => false,
        }
    }

    /// Reports whether a router stands still.
    pub(crate) fn stops(&self, which: usize, now_ms: u64) -> bool {
        matches!(self, Fault::Stopped { router, during }
            if *router == which && during.contains(&now_ms))
    }

    /// Reports whether two routers don't hear each other.
    pub(crate) fn cuts(&self, one: usize, other: usize, now_ms: u64) -> bool {
        matches!(self, Fault::Cut { routers, during }
            if during.contains(&now_ms) && routers.contains(&one) != routers.contains(&other))
    }
}
