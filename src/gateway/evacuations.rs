//! State machine of the evacuations that are in force, through outages, stale reads and restores of their
//! list.

use super::Evacuation;
use crate::{
    id,
    watch::{Event, Position, Row},
};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of revoked evacuations that are remembered, to tell stale reads of them; more than
/// there are failure domains.
const MAX_REVOKED: usize = 256;

/// Evacuations that are in force, with the entries that say so.
///
/// What was read at a later position of the list replaces what was read at an earlier one, so that a stale
/// read changes nothing. In a new era, where the list came back from a copy, an evacuation stays in force
/// that the copy lacks, as a configuration does, until its entry is removed in that era; one that the copy
/// has is in force, also if it was revoked since.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// What was last read of each entry, by its key.
    known: BTreeMap<Box<str>, Known>,
}

/// What was last read of an entry.
#[derive(Clone, Debug)]
struct Known {
    domain: Option<id::Domain>,
    /// The entry; its value is `None` if it was removed.
    row: Row,
    position: Position,
    fault: Option<Box<str>>,
}

impl Known {
    fn is_in_force(&self) -> bool {
        self.row.value.is_some()
    }
}

/// Change of the evacuations, or a remark on one of their entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A failure domain is evacuated from now on.
    Begun(id::Domain),
    /// The evacuation of a failure domain was revoked.
    Ended(id::Domain),
    /// A list that came back from a copy lacks an evacuation, which stays in force.
    Kept(id::Domain),
    /// An entry is wrong or stale.
    Unclear {
        /// Key of the entry.
        row: Box<str>,
        /// What is wrong with it.
        cause: Box<str>,
    },
}

impl Evacuations {
    /// Returns the failure domains that are evacuated.
    pub fn domains(&self) -> BTreeSet<id::Domain> {
        let known = self.known.values().filter(|known| known.is_in_force());
        known.filter_map(|known| known.domain.clone()).collect()
    }

    /// Applies an event of the list, and returns what it changes. The evacuations that stay in force take
    /// the place of older or missing entries in the event, for the routers that read this one's copy.
    pub fn reconcile(
        &mut self,
        event: &mut Event<Row>,
        decode: fn(Row) -> Option<Evacuation>,
    ) -> Vec<Change> {
        let is_full = matches!(event, Event::Full { .. });
        let (Event::Full {
            entries, position, ..
        }
        | Event::Changed {
            entries, position, ..
        }) = event
        else {
            return Vec::new();
        };
        let mut changes = Vec::new();
        for entry in entries.iter_mut() {
            if let Some(evacuation) = decode(entry.clone()) {
                self.apply(*position, entry, evacuation, &mut changes);
            }
        }
        if is_full {
            self.apply_missing(*position, entries, &mut changes);
        }
        self.forget_revoked();
        changes
    }

    fn apply(
        &mut self,
        position: Position,
        entry: &mut Row,
        evacuation: Evacuation,
        changes: &mut Vec<Change>,
    ) {
        let known = self.known.get(&entry.key);
        if let Some(known) = known
            && position < known.position
        {
            if known.is_in_force() != evacuation.is_present {
                let read = if evacuation.is_present {
                    "the entry"
                } else {
                    "its removal"
                };
                let cause = format!(
                    "{read} was read late, at {position}; what is known is as of {}",
                    known.position
                );
                changes.push(unclear(entry, cause.into()));
            }
            *entry = known.row.clone();
            return;
        }
        let was_in_force = known.is_some_and(Known::is_in_force);
        let known_fault = known.and_then(|known| known.fault.as_ref());
        if let Some(fault) = &evacuation.fault
            && known_fault != Some(fault)
        {
            changes.push(unclear(entry, fault.clone()));
        }
        if let Some(domain) = &evacuation.domain {
            match (was_in_force, evacuation.is_present) {
                (false, true) => changes.push(Change::Begun(domain.clone())),
                (true, false) => changes.push(Change::Ended(domain.clone())),
                _ => {}
            }
        }
        let known = Known {
            domain: evacuation.domain,
            row: entry.clone(),
            position,
            fault: evacuation.fault,
        };
        self.known.insert(entry.key.clone(), known);
    }

    /// Revokes the evacuations whose entry a whole list lacks, unless it is older than the entry, or from
    /// before it in a copy.
    fn apply_missing(
        &mut self,
        position: Position,
        entries: &mut Vec<Row>,
        changes: &mut Vec<Change>,
    ) {
        let listed: BTreeSet<Box<str>> = entries.iter().map(|entry| entry.key.clone()).collect();
        for (key, known) in &mut self.known {
            if !known.is_in_force() || listed.contains(key) {
                continue;
            }
            if position.era == known.position.era && position > known.position {
                known.row.value = None;
                known.position = position;
                changes.extend(known.domain.clone().map(Change::Ended));
                continue;
            }
            if position.era > known.position.era {
                changes.extend(known.domain.clone().map(Change::Kept));
            } else {
                let cause = format!(
                    "a list without the entry was read late, at {position}; the entry is as of {}",
                    known.position
                );
                changes.push(unclear(&known.row, cause.into()));
            }
            entries.push(known.row.clone());
        }
    }

    /// Forgets the revoked evacuations with the earliest positions if there are too many.
    fn forget_revoked(&mut self) {
        let revoked = self.known.iter().filter(|(_, known)| !known.is_in_force());
        let mut revoked: Vec<(Position, Box<str>)> = revoked
            .map(|(key, known)| (known.position, key.clone()))
            .collect();
        revoked.sort_unstable();
        let excess = revoked.len().saturating_sub(MAX_REVOKED);
        for (_, key) in &revoked[..excess] {
            self.known.remove(key);
        }
    }
}

fn unclear(entry: &Row, cause: Box<str>) -> Change {
    Change::Unclear {
        row: entry.key.clone(),
        cause,
    }
}
