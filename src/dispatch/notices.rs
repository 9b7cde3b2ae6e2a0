//! What targets announced about themselves, for as long as it binds this router.

use super::pause::Pause;
use crate::{
    catalog, id,
    unit::{Span, Time},
};
use std::collections::HashMap;

/// Maximum number of remembered announcements of leaving. The largest fleet has several hundred
/// targets and replaces a few hundred a day, so that those forgotten first ended long ago.
const MAX_LEAVING: usize = 4_096;

/// Announcements of targets that the list does not show: it is older than an announcement for a
/// while, and a target may disappear from it and reappear.
#[derive(Clone, Debug, Default)]
pub(super) struct Notices {
    leaving: HashMap<id::Target, Leaving>,
    /// Pauses of runs that are not listed now; each is dropped once it is over.
    pauses: HashMap<catalog::Run, Pause>,
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

    /// Keeps the pause of a run that is not listed any more.
    pub(super) fn keep_pause(&mut self, now: Time, run: catalog::Run, pause: Pause) {
        self.pauses.insert(run, pause);
        self.pauses.retain(|_, pause| pause.is_active(now));
    }

    /// Begins or extends a pause of a run that is not listed; returns the applied duration as
    /// [`Pause::begin`] does.
    pub(super) fn begin_pause(
        &mut self,
        now: Time,
        run: &catalog::Run,
        asked: Span,
        delay: Span,
    ) -> Option<Span> {
        let mut pause = self.pauses.remove(run).unwrap_or_default();
        let applied = pause.begin(now, asked, delay);
        self.keep_pause(now, run.clone(), pause);
        applied
    }

    /// Takes the pause of a run that is listed again.
    pub(super) fn take_pause(&mut self, run: &catalog::Run) -> Pause {
        self.pauses.remove(run).unwrap_or_default()
    }
}
