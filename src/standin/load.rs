//! Load of an engine, reported late.

use crate::unit::{Span, Time};
use std::collections::VecDeque;

/// Load of an engine at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Places in the batch.
    pub slots: u32,
}

/// Load with the history that a late report needs.
#[derive(Debug)]
pub(super) struct Gauge {
    current: Load,
    lag: Span,
    /// Earlier loads with the time from which each held, oldest first.
    history: VecDeque<(Time, Load)>,
}

impl Gauge {
    pub(super) fn new(slots: u32, lag: Span) -> Self {
        let current = Load {
            slots,
            ..Load::default()
        };
        Self {
            current,
            lag,
            history: VecDeque::from([(Time(0), current)]),
        }
    }

    /// Changes the load.
    pub(super) fn update(&mut self, now: Time, change: impl FnOnce(&mut Load)) {
        change(&mut self.current);
        self.history.push_back((now, self.current));
        self.forget(now);
    }

    /// Returns the load as it was one lag ago.
    pub(super) fn report(&mut self, now: Time) -> Load {
        self.forget(now);
        self.history.front().map_or(self.current, |(_, load)| *load)
    }

    /// Forgets loads that no later report shows.
    fn forget(&mut self, now: Time) {
        while self.history.len() > 1 && self.history[1].0 + self.lag <= now {
            self.history.pop_front();
        }
    }
}
