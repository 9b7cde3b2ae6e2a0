//! How often heartbeats are sent to whom.

use crate::{id, placement, unit::Span};

/// Time between heartbeats to a watcher.
pub(super) const WATCHED: Span = Span::from_millis(200);
/// Shortest time between heartbeats to any other router.
pub(super) const MIN_PERIOD: Span = Span::from_secs(1);
/// Time between heartbeats within the failure domain, per member: 11/s in all.
const DOMAIN_SHARE: Span = Span::from_millis(90);
/// Time between heartbeats to other failure domains, per member: 5/s in all.
const FLEET_SHARE: Span = Span::from_millis(200);
/// Part of a period by which a heartbeat may be early.
const JITTER: u64 = 8;
/// Odd multiplier that spreads successive numbers over all bits.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Periods that grow with the fleet, so that a router's traffic does not.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cadence {
    /// Time between heartbeats to a router of the own failure domain.
    pub(super) near: Span,
    /// Time between heartbeats to a router of another one.
    pub(super) far: Span,
}

impl Cadence {
    /// Returns the periods for numbers of other routers inside and outside the failure domain.
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

/// Returns a time a little below `period`, so that heartbeats to many peers do not fall together.
pub(super) fn early(period: Span, name: &id::Router, sequence: u64) -> Span {
    if period <= WATCHED {
        return period;
    }
    let random = placement::hash(name.as_str()) ^ sequence.wrapping_mul(SPREAD);
    Span(period.0 - random % (period.0 / JITTER + 1))
}
