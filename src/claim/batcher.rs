//! Claims in the platform's table, batched into few calls.

use super::{Action, Outcome, Record, Settings, State, Verdict};
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
    Pending,
    /// It timed out, but its row may have been written.
    TimedOut,
    /// Its row is written and its request may run.
    Held,
    /// It ended at the given time; its end is to be recorded in its row.
    Ending(Outcome, Time),
}

/// A claim of this router.
#[derive(Clone, Debug)]
struct Entry {
    /// Identifier of the claim that is pending or granted.
    holder: id::Attempt,
    /// Identifier of the claim in the row; that of an earlier claim if the row passed on from it.
    row_attempt: id::Attempt,
    /// Time of the claim.
    claimed: Time,
    /// Time at which the claim times out.
    deadline: Time,
    /// Expected version of the row in the table; 0 if it is absent.
    version: u64,
    /// A write that releases the row was sent; it may take effect late.
    release_tried: bool,
    /// Position in the queue; kept while the row is in a call, so that a requeue restores it.
    position: u64,
    /// Progress.
    stage: Stage,
}

impl Entry {
    /// Reports whether its row is to be written.
    fn needs_write(&self) -> bool {
        matches!(self.stage, Stage::Pending | Stage::Ending(..))
    }
}

impl Stage {
    /// Reports whether the row is to be released.
    fn is_release(&self) -> bool {
        matches!(self, Stage::Ending(Outcome::NotRun, _))
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
pub(super) struct Batcher {
    router: id::Router,
    settings: Settings,
    /// Milliseconds from the Unix epoch to `Time(0)`.
    unix_millis: u64,
    /// Claims by row key.
    entries: BTreeMap<Box<str>, Entry>,
    /// Row key of each claim, by the identifier of the claim.
    holders: BTreeMap<id::Attempt, Box<str>>,
    /// Rows to write by position, lowest first.
    queue: BTreeMap<u64, Box<str>>,
    /// Last assigned position.
    last_position: u64,
    /// Rows whose last write may or may not have taken effect; they are read back before the next
    /// write.
    uncertain: BTreeSet<Box<str>>,
    call: Option<Call>,
    /// Number of consecutive failed calls.
    failures: u32,
    /// Maximum number of rows in the next write; reduced while the table refuses writes.
    row_limit: usize,
    /// Time before which no call is made.
    not_before: Time,
}

impl Batcher {
    pub(super) fn open(router: id::Router, settings: Settings, unix_millis: u64) -> Self {
        Self {
            router,
            settings,
            unix_millis,
            entries: BTreeMap::new(),
            holders: BTreeMap::new(),
            queue: BTreeMap::new(),
            last_position: 0,
            uncertain: BTreeSet::new(),
            call: None,
            failures: 0,
            row_limit: settings.max_rows,
            not_before: Time::default(),
        }
    }

    /// Claims a row under the identifier `attempt`; `Action::Verdict` follows.
    pub(super) fn claim(
        &mut self,
        now: Time,
        attempt: id::Attempt,
        row: Box<str>,
        out: &mut Vec<Action>,
    ) {
        if self.entries.contains_key(&row) {
            return self.claim_existing(now, attempt, row, out);
        }
        if self.entries.len() >= self.settings.max_claims {
            return push_verdict(attempt, Verdict::Unknown, out);
        }
        let wait = if self.failures > 0 {
            self.settings.outage_timeout
        } else {
            self.settings.timeout
        };
        let entry = Entry {
            holder: attempt,
            row_attempt: attempt,
            claimed: now,
            deadline: now + wait,
            version: 0,
            release_tried: false,
            position: 0,
            stage: Stage::Pending,
        };
        self.entries.insert(row.clone(), entry);
        self.holders.insert(attempt, row.clone());
        self.enqueue(&row);
    }

    /// Decides a claim on a row for which this router has an entry.
    fn claim_existing(
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
            Stage::Pending | Stage::Held => Verdict::Running,
            Stage::Ending(Outcome::Finished(stored), _) => Verdict::Finished(stored.clone()),
            Stage::Ending(Outcome::NotRun, _) if !entry.release_tried => {
                self.queue.remove(&entry.position);
                // The row still excludes all other routers, so that it can pass to another claim of
                // this router without a write.
                self.holders.remove(&entry.holder);
                entry.holder = attempt;
                entry.claimed = now;
                entry.stage = Stage::Held;
                self.holders.insert(attempt, row);
                Verdict::Granted
            }
            Stage::TimedOut | Stage::Ending(..) => Verdict::Unknown,
        };
        push_verdict(attempt, verdict, out);
    }

    /// Records the end of a granted claim.
    pub(super) fn settle(&mut self, now: Time, attempt: id::Attempt, outcome: Outcome) {
        let Some(row) = self.holders.get(&attempt) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(row) else {
            return;
        };
        if entry.stage == Stage::Held {
            entry.stage = Stage::Ending(outcome, now);
            let row = row.clone();
            self.enqueue(&row);
        }
    }

    /// Handles the result of a write.
    pub(super) fn handle_write(
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
                self.reset_backoff();
                for row in &call.rows {
                    self.handle_commit(now, row, out);
                }
            }
            Ok(table::Verdict::Conflict(found)) => {
                self.handle_conflict(now, call.rows, &found, out);
            }
            Err(table::Fault::Lost { .. }) => {
                self.back_off(now);
                self.uncertain.extend(call.rows);
            }
            Err(table::Fault::Refused { .. }) => self.handle_refused(now, call.rows, out),
            Err(table::Fault::Limited { retry_after, .. }) => {
                self.back_off(now);
                self.not_before = self.not_before.max(now + retry_after);
                self.requeue(call.rows);
            }
            Err(table::Fault::Unreachable { .. }) => {
                self.back_off(now);
                self.requeue(call.rows);
            }
        }
    }

    /// Handles the result of a read of uncertain rows.
    pub(super) fn handle_read(
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
            return self.back_off(now);
        };
        self.reset_backoff();
        for row in &call.rows {
            self.uncertain.remove(row);
            let absent = table::Row {
                key: row.clone(),
                version: 0,
                value: "".into(),
            };
            let found = found.iter().find(|found| found.key == *row);
            self.reconcile(now, found.unwrap_or(&absent), out);
        }
        self.requeue(call.rows);
    }

    /// Fails the claims that have timed out.
    pub(super) fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        let overdue = |entry: &Entry| entry.stage == Stage::Pending && entry.deadline <= now;
        let entries = self.entries.iter();
        let rows = entries.filter(|(_, entry)| overdue(entry));
        let rows: Vec<Box<str>> = rows.map(|(row, _)| row.clone()).collect();
        for row in rows {
            let may_be_written = self.is_in_call(&row) || self.uncertain.contains(&row);
            let Some(entry) = self.entries.get_mut(&row) else {
                continue;
            };
            push_verdict(entry.holder, Verdict::Unknown, out);
            if may_be_written {
                entry.stage = Stage::TimedOut;
            } else {
                self.remove_entry(&row);
            }
        }
    }

    /// Starts the next call if one is due; returns whether it did.
    pub(super) fn start_call(&mut self, now: Time, number: u64, out: &mut Vec<Action>) -> bool {
        if self.call.is_some() || now < self.not_before {
            return false;
        }
        let rows = if self.uncertain.is_empty() {
            self.take_due_rows(now)
        } else {
            let uncertain = self.uncertain.iter().take(self.settings.max_rows);
            uncertain.cloned().collect()
        };
        if rows.is_empty() {
            return false;
        }
        self.not_before = now + self.settings.call_interval;
        out.push(if self.uncertain.is_empty() {
            let writes = rows.iter().filter_map(|row| self.row_write(row)).collect();
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
    pub(super) fn delay_next_call(&mut self, now: Time) {
        self.not_before = now + self.settings.call_interval;
    }

    /// Reports whether no write is pending or in progress.
    pub(super) fn is_settled(&self) -> bool {
        let is_held = |entry: &Entry| entry.stage == Stage::Held;
        self.call.is_none() && self.entries.values().all(is_held)
    }

    /// Returns the time of the next timeout or call, if any.
    pub(super) fn wake_at(&self) -> Option<Time> {
        let pending = self.entries.values();
        let pending = pending.filter(|entry| entry.stage == Stage::Pending);
        let timeout = pending.map(|entry| entry.deadline).min();
        let due = if self.uncertain.is_empty() {
            self.due_at()
        } else {
            Some(self.not_before)
        };
        let due = due.filter(|_| self.call.is_none());
        let call = due.map(|due| due.max(self.not_before));
        timeout.into_iter().chain(call).min()
    }

    /// Takes the rows of the next write off the queue, if any row in it is due.
    fn take_due_rows(&mut self, now: Time) -> Vec<Box<str>> {
        if self.due_at().is_none_or(|due| due > now) {
            return Vec::new();
        }
        let mut rows = Vec::new();
        while rows.len() < self.row_limit
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

    fn row_write(&self, row: &str) -> Option<table::Write> {
        let entry = self.entries.get(row)?;
        let (state, answer) = match &entry.stage {
            Stage::Pending | Stage::Held => (State::Running, None),
            Stage::TimedOut | Stage::Ending(Outcome::NotRun, _) => (State::Released, None),
            Stage::Ending(Outcome::Unknown, _) => (State::Unknown, None),
            Stage::Ending(Outcome::Finished(answer), _) => (State::Finished, answer.clone()),
        };
        let record = Record {
            router: self.router.clone(),
            attempt: entry.row_attempt.to_string().into(),
            state,
            claimed_at: self.unix_millis + entry.claimed.0 / 1_000,
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

    fn handle_commit(&mut self, now: Time, row: &str, out: &mut Vec<Action>) {
        let Some(entry) = self.entries.get_mut(row) else {
            return;
        };
        entry.version += 1;
        match entry.stage {
            Stage::Pending => {
                entry.stage = Stage::Held;
                push_verdict(entry.holder, Verdict::Granted, out);
            }
            Stage::TimedOut => {
                entry.stage = Stage::Ending(Outcome::NotRun, now);
                self.enqueue(row);
            }
            Stage::Held => {}
            Stage::Ending(..) => self.remove_entry(row),
        }
    }

    fn handle_conflict(
        &mut self,
        now: Time,
        rows: Vec<Box<str>>,
        found: &[table::Row],
        out: &mut Vec<Action>,
    ) {
        let found: Vec<_> = found.iter().filter(|f| rows.contains(&f.key)).collect();
        if found.is_empty() {
            self.back_off(now);
        } else {
            self.reset_backoff();
        }
        for row in found {
            self.reconcile(now, row, out);
        }
        self.requeue(rows);
    }

    /// Reconciles a claim whose write failed or may have failed with the row in the table.
    fn reconcile(&mut self, now: Time, found: &table::Row, out: &mut Vec<Action>) {
        let row = &found.key;
        let Some(entry) = self.entries.get_mut(row) else {
            return;
        };
        let record = serde_json::from_str::<Record>(&found.value).ok();
        let row_attempt = entry.row_attempt.to_string();
        let own = record.as_ref().is_some_and(|r| *r.attempt == *row_attempt);
        let state = record.as_ref().map(|record| record.state);
        match &entry.stage {
            Stage::Pending if own && state == Some(State::Running) => {
                entry.version = found.version;
                entry.stage = Stage::Held;
                push_verdict(entry.holder, Verdict::Granted, out);
            }
            Stage::Pending if found.version == 0 || state == Some(State::Released) => {
                entry.version = found.version;
            }
            Stage::Pending => {
                push_verdict(entry.holder, verdict_of(record), out);
                self.remove_entry(row);
            }
            Stage::TimedOut if own => {
                entry.version = found.version;
                entry.stage = Stage::Ending(Outcome::NotRun, now);
            }
            Stage::Ending(..) if own && state == Some(State::Running) => {
                entry.version = found.version;
            }
            Stage::Held => {}
            Stage::TimedOut | Stage::Ending(..) => self.remove_entry(row),
        }
    }

    /// Handles a write that the table rejected as invalid: halves the batch until the write holds a
    /// single row, which is then the rejected one.
    fn handle_refused(&mut self, now: Time, rows: Vec<Box<str>>, out: &mut Vec<Action>) {
        self.back_off(now);
        if rows.len() > 1 {
            self.row_limit = rows.len() / 2;
            return self.requeue(rows);
        }
        self.row_limit = self.settings.max_rows;
        for row in &rows {
            let Some(entry) = self.entries.get_mut(row) else {
                continue;
            };
            if let Stage::Ending(Outcome::Finished(answer @ Some(_)), _) = &mut entry.stage {
                // The stored response may be what the table rejects; retry without it.
                *answer = None;
                self.queue.insert(entry.position, row.clone());
                continue;
            }
            if entry.stage == Stage::Pending {
                push_verdict(entry.holder, Verdict::Unknown, out);
            }
            self.remove_entry(row);
        }
    }

    /// Appends a row to the queue.
    fn enqueue(&mut self, row: &str) {
        if let Some(entry) = self.entries.get_mut(row) {
            self.last_position += 1;
            self.queue.remove(&entry.position);
            entry.position = self.last_position;
            self.queue.insert(entry.position, row.into());
        }
    }

    /// Returns rows that still have something to write to their positions in the queue.
    fn requeue(&mut self, rows: Vec<Box<str>>) {
        for row in rows {
            let Some(entry) = self.entries.get(&row) else {
                continue;
            };
            if entry.needs_write() {
                self.queue.insert(entry.position, row);
            } else if entry.stage == Stage::TimedOut {
                // The call did not write the row, so that nothing has to be released.
                self.remove_entry(&row);
            }
        }
    }

    fn remove_entry(&mut self, row: &str) {
        if let Some(entry) = self.entries.remove(row) {
            self.holders.remove(&entry.holder);
            self.queue.remove(&entry.position);
        }
        self.uncertain.remove(row);
    }

    fn is_in_call(&self, row: &str) -> bool {
        let call = self.call.as_ref();
        call.is_some_and(|call| call.rows.iter().any(|called| **called == *row))
    }

    fn reset_backoff(&mut self) {
        self.failures = 0;
        self.row_limit = self.settings.max_rows;
    }

    fn back_off(&mut self, now: Time) {
        let doublings = self.failures.min(16);
        let delay = FIRST_BACKOFF.0 << doublings;
        let delay = Span(delay.min(self.settings.max_backoff.0));
        self.failures = self.failures.saturating_add(1);
        self.not_before = self.not_before.max(now + delay);
    }
}

fn push_verdict(attempt: id::Attempt, verdict: Verdict, out: &mut Vec<Action>) {
    out.push(Action::Verdict { attempt, verdict });
}

/// Returns the decision on a claim whose row belongs to another claim.
fn verdict_of(record: Option<Record>) -> Verdict {
    match record {
        Some(record) => match record.state {
            State::Running => Verdict::Running,
            State::Finished => Verdict::Finished(record.answer),
            State::Unknown | State::Released => Verdict::Unknown,
        },
        None => Verdict::Unknown,
    }
}
