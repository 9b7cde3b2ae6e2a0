//! How many requests a router can carry with the processor that it has.
//!
//! Answers the load of callers that all reach the same router: the balancer spreads them by a hash,
//! and a small VM may get several times its part. Requests beyond what it can carry are refused at
//! once; a caller's next try reaches another router.

use crate::unit::Span;

/// Lateness of a timer from which the processor counts as overloaded. An idle router is late by a
/// millisecond or two; streams allow for pauses of some hundred.
const HIGH: Span = Span::from_millis(40);
/// Lateness up to which more requests may be taken.
const LOW: Span = Span::from_millis(15);
/// Lateness at which the limit halves at one look; less makes it fall by less.
const HALVING: Span = Span::from_millis(400);
/// Looks without lateness after which the limit rises by one.
const LOOKS_PER_RISE: u32 = 3;
/// Requests that a router carries at least.
const LEAST: u32 = 8;
/// Requests above those carried now up to which the limit may rise.
const AHEAD: u32 = 16;
/// Weight of one measurement of lateness in the moving average, as a divisor.
const SMOOTH: u64 = 4;

/// How many requests a router can carry with the processor that it has.
#[derive(Clone, Debug)]
pub struct Pressure {
    late: Span,
    limit: u32,
    /// Looks without lateness since the last fall.
    calm: u32,
}

impl Default for Pressure {
    fn default() -> Self {
        Self {
            late: Span(0),
            limit: u32::MAX,
            calm: 0,
        }
    }
}

impl Pressure {
    /// Takes the lateness of a timer while `running` requests are carried; called at each tick.
    pub fn look(&mut self, late: Span, running: u32) {
        self.late = Span((self.late.0 * (SMOOTH - 1) + late.0) / SMOOTH);
        if self.late > HIGH {
            let from = u64::from(self.limit.min(running.max(LEAST)));
            let fall = from * self.late.0.min(HALVING.0) / (2 * HALVING.0);
            self.limit = u32::try_from(from - fall).unwrap_or(u32::MAX).max(LEAST);
            self.calm = 0;
        } else if self.late < LOW && self.limit != u32::MAX {
            self.calm += 1;
            if self.calm.is_multiple_of(LOOKS_PER_RISE) && self.limit < running + AHEAD {
                self.limit += 1;
            }
        }
    }

    /// Reports whether one more request can be carried.
    pub fn admits(&self, running: u32) -> bool {
        running < self.limit
    }

    /// Returns the smoothed lateness of timers.
    pub fn lateness(&self) -> Span {
        self.late
    }

    /// Returns the limit of requests carried; `u32::MAX` while there is none.
    pub fn limit(&self) -> u32 {
        self.limit
    }
}
