//! Cached copy of one list.

use crate::{
    clock,
    unit::{Era, Span, Time},
    watch::{Event, Page, Position, Row},
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::sync::Notify;

/// Maximum number of removed entries that are remembered; beyond it, the routers that read this
/// copy have to read the whole list again.
const MAX_REMOVED: usize = 4_096;

/// Cached copy of one list, with the version at which each entry last changed. In a new era of the
/// list its history begins anew: versions of entries are of one era.
#[derive(Debug)]
pub struct Cache {
    /// Maximum age of the copy; an older one is not served.
    max_age: Span,
    state: Mutex<State>,
    changed: Notify,
    /// Notified when the platform is to be asked whether the copy is current.
    checks: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    /// Content of each entry, and the version at which it last changed. A removed entry has no
    /// content.
    rows: BTreeMap<Box<str>, (Option<Vec<u8>>, u64)>,
    position: Position,
    /// Version up to which the change history is compacted; only later changes are known.
    compacted: u64,
    /// Time at which the platform last sent or confirmed the list.
    confirmed_at: Option<Time>,
    /// Time at which the platform was last asked for changes that the copy contains.
    checked_at: Option<Time>,
}

impl Cache {
    /// Creates an empty copy; it is not served while it is older than `max_age`.
    pub fn new(max_age: Span) -> Self {
        Self {
            max_age,
            state: Mutex::default(),
            changed: Notify::new(),
            checks: Arc::default(),
        }
    }

    /// Returns what is notified when the platform is to be asked whether the copy is current.
    pub fn checks(&self) -> Arc<Notify> {
        self.checks.clone()
    }

    /// Applies an event of the watched list.
    pub fn apply(&self, event: &Event<Row>) {
        let mut state = self.state();
        if event
            .position()
            .is_some_and(|position| position.era < state.position.era)
        {
            return;
        }
        let age = match event {
            Event::Full {
                entries,
                position,
                age,
            } => {
                state.advance(*position);
                state.replace(entries);
                *age
            }
            Event::Changed {
                entries,
                position,
                age,
            } => {
                state.advance(*position);
                entries.iter().for_each(|row| state.put(row));
                *age
            }
            Event::Unchanged { position, age } => {
                state.advance(*position);
                *age
            }
            Event::Checked { asked } => {
                state.checked_at = state.checked_at.max(Some(*asked));
                drop(state);
                return self.changed.notify_waiters();
            }
            Event::Unchecked { .. } | Event::Unavailable { .. } | Event::Recovered { .. } => return,
        };
        let confirmed_at = Time(clock::now().0.saturating_sub(age.0));
        state.confirmed_at = state.confirmed_at.max(Some(confirmed_at));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the era of the copy.
    pub fn era(&self) -> Era {
        self.state().position.era
    }

    /// Returns the whole list, or `None` if the copy is too old.
    pub fn snapshot(&self) -> Option<Page<Row>> {
        let state = self.state();
        state.is_fresh(self.max_age).then(|| state.changes_since(0))
    }

    /// Waits until an entry changes after position `after`, `wait` has passed, or the copy is too
    /// old.
    ///
    /// Returns `None` if the copy is too old, and `Some(None)` if the changes since `after` are no
    /// longer known or `after` is of another era than the copy.
    pub async fn changes(&self, after: Position, wait: Span) -> Option<Option<Page<Row>>> {
        let deadline = clock::now() + wait;
        loop {
            let stale_at;
            let changed = self.changed.notified();
            {
                let state = self.state();
                if !state.is_fresh(self.max_age) {
                    return None;
                }
                if after.era != state.position.era || after.version < state.compacted {
                    return Some(None);
                }
                let page = state.changes_since(after.version);
                if !page.entries.is_empty() || clock::now() >= deadline {
                    return Some(Some(page));
                }
                stale_at = state.confirmed_at.unwrap_or_default() + self.max_age + Span(1);
            }
            let remaining = deadline.min(stale_at).since(clock::now());
            // A timeout is handled by the next iteration.
            drop(tokio::time::timeout(remaining.into(), changed).await);
        }
    }

    /// Has the platform asked for the list, and returns its changes after a position as [`Cache::changes`] does;
    /// `None` also if the platform has not answered within `limit`.
    pub async fn check(&self, after: Position, limit: Span) -> Option<Option<Page<Row>>> {
        let asked = clock::now();
        self.checks.notify_one();
        loop {
            let changed = self.changed.notified();
            if self.state().checked_at >= Some(asked) {
                return self.changes(after, Span(0)).await;
            }
            let remaining = (asked + limit).since(clock::now());
            if remaining == Span(0) {
                return None;
            }
            // A timeout is handled by the next iteration.
            drop(tokio::time::timeout(remaining.into(), changed).await);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_fresh(&self, max_age: Span) -> bool {
        let confirmed_at = self
            .confirmed_at
            .filter(|_| self.position != Position::default());
        confirmed_at.is_some_and(|at| clock::now().since(at) <= max_age)
    }

    /// Moves on to a position. Within an era an endpoint that lags behind doesn't move it back.
    fn advance(&mut self, position: Position) {
        if self.position == Position::default() || position.era > self.position.era {
            // Entries removed before the first read are unknown, and versions of another era have
            // another meaning.
            self.rows.clear();
            self.compacted = position.version;
            self.position = position;
        }
        self.position = self.position.max(position);
    }

    fn put(&mut self, row: &Row) {
        let version = self.position.version;
        self.rows
            .insert(row.key.clone(), (row.value.clone(), version));
    }

    fn replace(&mut self, rows: &[Row]) {
        let removed: Vec<Box<str>> = self
            .rows
            .iter()
            .filter(|(key, (value, _))| value.is_some() && !rows.iter().any(|row| row.key == **key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in removed {
            self.rows.insert(key, (None, self.position.version));
        }
        for row in rows {
            let cached = self.rows.get(&row.key).map(|(value, _)| value);
            if cached != Some(&row.value) {
                self.put(row);
            }
        }
        self.trim_removed();
    }

    /// Forgets all removed entries if there are too many.
    fn trim_removed(&mut self) {
        let removed = self.rows.values().filter(|(value, _)| value.is_none());
        if removed.count() > MAX_REMOVED {
            self.rows.retain(|_, (value, _)| value.is_some());
            self.compacted = self.position.version;
        }
    }

    /// Returns the entries that changed after a version; for version 0, all present entries.
    fn changes_since(&self, after: u64) -> Page<Row> {
        let rows = self.rows.iter();
        let rows =
            rows.filter(|(_, (value, version))| *version > after && (after > 0 || value.is_some()));
        Page {
            entries: rows
                .map(|(key, (value, _))| Row {
                    key: key.clone(),
                    value: value.clone(),
                })
                .collect(),
            position: Position {
                era: self.position.era,
                version: self.position.version.max(after),
            },
            age: clock::now().since(self.confirmed_at.unwrap_or_default()),
        }
    }
}
