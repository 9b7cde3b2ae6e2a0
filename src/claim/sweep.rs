//! Garbage collection of old claim rows.

use super::{Record, Settings, key};
use crate::{id, table, unit::Time};
use std::collections::BTreeMap;

/// Maximum number of rows that one scan reads.
const PAGE_ROWS: usize = 100;

/// Scans the claim rows of the table page by page and removes the old ones.
#[derive(Debug)]
pub(super) struct Sweep {
    router: id::Router,
    settings: Settings,
    unix_millis: u64,
    after: Box<str>,
    next_scan: Time,
    scan_call: Option<u64>,
    pending_removals: Vec<table::Write>,
    removal_call: Option<u64>,
}

impl Sweep {
    /// Returns a sweep that starts at a row given by `seed`, so that the routers scan different
    /// parts of the table.
    pub(super) fn open(
        router: id::Router,
        settings: Settings,
        unix_millis: u64,
        seed: u64,
    ) -> Self {
        Self {
            router,
            settings,
            unix_millis,
            after: format!("{}{seed:016x}", key::ROW_PREFIX).into(),
            next_scan: Time::default() + settings.sweep_interval,
            scan_call: None,
            pending_removals: Vec::new(),
            removal_call: None,
        }
    }

    /// Reports whether a scan or a removal is in progress.
    pub(super) fn is_calling(&self) -> bool {
        self.scan_call.is_some() || self.removal_call.is_some()
    }

    /// Starts the next call, if one is due.
    pub(super) fn start_call(&mut self, now: Time, call: u64) -> Option<super::Action> {
        if !self.pending_removals.is_empty() {
            self.removal_call = Some(call);
            let writes = std::mem::take(&mut self.pending_removals);
            return Some(super::Action::Write { call, writes });
        }
        if now < self.next_scan {
            return None;
        }
        self.next_scan = now + self.settings.sweep_interval;
        self.scan_call = Some(call);
        Some(super::Action::Scan {
            call,
            prefix: key::ROW_PREFIX.into(),
            after: self.after.clone(),
            limit: PAGE_ROWS,
        })
    }

    /// Handles the result of a scan; returns `false` if the sweep did not make the call.
    pub(super) fn handle_scan(
        &mut self,
        now: Time,
        call: u64,
        result: &Result<Vec<table::Row>, table::Fault>,
    ) -> bool {
        if self.scan_call != Some(call) {
            return false;
        }
        self.scan_call = None;
        if let Ok(rows) = result {
            let full_page = rows.len() == PAGE_ROWS;
            let last = rows.last().filter(|_| full_page);
            self.after = last.map_or_else(|| "".into(), |row| row.key.clone());
            self.pending_removals = self.old_rows(now, rows);
        }
        true
    }

    /// Handles the result of a removal; returns `false` if the sweep did not make the call. A
    /// failed removal is not retried as is, because the rows may have been replaced since; a later
    /// scan finds those that are still old.
    pub(super) fn handle_removal(&mut self, call: u64) -> bool {
        let own = self.removal_call == Some(call);
        if own {
            self.removal_call = None;
        }
        own
    }

    /// Returns the writes that remove the rows beyond their lifetime.
    fn old_rows(&self, now: Time, rows: &[table::Row]) -> Vec<table::Write> {
        let records: BTreeMap<&str, Record> = rows
            .iter()
            .filter_map(|row| Some((&*row.key, serde_json::from_str(&row.value).ok()?)))
            .collect();
        // The age is measured against the latest claim of another router if that is earlier than
        // this router's clock: a clock that is far ahead must not make new rows look old.
        let others = records.values().filter(|r| r.router != self.router);
        let latest = others.map(|record| record.claimed_at).max();
        let own_clock = self.unix_millis + now.0 / 1_000;
        let current_millis = latest.map_or(own_clock, |latest| latest.min(own_clock));
        let cutoff_millis = current_millis.saturating_sub(self.settings.row_lifetime.as_millis());
        let is_old = |row: &&table::Row| {
            let record = records.get(&*row.key);
            record.is_some_and(|record| record.claimed_at < cutoff_millis)
        };
        let removal = |row: &table::Row| table::Write {
            key: row.key.clone(),
            expect: table::Expect::Version(row.version),
            value: None,
        };
        rows.iter().filter(is_old).map(removal).collect()
    }
}
