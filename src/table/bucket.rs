//! Rate limit of a platform stand-in.

use crate::unit::{Span, Time};

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;

/// Token bucket that holds one second's worth of calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bucket {
    /// Point up to which the rate is used up; ahead of the present by at most a second.
    used_until: Time,
}

impl Bucket {
    /// Takes one call, or returns the time after which one can be taken.
    pub(super) fn take(&mut self, now: Time, per_second: u32) -> Result<(), Span> {
        if per_second == 0 {
            return Err(Span(SECOND));
        }
        let interval = Span(SECOND / u64::from(per_second));
        let next = self.used_until.max(now) + interval;
        let ahead = next.since(now);
        if ahead > Span(SECOND) {
            return Err(Span(ahead.0 - SECOND));
        }
        self.used_until = next;
        Ok(())
    }
}
