//! Parts of prompts that targets answered lately.

use crate::unit::{Span, Time};
use std::collections::{HashMap, VecDeque};

/// Time for which passes are remembered.
pub(super) const RETENTION: Span = Span::from_secs(60);
/// Maximum number of passes that are remembered: two a request, of a minute of the largest fleet's
/// busiest router. The oldest are forgotten first.
const MAX_PASSES: usize = 1 << 16;

/// Last times at which targets answered requests with each part.
#[derive(Clone, Debug, Default)]
pub(super) struct Passes {
    /// Software of the targets and time, by part.
    last: HashMap<u64, Vec<(u64, Time)>>,
    /// Parts by the time of a pass, oldest first; those that passed again have several entries.
    recorded: VecDeque<(Time, u64)>,
}

impl Passes {
    /// Records that a target of a software answered a request with a part.
    pub(super) fn record(&mut self, at: Time, part: u64, software: u64) {
        let known = self.last.entry(part).or_default();
        match known.iter_mut().find(|(other, _)| *other == software) {
            Some((_, last)) => *last = at.max(*last),
            None => known.push((software, at)),
        }
        self.recorded.push_back((at, part));
        if self.recorded.len() > MAX_PASSES {
            self.forget_oldest();
        }
    }

    /// Returns the last time at which a target of a software answered a request with a part.
    pub(super) fn last(&self, part: u64, software: u64) -> Option<Time> {
        let mut known = self.all(part).iter();
        let known = known.find(|(other, _)| *other == software);
        known.map(|(_, last)| *last)
    }

    /// Returns the last time at which targets of each software answered a request with a part.
    pub(super) fn all(&self, part: u64) -> &[(u64, Time)] {
        self.last.get(&part).map_or(&[], Vec::as_slice)
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
        let Some((at, part)) = self.recorded.pop_front() else {
            return;
        };
        if let Some(known) = self.last.get_mut(&part) {
            known.retain(|(_, last)| *last > at);
            if known.is_empty() {
                self.last.remove(&part);
            }
        }
    }
}
