//! Which targets have written since their list came back from a copy.

use super::write::Write;
use crate::{
    id,
    unit::{Span, Time},
};
use std::collections::BTreeMap;

/// Time from the first list to the one in which the writes since then are looked for. Targets write about every 1.2 s,
/// and a write that changes nothing else is only seen when the whole list is read.
const REFRESH_DELAY: Span = Span::from_millis(1_600);
/// Time from the first list until a target must have written; it leaves time to pass the second list on.
const WRITE_TIME: Span = Span::from_millis(2_000);
/// Time after which targets that have not written are used all the same, if most others haven't either.
const MAX_TIME: Span = Span::from_secs(10);

/// Targets that are listed in a copy and have not written since. Their entry may be that of a target that left after the
/// copy was made.
#[derive(Clone, Debug)]
pub(super) struct Verification {
    /// Time of the first list.
    begun: Time,
    /// Whether the list is still to be read again.
    awaits_refresh: bool,
    /// The write in the first list of each target that has not written since.
    unseen: BTreeMap<id::Target, Write>,
    /// Number of targets that have written since.
    seen: usize,
}

impl Verification {
    /// Begins with the writes in the first list.
    pub(super) fn begin(now: Time, writes: BTreeMap<id::Target, Write>) -> Self {
        Self {
            begun: now,
            awaits_refresh: true,
            unseen: writes,
            seen: 0,
        }
    }

    /// Notes a write of a target.
    pub(super) fn observe(&mut self, target: &id::Target, write: Write) {
        if self.unseen.get(target).is_some_and(|first| write > *first) {
            self.unseen.remove(target);
            self.seen += 1;
        }
    }

    /// Notes that a target's entry was removed.
    pub(super) fn forget(&mut self, target: &id::Target) {
        self.unseen.remove(target);
    }

    /// Reports once whether it is time to read the list again.
    pub(super) fn take_refresh(&mut self, now: Time) -> bool {
        let is_due = now.since(self.begun) >= REFRESH_DELAY;
        is_due && std::mem::take(&mut self.awaits_refresh)
    }

    /// Returns the targets that should have written and have not. There are none while fewer have written: then the
    /// list is late, or targets can't write.
    pub(super) fn silent(&self, now: Time) -> Option<&BTreeMap<id::Target, Write>> {
        let is_due = now.since(self.begun) >= WRITE_TIME;
        (is_due && self.seen > 0 && self.seen >= self.unseen.len()).then_some(&self.unseen)
    }

    /// Reports whether it can't be known any more which targets have left.
    pub(super) fn is_over(&self, now: Time) -> bool {
        now.since(self.begun) >= MAX_TIME
    }
}
