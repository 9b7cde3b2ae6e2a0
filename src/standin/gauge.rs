//! Load of a target, reported late, and its use over time.

use super::{load::Load, usage::Usage};
use crate::unit::{Span, Time};
use std::collections::VecDeque;

/// Load with the history that a late report needs.
#[derive(Debug)]
pub(super) struct Gauge {
    current: Load,
    lag: Span,
    /// Earlier loads with the time from which each held, oldest first.
    history: VecDeque<(Time, Load)>,
    usage: Usage,
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
            usage: Usage::default(),
        }
    }

    /// Changes the load.
    pub(super) fn update(&mut self, now: Time, change: impl FnOnce(&mut Load)) {
        self.usage = self.usage(now);
        change(&mut self.current);
        self.history.push_back((now, self.current));
        self.forget(now);
    }

    /// Returns the load as it was one lag ago.
    pub(super) fn report(&mut self, now: Time) -> Load {
        self.forget(now);
        self.history.front().map_or(self.current, |(_, load)| *load)
    }

    /// Returns the use up to now, without lag.
    pub(super) fn usage(&self, now: Time) -> Usage {
        let passed = now.since(self.usage.at).0;
        let held = u64::from(self.current.running) * passed;
        let waited = u64::from(self.current.waiting) * passed;
        Usage {
            at: self.usage.at.max(now),
            busy: Span(self.usage.busy.0 + held),
            queued: Span(self.usage.queued.0 + waited),
        }
    }

    /// Forgets loads that no later report shows.
    fn forget(&mut self, now: Time) {
        while self.history.len() > 1 && self.history[1].0 + self.lag <= now {
            self.history.pop_front();
        }
    }
}
