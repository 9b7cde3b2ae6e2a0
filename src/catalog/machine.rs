//! State machine that maintains the known targets through failures of their list.

use super::{Entry, Event, Target, memory::Memory, verification::Verification, write::Write};
use crate::{
    id,
    unit::{Span, Time},
};
use std::collections::BTreeMap;

/// Time after the platform's return in which targets whose entry is missing may register again; the
/// platform promises about two seconds.
const REGISTER_GRACE: Span = Span::from_millis(2_300);
/// Part of it that is left at least when the list is read again. The platform may have returned just
/// then, or as long before as a call takes to fail.
const MIN_REGISTER_GRACE: Span = Span::from_millis(2_000);
/// Shortest outage in which an entry can expire: the platform keeps it until several writes in a row,
/// about a second apart, have failed.
const MIN_EXPIRY_OUTAGE: Span = Span::from_secs(1);

/// Targets to which requests may be sent.
///
/// While the list cannot be read, and for a grace time after an outage in which entries may have
/// expired, no target is removed: entries also disappear when the platform fails, and the targets then
/// register again. A router that was cut off by itself can't tell their entries from those of targets
/// that have left, which must not be used for longer than a few seconds after its return. The same
/// holds after the list came back from a copy. An entry that is older than what is known of its target,
/// such as its departure, is then set aside until the target writes again. So is one whose target was
/// not listed before, and after some seconds those of targets that don't write while most others do:
/// they may have left after the copy was made.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    targets: BTreeMap<id::Target, Target>,
    memory: Memory,
    /// Entries of a restored list that are older than what is known of their target, or whose target doesn't write.
    set_aside: BTreeMap<id::Target, Entry>,
    /// Whether the list was read at least once.
    is_read: bool,
    /// Whether the next list is the first one after a restore.
    is_restored: bool,
    verification: Option<Verification>,
    /// Targets that were set aside because they don't write, until they are taken.
    doubted: Vec<id::Target>,
    /// Targets whose entry disappeared while the list was unavailable or within the grace time,
    /// with the time at which they are removed.
    expiring: BTreeMap<id::Target, Time>,
    unavailable: bool,
    /// Start of the last call for the list that failed in the last outage, until the grace time after it ends.
    failed_at: Option<Time>,
    /// End of the grace time.
    grace_end: Option<Time>,
}

impl Catalog {
    /// Returns the targets by name.
    pub fn targets(&self) -> &BTreeMap<id::Target, Target> {
        &self.targets
    }

    /// Returns the number of targets whose entry is missing and may come back.
    pub fn missing(&self) -> usize {
        self.expiring.len()
    }

    /// Returns the number of entries that are set aside because they are older than what is known of
    /// their target.
    pub fn set_aside(&self) -> usize {
        self.set_aside.len()
    }

    /// Applies an event; returns whether the targets changed.
    pub fn step(&mut self, now: Time, event: Event) -> bool {
        match event {
            Event::Snapshot(entries) => self.replace(now, entries),
            Event::Update(entries) => entries
                .into_iter()
                .fold(false, |changed, entry| self.apply(now, entry) | changed),
            Event::Unavailable => {
                self.unavailable = true;
                false
            }
            Event::Recovered {
                confirmed_at,
                failed_at,
            } => {
                let is_long = now.since(confirmed_at) >= MIN_EXPIRY_OUTAGE;
                if std::mem::take(&mut self.unavailable) && is_long {
                    self.failed_at = Some(failed_at);
                    self.start_grace(now);
                }
                false
            }
            Event::Restored => {
                self.is_restored = true;
                self.memory.restore(now);
                self.start_grace(now);
                false
            }
            Event::Tick => {
                let readmitted = self.readmit(now);
                self.expire(now) | self.doubt_silent(now) | readmitted
            }
        }
    }

    /// Returns the targets that were set aside since the last call because they don't write.
    pub fn take_doubted(&mut self) -> Vec<id::Target> {
        std::mem::take(&mut self.doubted)
    }

    /// Reports once after each restore whether it is time to read the whole list again, since writes that change nothing
    /// else are not reported.
    pub fn take_refresh(&mut self, now: Time) -> bool {
        let verification = self.verification.as_mut();
        verification.is_some_and(|verification| verification.take_refresh(now))
    }

    /// Starts the grace time when the list was read again; it counts from the last call that failed.
    fn start_grace(&mut self, now: Time) {
        let failed_at = self.failed_at.unwrap_or(now);
        let until = (failed_at + REGISTER_GRACE).max(now + MIN_REGISTER_GRACE);
        self.grace_end = Some(until);
        self.expiring.values_mut().for_each(|at| *at = until);
    }

    fn replace(&mut self, now: Time, entries: Vec<Entry>) -> bool {
        let names: Vec<id::Target> = self.targets.keys().cloned().collect();
        let missing = names
            .into_iter()
            .filter(|name| !entries.iter().any(|entry| *entry.name == *name.as_str()));
        let mut changed = false;
        for name in missing.collect::<Vec<_>>() {
            changed |= self.remove(now, &name);
        }
        self.set_aside.clear();
        let is_first = std::mem::take(&mut self.is_restored);
        if is_first && self.is_read {
            self.note_copied(now, &entries);
        }
        self.is_read = true;
        for entry in entries {
            changed |= self.apply(now, entry);
        }
        if is_first {
            self.verification = Some(Verification::begin(now, self.writes()));
        }
        changed
    }

