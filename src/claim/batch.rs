//! Claims in the platform's table, batched into few calls.

use super::{Action, End, Record, Settings, State, Verdict};
use crate::{
    id, table,
    unit::{Span, Time},
};
use std::collections::{BTreeMap, BTreeSet};

/// Backoff after the first failed call; it doubles with each further one.
const FIRST_BACKOFF: Span = Span::from_millis(50);

/// Progress of a claim of this router.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Its row is to be written, or may have been written.
    Wanted,
    /// It timed out, but its row may have been written.
    Abandoned,
    /// Its row is written and the holder may run.
    Held,
    /// It ended at the given time; its end is to be recorded in its row.
    Ending(End, Time),
}

/// A claim of this router.
#[derive(Clone, Debug)]
struct Entry {
    /// Attempt that currently makes or holds the claim.
    holder: id::Attempt,
    /// Attempt that is written to the row.
    mark: id::Attempt,
    /// Time of the claim.
    claimed: Time,
    /// Time at which the claim times out.
    until: Time,
    /// Expected version of the row in the table; 0 if it is absent.
    version: u64,
    /// A write that releases the row was sent; it may take effect late.
    release_tried: bool,
    /// Position in the queue; kept while the row is in a call, so that a requeue restores it.
    place: u64,
    /// Progress.
    stage: Stage,
}

impl Entry {
    /// Reports whether its row is to be written.
    fn is_to_write(&self) -> bool {
        matches!(self.stage, Stage::Wanted | Stage::Ending(..))
    }
}

impl Stage {
    /// Reports whether the row is to be released.
    fn is_release(&self) -> bool {
        matches!(self, Stage::Ending(End::NotRun, _))
    }
}

/// The call in progress.
#[derive(Clone, Debug)]
struct Call {
    number: u64,
    rows: Vec<Box<str>>,
}

/// Claims in the platform's table. When a claim ends, its row is overwritten rather than deleted,
/// so that row versions only grow and a late write of an old claim fails its precondition.
#[derive(Debug)]
pub(super) struct Batch {
    router: id::Router,
    settings: Settings,
    /// Milliseconds from the Unix epoch to `Time(0)`.
    epoch_millis: u64,
    entries: BTreeMap<Box<str>, Entry>,
    holders: BTreeMap<id::Attempt, Box<str>>,
    /// Rows to write by position, lowest first.
    queue: BTreeMap<u64, Box<str>>,
    /// Last assigned position.
    places: u64,
    /// Rows whose last write may or may not have taken effect; they are read back before the next
    /// write.
    doubtful: BTreeSet<Box<str>>,
    call: Option<Call>,
    failures: u32,
    /// Maximum number of rows in the next write; reduced while the table refuses writes.
    limit: usize,
    /// Time before which no call is made.
    not_before: Time,
}

impl Batch {
    pub(super) fn open(router: id::Router, settings: Settings, epoch_millis: u64) -> Self {
        Self {
            router,
            settings,
            epoch_millis,
            entries: BTreeMap::new(),
            holders: BTreeMap::new(),
            queue: BTreeMap::new(),
            places: 0,
            doubtful: BTreeSet::new(),
            call: None,
            failures: 0,
            limit: settings.max_rows,
            not_before: Time::default(),
        }
    }

    /// Claims a row for an attempt; `Action::Verdict` follows.
    pub(super) fn claim(
        &mut self,
        now: Time,
        attempt: id::Attempt,
        row: Box<str>,
        out: &mut Vec<Action>,
    ) {
        if self.entries.contains_key(&row) {
            return self.claim_known(now, attempt, row, out);
        }
        if self.entries.len() >= self.settings.max_claims {
            return answer(attempt, Verdict::Unknown, out);
        }
        let wait = if self.failures > 0 {
            self.settings.wait_failing
        } else {
            self.settings.wait
        };
        let entry = Entry {
            holder: attempt,
            mark: attempt,
            claimed: now,
            until: now + wait,
            version: 0,
            release_tried: false,
            place: 0,
            stage: Stage::Wanted,
        };
        self.entries.insert(row.clone(), entry);
        self.holders.insert(attempt, row.clone());
        self.enqueue(&row);
    }

