//! The last known write of each target's entry, by which old entries can be told from new ones.

use super::write::Write;
use crate::{
    id,
    unit::{Span, Time},
};
use std::collections::BTreeMap;

/// Time for which a departed target is remembered, and for which entries of a restored list may be
/// too old. A copy of the list is some seconds old, and by then the platform has removed the entries
/// of targets that no longer write.
const MAX_AGE: Span = Span::from_secs(60);
/// Maximum number of departed targets that are remembered; more than the largest fleet has.
const MAX_DEPARTED: usize = 4_096;

/// The last known write of each target's entry, also of targets that have left.
#[derive(Clone, Debug, Default)]
pub(super) struct Memory {
    known: BTreeMap<id::Target, Known>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    write: Write,
    /// Whether the target is draining or gone.
    departed: bool,
    /// Time of the write, the departure or the restore, whichever is last.
    since: Time,
    /// Whether the list was restored since then, so that its entry may be older than this write.
    restored: bool,
}

impl Memory {
    /// Notes a write of a target that is in use or draining.
    pub(super) fn add(&mut self, now: Time, target: &id::Target, write: Write, draining: bool) {
        let earlier = self.known.get(target).map(|known| known.write);
        let known = Known {
            write: earlier.map_or(write, |earlier| earlier.max(write)),
            departed: draining,
            since: now,
            restored: false,
        };
        self.known.insert(target.clone(), known);
    }

    /// Returns the last known write of a target.
    pub(super) fn write(&self, target: &id::Target) -> Option<Write> {
        self.known.get(target).map(|known| known.write)
    }

    /// Notes that a target is gone.
    pub(super) fn depart(&mut self, now: Time, target: &id::Target) {
        if let Some(known) = self.known.get_mut(target) {
            known.departed = true;
            known.since = now;
            known.restored = false;
        }
        let departed = self.known.iter().filter(|(_, known)| known.departed);
        if departed.clone().count() > MAX_DEPARTED {
            let oldest = departed.min_by_key(|(_, known)| known.since);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.and_then(|name| self.known.remove(&name));
        }
    }

    /// Notes that the list came back from a copy, in which entries may be older than known ones.
    pub(super) fn restore(&mut self, now: Time) {
        for known in self.known.values_mut() {
            known.restored = true;
            known.since = now;
        }
    }

    /// Notes an entry in the first list of an era whose target is not in use. A list that is newer than the copy did not have
    /// it, so that its write, which may follow the last one known before the departure, says nothing.
    pub(super) fn note_copied(&mut self, now: Time, target: &id::Target, write: Write) {
        let known = self.known.entry(target.clone()).or_insert(Known {
            write,
            departed: true,
            since: now,
            restored: true,
        });
        if known.departed && write.is_same_run(known.write) {
            known.write = known.write.max(write);
        }
    }

    /// Notes that the entry of a target in a restored list is to be set aside until it writes.
    pub(super) fn doubt(&mut self, now: Time, target: &id::Target, write: Write) {
        let known = Known {
            write,
            departed: true,
            since: now,
            restored: true,
        };
        self.known.insert(target.clone(), known);
    }

    /// Reports whether an entry of a restored list is older than what is known of its target: it is
    /// an earlier write than the last one, or not a later one than that before a departure.
    pub(super) fn precedes(&self, target: &id::Target, write: Write) -> bool {
        self.known.get(target).is_some_and(|known| {
            known.restored && (write < known.write || known.departed && write == known.write)
        })
    }

    /// Forgets departed targets, and restores, that are too long ago; returns the targets.
    pub(super) fn expire(&mut self, now: Time) -> Vec<id::Target> {
        let known = self.known.iter();
        let due = known.filter(|(_, known)| {
            (known.departed || known.restored) && now.since(known.since) >= MAX_AGE
        });
        let due: Vec<id::Target> = due.map(|(name, _)| name.clone()).collect();
        for name in &due {
            self.known.remove(name);
        }
        due
    }
}
