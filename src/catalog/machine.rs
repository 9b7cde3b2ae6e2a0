//! State machine that maintains the known targets through failures of their list.

use super::Target;
use crate::{
    id,
    unit::{Span, Time},
};
use std::collections::BTreeMap;

/// Time after the list's recovery in which targets whose entry is missing may register again; the
/// platform promises about two seconds.
const REGISTER_GRACE: Span = Span::from_millis(2_300);

/// An entry of the list of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the entry.
    pub name: Box<str>,
    /// Target; `None` if the entry was removed or describes no usable target.
    pub target: Option<Target>,
}

/// Input of the catalog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The whole list was read; targets without an entry in it are removed.
    Snapshot(Vec<Entry>),
    /// Entries changed.
    Update(Vec<Entry>),
    /// The list cannot be read.
    Unavailable,
    /// The list can be read again.
    Recovered,
    /// Time has passed.
    Tick,
}

/// Targets to which requests may be sent.
///
/// While the list cannot be read, and for a grace time after, no target is removed: entries also
/// disappear when the platform fails, and the targets then register again.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    targets: BTreeMap<id::Target, Target>,
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
                    self.recovered_at = Some(now);
                    let until = now + REGISTER_GRACE;
                    self.expiring.values_mut().for_each(|at| *at = until);
                }
                false
            }
            Event::Tick => self.expire(now),
        }
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
        for entry in entries {
            changed |= self.apply(now, entry);
        }
        changed
    }

    fn apply(&mut self, now: Time, entry: Entry) -> bool {
        let Some(target) = entry.target else {
            return match entry.name.parse::<id::Target>() {
                Ok(name) => self.remove(now, &name),
                // Entries with an invalid name were never in the catalog.
                Err(_) => false,
            };
        };
        self.expiring.remove(&target.name);
        let old = self.targets.get(&target.name);
        if old == Some(&target) || old.is_some_and(|old| target.started_at_ms < old.started_at_ms) {
            return false;
        }
        self.targets.insert(target.name.clone(), target);
        true
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
            _ => self.targets.remove(name).is_some(),
        }
    }

    fn expire(&mut self, now: Time) -> bool {
        if self.unavailable {
            return false;
        }
        let due = self.expiring.iter().filter(|(_, until)| **until <= now);
        let due: Vec<id::Target> = due.map(|(name, _)| name.clone()).collect();
        for name in &due {
            self.expiring.remove(name);
            self.targets.remove(name);
        }
        !due.is_empty()
    }
}
