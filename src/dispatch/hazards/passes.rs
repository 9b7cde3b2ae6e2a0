//! Parts of prompts that targets answered lately.

use crate::unit::{Span, Time};
use std::collections::{HashMap, VecDeque};

/// Time for which passes are remembered.
const RETENTION: Span = Span::from_secs(60);
/// Maximum number of passes that are remembered: two a request, of a minute of the largest fleet's
/// busiest router. The oldest are forgotten first.
const MAX_PASSES: usize = 1 << 16;

/// Last time at which a target of a software answered a request with a part, by both.
#[derive(Clone, Debug, Default)]
pub(super) struct Passes {
    last: HashMap<(u64, u64), Time>,
    /// Oldest first; pairs that passed again have several entries.
    recorded: VecDeque<(Time, (u64, u64))>,
}

impl Passes {
    /// Records that a target of a software answered a request with a part.
    pub(super) fn record(&mut self, at: Time, part: u64, software: u64) {
        let pair = (part, software);
        if self.last.get(&pair).is_some_and(|last| *last >= at) {
            return;
        }
        self.last.insert(pair, at);
        self.recorded.push_back((at, pair));
        if self.recorded.len() > MAX_PASSES {
            self.forget_oldest();
        }
    }

    /// Returns the last time at which a target of a software answered a request with a part.
    pub(super) fn last(&self, part: u64, software: u64) -> Option<Time> {
        self.last.get(&(part, software)).copied()
    }

    /// Forgets what is too long ago.
    pub(super) fn expire(&mut self, now: Time) {
        while let Some((at, _)) = self.recorded.front()
            && now.since(*at) >= RETENTION
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((at, pair)) = self.recorded.pop_front() else {
            return;
        };
        if self.last.get(&pair).is_some_and(|last| *last <= at) {
            self.last.remove(&pair);
        }
    }
}
