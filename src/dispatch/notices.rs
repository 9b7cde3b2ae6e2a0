//! What targets announced about themselves, for as long as it binds this router.

use crate::{catalog, id, unit::Time};
use std::collections::HashMap;

/// Maximum number of remembered announcements of leaving. The largest fleet has several hundred
/// targets and replaces a few hundred a day, so that those forgotten first ended long ago.
const MAX_LEAVING: usize = 4_096;

/// Announcements of targets that the list does not show: it is older than an announcement for a
/// while, and a target may disappear from it and reappear.
#[derive(Clone, Debug, Default)]
pub(super) struct Notices {
    leaving: HashMap<id::Target, Leaving>,
}

#[derive(Clone, Copy, Debug)]
struct Leaving {
    started_at_ms: u64,
    announced: Time,
}

impl Notices {
    /// Records that a run of a target announced that it leaves; returns whether that is new.
    pub(super) fn record_leaving(&mut self, now: Time, run: &catalog::Run) -> bool {
        let known = self.leaving.get(&run.target);
        if known.is_some_and(|known| known.started_at_ms >= run.started_at_ms) {
            return false;
        }
        let leaving = Leaving {
            started_at_ms: run.started_at_ms,
            announced: now,
        };
        self.leaving.insert(run.target.clone(), leaving);
        if self.leaving.len() > MAX_LEAVING {
            let oldest = self.leaving.iter().min_by_key(|(_, l)| l.announced);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.and_then(|name| self.leaving.remove(&name));
        }
        true
    }

    /// Reports whether a listed run, or a later run of the same target, announced that it leaves.
    pub(super) fn is_leaving(&self, entry: &catalog::Target) -> bool {
        let known = self.leaving.get(&entry.name);
        known.is_some_and(|known| known.started_at_ms >= entry.started_at_ms)
    }
}
