//! Cached copy of one list.

use crate::{
    clock,
    unit::{Span, Time},
    watch::{Event, Page, Row},
};
use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};
use tokio::sync::Notify;

/// Maximum number of removed entries that are remembered; beyond it, the routers that read this
/// copy have to read the whole list again.
const MAX_REMOVED: usize = 4_096;

/// Cached copy of one list, with the version at which each entry last changed.
#[derive(Debug)]
pub struct Cache {
    /// Maximum age of the copy; an older one is not served.
    max_age: Span,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// Content of each entry, and the version at which it last changed. A removed entry has no
    /// content.
    rows: BTreeMap<Box<str>, (Option<Vec<u8>>, u64)>,
    version: u64,
    /// Version up to which the change history is compacted; only later changes are known.
    compacted: u64,
    /// Time at which the platform last sent or confirmed the list.
    confirmed_at: Option<Time>,
}

impl Cache {
    /// Creates an empty copy; it is not served while it is older than `max_age`.
    pub fn new(max_age: Span) -> Self {
        Self {
            max_age,
            state: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Applies an event of the watched list.
    pub fn apply(&self, event: &Event<Row>) {
        let mut state = self.state();
        let (version, age) = match event {
            Event::Full {
                entries,
                version,
                age,
            } => {
                state.replace(entries, *version);
                (*version, *age)
            }
            Event::Changed {
                entries,
                version,
                age,
            } => {
                entries.iter().for_each(|row| state.put(row, *version));
                (*version, *age)
            }
            Event::Unchanged { version, age } => (*version, *age),
            Event::Unavailable { .. } | Event::Recovered { .. } => return,
        };
        state.version = version;
        let confirmed_at = Time(clock::now().0.saturating_sub(age.0));
        state.confirmed_at = state.confirmed_at.max(Some(confirmed_at));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the whole list, or `None` if the copy is too old.
    pub fn snapshot(&self) -> Option<Page<Row>> {
        let state = self.state();
        state.is_fresh(self.max_age).then(|| state.changes_since(0))
    }

    /// Waits until an entry changes after version `after`, `wait` has passed, or the copy is too
    /// old.
    ///
    /// Returns `None` if the copy is too old, and `Some(None)` if the changes since `after` are no
    /// longer known.
    pub async fn changes(&self, after: u64, wait: Span) -> Option<Option<Page<Row>>> {
        let deadline = clock::now() + wait;
        loop {
            let stale_at;
            let changed = self.changed.notified();
            {
                let state = self.state();
                if !state.is_fresh(self.max_age) {
                    return None;
                }
                if after < state.compacted {
                    return Some(None);
                }
                let page = state.changes_since(after);
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

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_fresh(&self, max_age: Span) -> bool {
        let confirmed_at = self.confirmed_at.filter(|_| self.version > 0);
        confirmed_at.is_some_and(|at| clock::now().since(at) <= max_age)
    }

    fn put(&mut self, row: &Row, version: u64) {
        self.rows
            .insert(row.key.clone(), (row.value.clone(), version));
    }

    fn replace(&mut self, rows: &[Row], version: u64) {
        if self.version == 0 {
            // Entries removed before the first read are unknown.
            self.compacted = version;
        }
        let removed: Vec<Box<str>> = self
            .rows
            .iter()
            .filter(|(key, (value, _))| value.is_some() && !rows.iter().any(|row| row.key == **key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in removed {
            self.rows.insert(key, (None, version));
        }
        for row in rows {
            let cached = self.rows.get(&row.key).map(|(value, _)| value);
            if cached != Some(&row.value) {
                self.put(row, version);
            }
        }
        self.version = version;
        self.trim_removed();
    }

    /// Forgets all removed entries if there are too many.
    fn trim_removed(&mut self) {
        let removed = self.rows.values().filter(|(value, _)| value.is_none());
        if removed.count() > MAX_REMOVED {
            self.rows.retain(|_, (value, _)| value.is_some());
            self.compacted = self.version;
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
            version: self.version.max(after),
            age: clock::now().since(self.confirmed_at.unwrap_or_default()),
        }
    }
}
