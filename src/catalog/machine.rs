//! State machine that maintains the known targets through failures of their list.

use super::{Entry, Event, Target, memory::Memory, write::Write};
use crate::{
    id,
    unit::{Span, Time},
};
use std::collections::BTreeMap;

/// Time after the list's recovery in which targets whose entry is missing may register again; the
/// platform promises about two seconds.
const REGISTER_GRACE: Span = Span::from_millis(2_300);

/// Targets to which requests may be sent.
///
/// While the list cannot be read, and for a grace time after, no target is removed: entries also
/// disappear when the platform fails, and the targets then register again. The same holds after the
/// list came back from a copy. An entry that is older than what is known of its target, such as its
/// departure, is then set aside until the target writes again.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    targets: BTreeMap<id::Target, Target>,
    memory: Memory,
    /// Entries of a restored list that are older than what is known of their target.
    set_aside: BTreeMap<id::Target, Entry>,
    /// Targets whose entry disappeared while the list was unavailable or within the grace time,
    /// with the time at which they are removed.
    expiring: BTreeMap<id::Target, Time>,
    unavailable: bool,
    recovered_at: Option<Time>,
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
            Event::Recovered => {
                if self.unavailable {
                    self.unavailable = false;
                    self.start_grace(now);
                }
                false
            }
            Event::Restored => {
                self.memory.restore(now);
                self.start_grace(now);
                false
            }
            Event::Tick => {
                let readmitted = self.readmit(now);
                self.expire(now) | readmitted
            }
        }
    }

    fn start_grace(&mut self, now: Time) {
        self.recovered_at = Some(now);
        let until = now + REGISTER_GRACE;
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
        for entry in entries {
            changed |= self.apply(now, entry);
        }
        changed
    }

    fn apply(&mut self, now: Time, entry: Entry) -> bool {
        let Some(target) = entry.target else {
            return match entry.name.parse::<id::Target>() {
                Ok(name) => {
                    self.set_aside.remove(&name);
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
        self.memory.add(now, &target.name, write, target.draining);
        if changed {
            self.targets.insert(target.name.clone(), target);
        }
        changed
    }

    fn remove(&mut self, now: Time, name: &id::Target) -> bool {
        let grace_end = self.recovered_at.map(|at| at + REGISTER_GRACE);
        let until = match grace_end {
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
        let due = self.expiring.iter().filter(|(_, until)| **until <= now);
        let due: Vec<id::Target> = due.map(|(name, _)| name.clone()).collect();
        for name in &due {
            self.discard(now, name);
        }
        !due.is_empty()
    }
}
