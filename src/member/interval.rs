//! Intervals between heartbeats.

use crate::{id, placement, unit::Span};

/// Interval between heartbeats to a router that monitors this one.
pub(super) const MONITOR_INTERVAL: Span = Span::from_millis(200);
/// Minimum interval between heartbeats to any other router.
pub(super) const MIN_INTERVAL: Span = Span::from_secs(1);
/// Interval between heartbeats to the own failure domain, per member: 11/s in total.
const DOMAIN_INTERVAL_PER_MEMBER: Span = Span::from_millis(90);
/// Interval between heartbeats to other failure domains, per member: 5/s in total.
const FLEET_INTERVAL_PER_MEMBER: Span = Span::from_millis(200);
/// Divisor of an interval that gives its maximum jitter.
const JITTER_DIVISOR: u64 = 8;
/// Odd multiplier that spreads consecutive sequence numbers over all bits.
const SEQUENCE_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Heartbeat intervals that grow with the fleet, so that the traffic of each router does not.
#[derive(Clone, Copy, Debug)]
pub(super) struct Intervals {
    /// Interval between heartbeats to a router of the own failure domain.
    pub(super) in_domain: Span,
    /// Interval between heartbeats to a router of another failure domain.
    pub(super) cross_domain: Span,
}

impl Intervals {
    /// Returns the intervals for the numbers of other routers inside and outside the failure
    /// domain.
    pub(super) fn of(in_domain: usize, cross_domain: usize) -> Self {
        let interval = |per_member: Span, routers: usize| {
            let interval = per_member.0 * routers as u64;
            Span(interval.max(MIN_INTERVAL.0))
        };
        Self {
            in_domain: interval(DOMAIN_INTERVAL_PER_MEMBER, in_domain),
            cross_domain: interval(FLEET_INTERVAL_PER_MEMBER, cross_domain),
        }
    }
}

/// Shortens an interval by a pseudo-random jitter, so that heartbeats to many peers do not
/// coincide. Intervals to monitoring routers are left as they are.
pub(super) fn with_jitter(interval: Span, name: &id::Router, sequence: u64) -> Span {
    if interval <= MONITOR_INTERVAL {
        return interval;
    }
    let random = placement::hash(name.as_str()) ^ sequence.wrapping_mul(SEQUENCE_MULTIPLIER);
    Span(interval.0 - random % (interval.0 / JITTER_DIVISOR + 1))
}
