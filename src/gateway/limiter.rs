//! Adaptive limit of concurrent requests, driven by CPU overload.
//!
//! The platform's load balancer distributes callers by a hash, so that a small VM may get several
//! times its share. Requests above the limit are refused at once; the caller's retry reaches
//! another router.

use crate::unit::Span;

/// Timer lateness above which the CPU counts as overloaded. Timers of an idle router are late by 1
/// to 2 ms; streams tolerate pauses of some hundred milliseconds.
const OVERLOAD_LATENESS: Span = Span::from_millis(40);
/// Timer lateness below which the limit may rise.
const ON_TIME_LATENESS: Span = Span::from_millis(15);
/// Timer lateness from which one observation halves the limit; a lower one reduces it in
/// proportion.
const HALVING_LATENESS: Span = Span::from_millis(400);
/// Observations below [`ON_TIME_LATENESS`] after which the limit rises by one.
const OBSERVATIONS_PER_RISE: u32 = 3;
/// Minimum of the limit.
const MIN_LIMIT: u32 = 8;
/// Maximum distance of a rising limit above the requests in progress.
const MAX_HEADROOM: u32 = 16;
/// Weight of one observation in the moving average of lateness, as a divisor.
const SMOOTHING: u64 = 4;

/// Adaptive limit of concurrent requests.
#[derive(Clone, Debug)]
pub struct Limiter {
    lateness: Span,
    limit: u32,
    /// Observations below [`ON_TIME_LATENESS`] since the limit was last reduced.
    on_time: u32,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            lateness: Span(0),
            limit: u32::MAX,
            on_time: 0,
        }
    }
}

impl Limiter {
    /// Adjusts the limit to the lateness of a timer while `in_progress` requests are in progress;
    /// to be called at each tick.
    pub fn observe(&mut self, lateness: Span, in_progress: u32) {
        self.lateness = Span((self.lateness.0 * (SMOOTHING - 1) + lateness.0) / SMOOTHING);
        if self.lateness > OVERLOAD_LATENESS {
            let base = u64::from(self.limit.min(in_progress.max(MIN_LIMIT)));
            let reduction =
                base * self.lateness.0.min(HALVING_LATENESS.0) / (2 * HALVING_LATENESS.0);
            self.limit = u32::try_from(base - reduction)
                .unwrap_or(u32::MAX)
                .max(MIN_LIMIT);
            self.on_time = 0;
        } else if self.lateness < ON_TIME_LATENESS && self.limit != u32::MAX {
            self.on_time += 1;
            if self.on_time.is_multiple_of(OBSERVATIONS_PER_RISE)
                && self.limit < in_progress + MAX_HEADROOM
            {
                self.limit += 1;
            }
        }
    }

    /// Reports whether one more request may be admitted.
    pub fn admits(&self, in_progress: u32) -> bool {
        in_progress < self.limit
    }

    /// Returns the moving average of timer lateness.
    pub fn lateness(&self) -> Span {
        self.lateness
    }

    /// Returns the limit; `u32::MAX` until the first overload.
    pub fn limit(&self) -> u32 {
        self.limit
    }
}