    /// Decides a claim on a row for which this router has an entry.
    fn claim_known(
        &mut self,
        now: Time,
        attempt: id::Attempt,
        row: Box<str>,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.entries.get_mut(&row) else {
            return;
        };
        let verdict = match &entry.stage {
            Stage::Wanted | Stage::Held => Verdict::Running,
            Stage::Ending(End::Finished(stored), _) => Verdict::Finished(stored.clone()),
            Stage::Ending(End::NotRun, _) if !entry.release_tried => {
                self.queue.remove(&entry.place);
                // The row still excludes all other routers, so that the claim can pass to another
                // attempt of this router without a write.
                self.holders.remove(&entry.holder);
                entry.holder = attempt;
                entry.claimed = now;
                entry.stage = Stage::Held;
                self.holders.insert(attempt, row);
                Verdict::Granted
            }
            Stage::Abandoned | Stage::Ending(..) => Verdict::Unknown,
        };
        answer(attempt, verdict, out);
    }

    /// Records the end of a granted claim.
    pub(super) fn settle(&mut self, now: Time, attempt: id::Attempt, end: End) {
        let Some(row) = self.holders.get(&attempt) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(row) else {
            return;
        };
        if entry.stage == Stage::Held {
            entry.stage = Stage::Ending(end, now);
            let row = row.clone();
            self.enqueue(&row);
        }
    }

    /// Handles the result of a write.
    pub(super) fn written(
        &mut self,
        now: Time,
        number: u64,
        result: Result<table::Verdict, table::Fault>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.call.take_if(|call| call.number == number) else {
            return;
        };
        match result {
            Ok(table::Verdict::Committed) => {
                self.recover();
                for row in &call.rows {
                    self.commit(now, row, out);
                }
            }
            Ok(table::Verdict::Conflict(found)) => {
                self.conflict(now, call.rows, &found, out);
            }
            Err(table::Fault::Lost { .. }) => {
                self.fail(now);
                self.doubtful.extend(call.rows);
            }
            Err(table::Fault::Refused { .. }) => self.refused(now, call.rows, out),
            Err(table::Fault::Limited { retry_after, .. }) => {
                self.fail(now);
                self.not_before = self.not_before.max(now + retry_after);
                self.requeue(call.rows);
            }
            Err(table::Fault::Unreachable { .. }) => {
                self.fail(now);
                self.requeue(call.rows);
            }
        }
    }

    /// Handles the result of a read of uncertain rows.
    pub(super) fn read(
        &mut self,
        now: Time,
        number: u64,
        result: Result<Vec<table::Row>, table::Fault>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.call.take_if(|call| call.number == number) else {
            return;
        };
        let Ok(found) = result else {
            return self.fail(now);
        };
        self.recover();
        for row in &call.rows {
            self.doubtful.remove(row);
            let absent = table::Row {
                key: row.clone(),
                version: 0,
                value: "".into(),
            };
            let found = found.iter().find(|found| found.key == *row);
            self.observe(now, found.unwrap_or(&absent), out);
        }
        self.requeue(call.rows);
    }

