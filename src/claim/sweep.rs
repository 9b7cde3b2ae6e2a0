//! Garbage collection of old claim rows.

use super::{Record, Settings, key};
use crate::{id, table, unit::Time};
use std::collections::BTreeMap;

/// Maximum number of rows that one scan reads.
const PAGE_ROWS: usize = 100;

/// Scans the claim rows of the table page by page and deletes the old ones.
#[derive(Debug)]
pub(super) struct Sweep {
    router: id::Router,
    settings: Settings,
    epoch_millis: u64,
    after: Box<str>,
    next: Time,
    scan: Option<u64>,
    remove: Vec<table::Write>,
    removal: Option<u64>,
}

impl Sweep {
    /// Returns a sweep that starts at a row given by `seed`, so that the routers scan different
    /// parts of the table.
    pub(super) fn open(
        router: id::Router,
        settings: Settings,
        epoch_millis: u64,
        seed: u64,
    ) -> Self {
        Self {
            router,
            settings,
            epoch_millis,
            after: format!("{}{seed:016x}", key::ROW_PREFIX).into(),
            next: Time::default() + settings.sweep_period,
            scan: None,
            remove: Vec::new(),
            removal: None,
        }
    }

    /// Reports whether a scan or a deletion is in progress.
    pub(super) fn is_calling(&self) -> bool {
        self.scan.is_some() || self.removal.is_some()
    }

    /// Starts the next call, if one is due.
    pub(super) fn pump(&mut self, now: Time, call: u64) -> Option<super::Action> {
        if !self.remove.is_empty() {
            self.removal = Some(call);
            let writes = std::mem::take(&mut self.remove);
            return Some(super::Action::Write { call, writes });
        }
        if now < self.next {
            return None;
        }
        self.next = now + self.settings.sweep_period;
        self.scan = Some(call);
        Some(super::Action::Scan {
            call,
            prefix: key::ROW_PREFIX.into(),
            after: self.after.clone(),
            limit: PAGE_ROWS,
        })
    }

    /// Handles the result of a scan; returns `false` if the sweep did not make the call.
    pub(super) fn scanned(
        &mut self,
        now: Time,
        call: u64,
        result: &Result<Vec<table::Row>, table::Fault>,
    ) -> bool {
        if self.scan != Some(call) {
            return false;
        }
        self.scan = None;
        if let Ok(rows) = result {
            let whole = rows.len() == PAGE_ROWS;
            let last = rows.last().filter(|_| whole);
            self.after = last.map_or_else(|| "".into(), |row| row.key.clone());
            self.remove = self.old_rows(now, rows);
        }
        true
    }

    /// Handles the result of a deletion; returns `false` if the sweep did not make the call. A
    /// failed deletion is not retried as is, because the rows may have been replaced since; a later
    /// scan finds those that are still old.
    pub(super) fn removed(&mut self, call: u64) -> bool {
        let own = self.removal == Some(call);
        if own {
            self.removal = None;
        }
        own
    }

    /// Returns the writes that delete the rows beyond their lifetime.
    fn old_rows(&self, now: Time, rows: &[table::Row]) -> Vec<table::Write> {
        let records: BTreeMap<&str, Record> = rows
            .iter()
            .filter_map(|row| Some((&*row.key, serde_json::from_str(&row.value).ok()?)))
            .collect();
        // The age is measured against the latest claim of another router if that is earlier than
        // this router's clock: a clock that is far ahead must not make new rows look old.
        let others = records.values().filter(|r| r.router != self.router);
        let latest = others.map(|record| record.claimed_at).max();
        let own = self.epoch_millis + now.0 / 1_000;
        let today = latest.map_or(own, |latest| latest.min(own));
        let oldest = today.saturating_sub(self.settings.row_lifetime.as_millis());
        let old = |row: &&table::Row| {
            let record = records.get(&*row.key);
            record.is_some_and(|record| record.claimed_at < oldest)
        };
        let removal = |row: &table::Row| table::Write {
            key: row.key.clone(),
            expect: table::Expect::Version(row.version),
            value: None,
        };
        rows.iter().filter(old).map(removal).collect()
    }
}
