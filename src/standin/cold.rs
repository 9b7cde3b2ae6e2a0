//! Warm-up of an engine stand-in, which crashes above a rate of requests meanwhile.

use crate::unit::{Span, Time};
use std::collections::VecDeque;

/// Time in which requests are counted.
const SECOND: Span = Span::from_secs(1);

/// Warm-up that an engine stand-in is told to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WarmUp {
    /// Time for which the engine is cold.
    pub duration: Span,
    /// Requests in a second above which it crashes.
    pub max_per_s: u32,
    /// Time for which it is gone after a crash.
    pub down: Span,
}

/// Warm-up of an engine stand-in.
#[derive(Debug, Default)]
pub(super) struct Cold {
    warm_up: Option<WarmUp>,
    until: Time,
    /// Times of the requests of the last second.
    arrivals: VecDeque<Time>,
}

impl Cold {
    /// Begins a warm-up.
    pub(super) fn begin(&mut self, now: Time, warm_up: WarmUp) {
        self.until = now + warm_up.duration;
        self.warm_up = Some(warm_up);
        self.arrivals.clear();
    }

    /// Returns the time for which the engine stays cold.
    pub(super) fn left(&self, now: Time) -> Span {
        self.until.since(now)
    }

    /// Counts a request; returns the warm-up if the engine crashes under it. The engine is cold again afterwards.
    pub(super) fn count(&mut self, now: Time) -> Option<WarmUp> {
        let warm_up = self.warm_up.filter(|_| now < self.until)?;
        self.arrivals.push_back(now);
        while self
            .arrivals
            .front()
            .is_some_and(|at| now.since(*at) >= SECOND)
        {
            self.arrivals.pop_front();
        }
        if self.arrivals.len() <= warm_up.max_per_s as usize {
            return None;
        }
        self.begin(now + warm_up.down, warm_up);
        Some(warm_up)
    }
}