    /// Fails the claims that have timed out.
    pub(super) fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        let overdue = |entry: &Entry| entry.stage == Stage::Wanted && entry.until <= now;
        let entries = self.entries.iter();
        let rows = entries.filter(|(_, entry)| overdue(entry));
        let rows: Vec<Box<str>> = rows.map(|(row, _)| row.clone()).collect();
        for row in rows {
            let may_be_written = self.is_called(&row) || self.doubtful.contains(&row);
            let Some(entry) = self.entries.get_mut(&row) else {
                continue;
            };
            answer(entry.holder, Verdict::Unknown, out);
            if may_be_written {
                entry.stage = Stage::Abandoned;
            } else {
                self.forget(&row);
            }
        }
    }

    /// Starts the next call if one is due; returns whether it did.
    pub(super) fn pump(&mut self, now: Time, number: u64, out: &mut Vec<Action>) -> bool {
        if self.call.is_some() || now < self.not_before {
            return false;
        }
        let rows = if self.doubtful.is_empty() {
            self.next_rows(now)
        } else {
            let doubtful = self.doubtful.iter().take(self.settings.max_rows);
            doubtful.cloned().collect()
        };
        if rows.is_empty() {
            return false;
        }
        self.not_before = now + self.settings.period;
        out.push(if self.doubtful.is_empty() {
            let writes = rows.iter().filter_map(|row| self.write(row)).collect();
            Action::Write {
                call: number,
                writes,
            }
        } else {
            let keys = rows.clone();
            Action::Read { call: number, keys }
        });
        self.call = Some(Call { number, rows });
        true
    }

    /// Reports whether another component may call the table now.
    pub(super) fn is_idle(&self, now: Time) -> bool {
        self.call.is_none() && self.failures == 0 && now >= self.not_before
    }

    /// Keeps the minimum call interval after another component's call.
    pub(super) fn hold(&mut self, now: Time) {
        self.not_before = now + self.settings.period;
    }

    /// Reports whether no write is pending or in progress.
    pub(super) fn is_settled(&self) -> bool {
        let idle = |entry: &Entry| entry.stage == Stage::Held;
        self.call.is_none() && self.entries.values().all(idle)
    }

    /// Returns the time of the next timeout or call, if any.
    pub(super) fn wake_at(&self) -> Option<Time> {
        let wanted = self.entries.values();
        let wanted = wanted.filter(|entry| entry.stage == Stage::Wanted);
        let timeout = wanted.map(|entry| entry.until).min();
        let due = if self.doubtful.is_empty() {
            self.due_at()
        } else {
            Some(self.not_before)
        };
        let due = due.filter(|_| self.call.is_none());
        let call = due.map(|due| due.max(self.not_before));
        timeout.into_iter().chain(call).min()
    }

    /// Takes the rows of the next write off the queue, if any row in it is due.
    fn next_rows(&mut self, now: Time) -> Vec<Box<str>> {
        if self.due_at().is_none_or(|due| due > now) {
            return Vec::new();
        }
        let mut rows = Vec::new();
        while rows.len() < self.limit
            && let Some((_, row)) = self.queue.pop_first()
        {
            rows.push(row);
        }
        for row in &rows {
            if let Some(entry) = self.entries.get_mut(row) {
                entry.release_tried |= entry.stage.is_release();
            }
        }
        rows
    }

    /// Returns the time at which the queue is due to be written: a new claim at once, an end after
    /// `settle_delay`.
    fn due_at(&self) -> Option<Time> {
        let entries = self.queue.values().filter_map(|row| self.entries.get(row));
        let due = entries.map(|entry| match &entry.stage {
            Stage::Ending(_, since) => *since + self.settings.settle_delay,
            _ => entry.claimed,
        });
        due.min()
    }

    fn write(&self, row: &str) -> Option<table::Write> {
        let entry = self.entries.get(row)?;
        let (state, answer) = match &entry.stage {
            Stage::Wanted | Stage::Held => (State::Running, None),
            Stage::Abandoned | Stage::Ending(End::NotRun, _) => (State::Released, None),
            Stage::Ending(End::Unknown, _) => (State::Unknown, None),
            Stage::Ending(End::Finished(answer), _) => (State::Finished, answer.clone()),
        };
        let record = Record {
            router: self.router.clone(),
            attempt: entry.mark.to_string().into(),
            state,
            claimed_at: self.epoch_millis + entry.claimed.0 / 1_000,
            answer,
        };
        let expect = match entry.version {
            0 => table::Expect::Absent,
            version => table::Expect::Version(version),
        };
        Some(table::Write {
            key: row.into(),
            expect,
            value: serde_json::to_string(&record).ok().map(Into::into),
        })
    }

    fn commit(&mut self, now: Time, row: &str, out: &mut Vec<Action>) {
        let Some(entry) = self.entries.get_mut(row) else {
            return;
        };
        entry.version += 1;
        match entry.stage {
            Stage::Wanted => {
                entry.stage = Stage::Held;
                answer(entry.holder, Verdict::Granted, out);
            }
            Stage::Abandoned => {
                entry.stage = Stage::Ending(End::NotRun, now);
                self.enqueue(row);
            }
            Stage::Held => {}
            Stage::Ending(..) => self.forget(row),
        }
    }

    fn conflict(
        &mut self,
        now: Time,
        rows: Vec<Box<str>>,
        found: &[table::Row],
        out: &mut Vec<Action>,
    ) {
        let found: Vec<_> = found.iter().filter(|f| rows.contains(&f.key)).collect();
        if found.is_empty() {
            self.fail(now);
        } else {
            self.recover();
        }
        for row in found {
            self.observe(now, row, out);
        }
        self.requeue(rows);
    }

    /// Reconciles a claim whose write failed or may have failed with the row in the table.
    fn observe(&mut self, now: Time, found: &table::Row, out: &mut Vec<Action>) {
        let row = &found.key;
        let Some(entry) = self.entries.get_mut(row) else {
            return;
        };
        let record = serde_json::from_str::<Record>(&found.value).ok();
        let mark = entry.mark.to_string();
        let own = record.as_ref().is_some_and(|r| *r.attempt == *mark);
        let state = record.as_ref().map(|record| record.state);
        match &entry.stage {
            Stage::Wanted if own && state == Some(State::Running) => {
                entry.version = found.version;
                entry.stage = Stage::Held;
                answer(entry.holder, Verdict::Granted, out);
            }
            Stage::Wanted if found.version == 0 || state == Some(State::Released) => {
                entry.version = found.version;
            }
            Stage::Wanted => {
                answer(entry.holder, verdict(record), out);
                self.forget(row);
            }
            Stage::Abandoned if own => {
                entry.version = found.version;
                entry.stage = Stage::Ending(End::NotRun, now);
            }
            Stage::Ending(..) if own && state == Some(State::Running) => {
                entry.version = found.version;
            }
            Stage::Held => {}
            Stage::Abandoned | Stage::Ending(..) => self.forget(row),
        }
    }

    /// Handles a write that the table rejected as invalid: halves the batch until the write holds a
    /// single row, which is the rejected one.
    fn refused(&mut self, now: Time, rows: Vec<Box<str>>, out: &mut Vec<Action>) {
        self.fail(now);
        if rows.len() > 1 {
            self.limit = rows.len() / 2;
            return self.requeue(rows);
        }
        self.limit = self.settings.max_rows;
        for row in &rows {
            let Some(entry) = self.entries.get_mut(row) else {
                continue;
            };
            if let Stage::Ending(End::Finished(answer @ Some(_)), _) = &mut entry.stage {
                // The stored response may be what the table rejects; retry without it.
                *answer = None;
                self.queue.insert(entry.place, row.clone());
                continue;
            }
            if entry.stage == Stage::Wanted {
                answer(entry.holder, Verdict::Unknown, out);
            }
            self.forget(row);
        }
    }

    /// Appends a row to the queue.
    fn enqueue(&mut self, row: &str) {
        if let Some(entry) = self.entries.get_mut(row) {
            self.places += 1;
            self.queue.remove(&entry.place);
            entry.place = self.places;
            self.queue.insert(entry.place, row.into());
        }
    }

    /// Returns rows that still have something to write to their positions in the queue.
    fn requeue(&mut self, rows: Vec<Box<str>>) {
        for row in rows {
            let Some(entry) = self.entries.get(&row) else {
                continue;
            };
            if entry.is_to_write() {
                self.queue.insert(entry.place, row);
            } else if entry.stage == Stage::Abandoned {
                // The call did not write the row, so that nothing has to be released.
                self.forget(&row);
            }
        }
    }

    fn forget(&mut self, row: &str) {
        if let Some(entry) = self.entries.remove(row) {
            self.holders.remove(&entry.holder);
            self.queue.remove(&entry.place);
        }
        self.doubtful.remove(row);
    }

    fn is_called(&self, row: &str) -> bool {
        let call = self.call.as_ref();
        call.is_some_and(|call| call.rows.iter().any(|called| **called == *row))
    }

    fn recover(&mut self) {
        self.failures = 0;
        self.limit = self.settings.max_rows;
    }

    fn fail(&mut self, now: Time) {
        let doublings = self.failures.min(16);
        let delay = FIRST_BACKOFF.0 << doublings;
        let delay = Span(delay.min(self.settings.backoff_max.0));
        self.failures = self.failures.saturating_add(1);
        self.not_before = self.not_before.max(now + delay);
    }
}

fn answer(attempt: id::Attempt, verdict: Verdict, out: &mut Vec<Action>) {
    out.push(Action::Verdict { attempt, verdict });
}

/// Returns the decision on a claim whose row belongs to another claim.
fn verdict(record: Option<Record>) -> Verdict {
    match record {
        Some(record) => match record.state {
            State::Running => Verdict::Running,
            State::Finished => Verdict::Finished(record.answer),
            State::Unknown | State::Released => Verdict::Unknown,
        },
        None => Verdict::Unknown,
    }
}
