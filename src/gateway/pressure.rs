//! Adaptive limit of concurrent requests, driven by CPU overload.
//!
//! The load balancer distributes clients by a hash, so that a small VM may get several times its
//! share. Requests above the limit are refused at once; the client's retry reaches another router.

use crate::unit::Span;

/// Timer lateness above which the CPU counts as overloaded. Timers of an idle router are late by 1
/// to 2 ms; streams tolerate pauses of some hundred milliseconds.
const HIGH: Span = Span::from_millis(40);
/// Timer lateness below which the limit may rise.
const LOW: Span = Span::from_millis(15);
/// Timer lateness from which one observation halves the limit; a lower one reduces it in
/// proportion.
const HALVING: Span = Span::from_millis(400);
/// Observations below [`LOW`] after which the limit rises by one.
const LOOKS_PER_RISE: u32 = 3;
/// Minimum of the limit.
const LEAST: u32 = 8;
/// Maximum distance of a rising limit above the requests in progress.
const AHEAD: u32 = 16;
/// Weight of one observation in the moving average of lateness, as a divisor.
const SMOOTH: u64 = 4;

/// Adaptive limit of concurrent requests.
#[derive(Clone, Debug)]
pub struct Pressure {
    late: Span,
    limit: u32,
    /// Observations below [`LOW`] since the limit was last reduced.
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
    /// Adjusts the limit to the lateness of a timer while `running` requests are in progress; to be
    /// called at each tick.
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

    /// Reports whether one more request may be admitted.
    pub fn admits(&self, running: u32) -> bool {
        running < self.limit
    }

    /// Returns the moving average of timer lateness.
    pub fn lateness(&self) -> Span {
        self.late
    }

    /// Returns the limit; `u32::MAX` until the first overload.
    pub fn limit(&self) -> u32 {
        self.limit
    }
}