    /// Notes the entries of a restored list whose targets were not listed before.
    fn note_copied(&mut self, now: Time, entries: &[Entry]) {
        for entry in entries {
            if let Some(target) = &entry.target
                && !self.targets.contains_key(&target.name)
            {
                let write = Write::of(target, entry.sequence);
                self.memory.note_copied(now, &target.name, write);
            }
        }
    }

    /// Returns the last known write of each listed target that is in use.
    fn writes(&self) -> BTreeMap<id::Target, Write> {
        let listed = self.targets.values().filter(|target| {
            let is_missing = self.expiring.contains_key(&target.name);
            let is_old = self.set_aside.contains_key(&target.name);
            !target.draining && !is_missing && !is_old
        });
        let writes = listed.filter_map(|target| {
            let write = self.memory.write(&target.name)?;
            Some((target.name.clone(), write))
        });
        writes.collect()
    }

    /// Sets the entries of targets aside that have not written since the list was restored; returns whether there are any.
    fn doubt_silent(&mut self, now: Time) -> bool {
        let Some(verification) = &self.verification else {
            return false;
        };
        let silent = verification.silent(now).cloned();
        if silent.is_some() || verification.is_over(now) {
            self.verification = None;
        }
        silent
            .into_iter()
            .flatten()
            .fold(false, |changed, (name, write)| {
                self.doubt(now, name, write) | changed
            })
    }

    fn doubt(&mut self, now: Time, name: id::Target, write: Write) -> bool {
        let Some(target) = self.targets.remove(&name) else {
            return false;
        };
        self.memory.doubt(now, &name, write);
        let entry = Entry {
            name: name.as_str().into(),
            target: Some(target),
            rejected: None,
            sequence: write.sequence(),
        };
        self.doubted.push(name.clone());
        self.set_aside.insert(name, entry);
        true
    }

    fn apply(&mut self, now: Time, entry: Entry) -> bool {
        let Some(target) = entry.target else {
            return match entry.name.parse::<id::Target>() {
                Ok(name) => {
                    self.set_aside.remove(&name);
                    if let Some(verification) = &mut self.verification {
                        verification.forget(&name);
                    }
                    self.remove(now, &name)
                }
                // Entries with an invalid name were never in the catalog.
                Err(_) => false,
            };
        };
        let write = Write::of(&target, entry.sequence);
        let old = self.targets.get(&target.name);
        if old != Some(&target) && self.memory.precedes(&target.name, write) {
            self.expiring.remove(&target.name);
            let name = target.name.clone();
            let entry = Entry {
                target: Some(target),
                ..entry
            };
            self.set_aside.insert(name, entry);
            return false;
        }
        self.set_aside.remove(&target.name);
        if old.is_some_and(|old| target.started_at_ms < old.started_at_ms) {
            return false;
        }
        let changed = old != Some(&target);
        self.expiring.remove(&target.name);
        if let Some(verification) = &mut self.verification {
            verification.observe(&target.name, write);
        }
        self.memory.add(now, &target.name, write, target.draining);
        if changed {
            self.targets.insert(target.name.clone(), target);
        }
        changed
    }

    fn remove(&mut self, now: Time, name: &id::Target) -> bool {
        let until = match self.grace_end {
            _ if self.unavailable => Some(now + REGISTER_GRACE),
            Some(until) if now < until => Some(until),
            _ => None,
        };
        match until {
            Some(until) if self.targets.contains_key(name) => {
                self.expiring.entry(name.clone()).or_insert(until);
                false
            }
            _ => self.discard(now, name),
        }
    }

    /// Removes a target at once; returns whether it was known.
    fn discard(&mut self, now: Time, name: &id::Target) -> bool {
        self.expiring.remove(name);
        let known = self.targets.remove(name).is_some();
        if known {
            self.memory.depart(now, name);
        }
        known
    }

    /// Applies the entries that have been set aside for long: the platform has kept them only
    /// because their targets write them.
    fn readmit(&mut self, now: Time) -> bool {
        let forgotten = self.memory.expire(now);
        forgotten.into_iter().fold(false, |changed, name| {
            let entry = self.set_aside.remove(&name);
            entry.is_some_and(|entry| self.apply(now, entry)) | changed
        })
    }

    fn expire(&mut self, now: Time) -> bool {
        if self.unavailable {
            return false;
        }
        if self.grace_end.is_some_and(|end| end <= now) {
            self.grace_end = None;
            self.failed_at = None;
        }
        let due = self.expiring.iter().filter(|(_, until)| **until <= now);
        let due: Vec<id::Target> = due.map(|(name, _)| name.clone()).collect();
        for name in &due {
            self.discard(now, name);
        }
        !due.is_empty()
    }
}
