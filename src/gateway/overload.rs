//! Readiness of a router that is short of processor.

use crate::unit::{Span, Time};

/// Connections refused between two observations from which the router counts as overloaded.
const MIN_REFUSED: u64 = 40;
/// Time for which an overloaded router reports that it is not ready. The platform's load balancer
/// takes two seconds to notice, and sends the same callers back as soon as the router is ready
/// again.
const HOLD: Span = Span::from_secs(10);

/// What a router sees of its load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Connections refused unread since the last observation.
    pub refused: u64,
}

/// Decides while a router reports that it is not ready because it is overloaded.
///
/// For loads of which a router with little processor gets several times its part, because the balancer
/// assigns callers by a hash.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    until: Time,
}

impl Overload {
    /// Records the load since the last call; returns whether the router is to report that it is not ready.
    pub fn observe(&mut self, now: Time, load: &Load) -> bool {
        if load.refused >= MIN_REFUSED {
            self.until = now + HOLD;
        }
        now < self.until
    }
}
