//! Rate limiter of the simulated platform.

use crate::unit::{Span, Time};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Token bucket whose burst is one second's worth of calls, implemented as a virtual clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bucket {
    /// Time until which the admitted calls use up the rate; at most a second ahead of now.
    used_until: Time,
}

impl Bucket {
    /// Admits one call, or returns the time until one can be admitted.
    pub(super) fn acquire(&mut self, now: Time, per_second: u32) -> Result<(), Span> {
        if per_second == 0 {
            return Err(Span(MICROS_PER_SECOND));
        }
        let interval = Span(MICROS_PER_SECOND / u64::from(per_second));
        let next = self.used_until.max(now) + interval;
        let ahead = next.since(now);
        if ahead > Span(MICROS_PER_SECOND) {
            return Err(Span(ahead.0 - MICROS_PER_SECOND));
        }
        self.used_until = next;
        Ok(())
    }
}
