//! What a router computes shares from.

use crate::unit::Span;

/// What a router computes shares from, as it knows the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Tokens per second of the fleet; `None` if no capacity is configured.
    pub capacity: Option<u64>,
    /// Tokens of a workspace's fair share in the window; `None` while all demand is met.
    pub share: Option<u64>,
    /// Fewest tokens granted to a workspace that was refused some; `None` if there is none.
    pub least_granted: Option<u64>,
    /// Fraction of the engines where a typical generation could not be on time.
    pub pressure: f64,
    /// Age of the oldest report of another router that is taken into account.
    pub view_age: Span,
    /// Known routers, including this one.
    pub routers: u32,
}
