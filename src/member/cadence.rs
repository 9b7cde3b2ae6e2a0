//! Intervals between heartbeats.

use crate::{id, placement, unit::Span};

/// Interval between heartbeats to a router that monitors this one.
pub(super) const WATCHED: Span = Span::from_millis(200);
/// Minimum interval between heartbeats to any other router.
pub(super) const MIN_PERIOD: Span = Span::from_secs(1);
/// Interval between heartbeats to the own failure domain, per member: 11/s in total.
const DOMAIN_SHARE: Span = Span::from_millis(90);
/// Interval between heartbeats to other failure domains, per member: 5/s in total.
const FLEET_SHARE: Span = Span::from_millis(200);
/// Divisor of an interval that gives its maximum jitter.
const JITTER: u64 = 8;
/// Odd multiplier that spreads consecutive sequence numbers over all bits.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Heartbeat intervals that grow with the fleet, so that the traffic of each router does not.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cadence {
    /// Interval between heartbeats to a router of the own failure domain.
    pub(super) near: Span,
    /// Interval between heartbeats to a router of another failure domain.
    pub(super) far: Span,
}

impl Cadence {
    /// Returns the intervals for the numbers of other routers inside and outside the failure domain.
    pub(super) fn of(near: usize, far: usize) -> Self {
        let period = |share: Span, routers: usize| {
            let period = share.0 * routers as u64;
            Span(period.max(MIN_PERIOD.0))
        };
        Self {
            near: period(DOMAIN_SHARE, near),
            far: period(FLEET_SHARE, far),
        }
    }
}

/// Shortens an interval by a pseudo-random jitter, so that heartbeats to many peers do not
/// coincide. Intervals to monitoring routers are left as they are.
pub(super) fn early(period: Span, name: &id::Router, sequence: u64) -> Span {
    if period <= WATCHED {
        return period;
    }
    let random = placement::hash(name.as_str()) ^ sequence.wrapping_mul(SPREAD);
    Span(period.0 - random % (period.0 / JITTER + 1))
}
