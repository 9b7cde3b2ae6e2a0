//! State machine that maintains the known targets through failures of their list.

use super::Target;
use crate::{
    id,
    unit::{Span, Time},
};
use std::collections::BTreeMap;

/// Time after the list's recovery in which targets whose entry is missing may register again; the
/// platform promises about two seconds.
const LAPSE_GRACE: Span = Span::from_millis(2_300);

/// An entry of the list of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Name of the entry.
    pub name: Box<str>,
    /// Target; `None` if the entry was removed or describes no usable target.
    pub target: Option<Target>,
}

/// Input of the catalog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The whole list was read; targets without an entry in it are removed.
    Whole(Vec<Listed>),
    /// Entries changed.
    Changed(Vec<Listed>),
    /// The list cannot be read.
    Lost,
    /// The list can be read again.
    Regained,
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
    lapsed: BTreeMap<id::Target, Time>,
    lost: bool,
    regained: Option<Time>,
}

impl Catalog {
    /// Returns the targets by name.
    pub fn targets(&self) -> &BTreeMap<id::Target, Target> {
        &self.targets
    }

    /// Applies an event; returns whether the targets changed.
    pub fn step(&mut self, now: Time, event: Event) -> bool {
        match event {
            Event::Whole(entries) => self.replace(now, entries),
            Event::Changed(entries) => entries
                .into_iter()
                .fold(false, |changed, entry| self.take(now, entry) | changed),
            Event::Lost => {
                self.lost = true;
                false
            }
            Event::Regained => {
                if self.lost {
                    self.lost = false;
                    self.regained = Some(now);
                    let until = now + LAPSE_GRACE;
                    self.lapsed.values_mut().for_each(|at| *at = until);
                }
                false
            }
            Event::Tick => self.expire(now),
        }
    }

    fn replace(&mut self, now: Time, entries: Vec<Listed>) -> bool {
        let names: Vec<id::Target> = self.targets.keys().cloned().collect();
        let gone = names
            .into_iter()
            .filter(|name| !entries.iter().any(|entry| *entry.name == *name.as_str()));
        let mut changed = false;
        for name in gone.collect::<Vec<_>>() {
            changed |= self.remove(now, &name);
        }
        for entry in entries {
            changed |= self.take(now, entry);
        }
        changed
    }

    fn take(&mut self, now: Time, entry: Listed) -> bool {
        let Some(target) = entry.target else {
            return match entry.name.parse::<id::Target>() {
                Ok(name) => self.remove(now, &name),
                // Entries with an invalid name were never in the catalog.
                Err(_) => false,
            };
        };
        self.lapsed.remove(&target.name);
        let old = self.targets.get(&target.name);
        if old == Some(&target) || old.is_some_and(|old| target.born < old.born) {
            return false;
        }
        self.targets.insert(target.name.clone(), target);
        true
    }

    fn remove(&mut self, now: Time, name: &id::Target) -> bool {
        let back = self.regained.map(|at| at + LAPSE_GRACE);
        let until = match back {
            _ if self.lost => Some(now + LAPSE_GRACE),
            Some(until) if now < until => Some(until),
            _ => None,
        };
        match until {
            Some(until) if self.targets.contains_key(name) => {
                self.lapsed.entry(name.clone()).or_insert(until);
                false
            }
            _ => self.targets.remove(name).is_some(),
        }
    }

    fn expire(&mut self, now: Time) -> bool {
        if self.lost {
            return false;
        }
        let due = self.lapsed.iter().filter(|(_, until)| **until <= now);
        let due: Vec<id::Target> = due.map(|(name, _)| name.clone()).collect();
        for name in &due {
            self.lapsed.remove(name);
            self.targets.remove(name);
        }
        !due.is_empty()
    }
}
