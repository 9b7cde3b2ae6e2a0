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

/// Maximum number of removed entries that are remembered; beyond it, clients have to read the whole
/// list again.
const MAX_REMOVED: usize = 4_096;

/// Cached copy of one list, with the version at which each entry last changed.
#[derive(Debug)]
pub struct Shelf {
    /// Maximum age of the copy; an older one is not served.
    most_age: Span,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Box<str>, (Option<Vec<u8>>, u64)>,
    version: u64,
    /// Oldest version since which changes are known.
    floor: u64,
    /// Time at which the platform last sent or confirmed the list.
    heard: Option<Time>,
}

impl Shelf {
    /// Creates an empty copy; it is not served while it is older than `most_age`.
    pub fn open(most_age: Span) -> Self {
        Self {
            most_age,
            state: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Applies an event of the watched list.
    pub fn take(&self, event: &Event<Row>) {
        let mut state = self.state();
        let (version, age) = match event {
            Event::Whole {
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
            Event::Current { version, age } => (*version, *age),
            Event::Lost { .. } | Event::Regained { .. } => return,
        };
        state.version = version;
        let heard = Time(clock::now().0.saturating_sub(age.0));
        state.heard = state.heard.max(Some(heard));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the whole list, or `None` if the copy is too old.
    pub fn whole(&self) -> Option<Page<Row>> {
        let state = self.state();
        state.is_fresh(self.most_age).then(|| state.after(0))
    }

    /// Waits until an entry changes after version `after`, `wait` has passed, or the copy is too old.
    ///
    /// Returns `None` if the copy is too old, and `Some(None)` if the changes since `after` are no
    /// longer known.
    pub async fn changes(&self, after: u64, wait: Span) -> Option<Option<Page<Row>>> {
        let end = clock::now() + wait;
        loop {
            let stale;
            let changed = self.changed.notified();
            {
                let state = self.state();
                if !state.is_fresh(self.most_age) {
                    return None;
                }
                if after < state.floor {
                    return Some(None);
                }
                let page = state.after(after);
                if !page.entries.is_empty() || clock::now() >= end {
                    return Some(Some(page));
                }
                stale = state.heard.unwrap_or_default() + self.most_age + Span(1);
            }
            let left = end.min(stale).since(clock::now());
            // A timeout is handled by the next iteration.
            drop(tokio::time::timeout(left.into(), changed).await);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_fresh(&self, most: Span) -> bool {
        let heard = self.heard.filter(|_| self.version > 0);
        heard.is_some_and(|at| clock::now().since(at) <= most)
    }

    fn put(&mut self, row: &Row, version: u64) {
        self.rows
            .insert(row.key.clone(), (row.value.clone(), version));
    }

    fn replace(&mut self, rows: &[Row], version: u64) {
        if self.version == 0 {
            // Entries removed before the first read are unknown.
            self.floor = version;
        }
        let gone: Vec<Box<str>> = self
            .rows
            .iter()
            .filter(|(key, (value, _))| value.is_some() && !rows.iter().any(|row| row.key == **key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.rows.insert(key, (None, version));
        }
        for row in rows {
            let same = self.rows.get(&row.key).map(|(value, _)| value);
            if same != Some(&row.value) {
                self.put(row, version);
            }
        }
        self.version = version;
        self.forget();
    }

    /// Forgets all removed entries if there are too many.
    fn forget(&mut self) {
        let removed = self.rows.values().filter(|(value, _)| value.is_none());
        if removed.count() > MAX_REMOVED {
            self.rows.retain(|_, (value, _)| value.is_some());
            self.floor = self.version;
        }
    }

    /// Returns the entries that changed after a version; for version 0, all present entries.
    fn after(&self, after: u64) -> Page<Row> {
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
            age: clock::now().since(self.heard.unwrap_or_default()),
        }
    }
}
