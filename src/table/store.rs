//! Contents of a simulated platform, without I/O.

use super::{Expect, Fault, Row, Script, Stats, Verdict, Vm, Write, bucket::Bucket};
use crate::unit::{Span, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

/// Maximum number of rows that one transaction may write, a usual limit of table services.
pub const MAX_WRITES: usize = 1_000;
/// Maximum number of rows that one read or scan may return.
pub const MAX_ROWS: usize = 10_000;

/// HTTP status of an invalid call.
const BAD_REQUEST: u16 = 400;

type Rows = BTreeMap<Box<str>, Row>;

/// Contents of a simulated platform and the faults injected into it.
#[derive(Debug, Default)]
pub(crate) struct Store {
    rows: Rows,
    /// Snapshot that reads return while stale reads are injected.
    stale_rows: Option<Rows>,
    objects: BTreeMap<Box<str>, Vec<u8>>,
    /// Lists of VMs, each with the time from which it is visible, oldest first.
    vm_lists: Vec<(Time, Vec<Vm>)>,
    script: Script,
    stats: Stats,
    write_rate: Bucket,
    read_rate: Bucket,
}

impl Store {
    pub(crate) fn script(&self) -> &Script {
        &self.script
    }

    pub(crate) fn stats(&self) -> Stats {
        self.stats
    }

    pub(crate) fn set_script(&mut self, script: Script) {
        self.stale_rows = match (script.stale_reads, self.stale_rows.take()) {
            (false, _) => None,
            (true, Some(rows)) => Some(rows),
            (true, None) => Some(self.rows.clone()),
        };
        self.script = script;
    }

    /// Replaces the list of VMs; readers see it after `lag`.
    pub(crate) fn set_vms(&mut self, now: Time, lag: Span, vms: Vec<Vm>) {
        let visible = now + lag;
        self.vm_lists.retain(|(at, _)| *at <= visible);
        self.vm_lists.push((visible, vms));
    }

    pub(crate) fn list(&mut self, now: Time) -> Result<Vec<Vm>, Fault> {
        self.begin_read("list", now)?;
        let visible = self.vm_lists.iter().rposition(|(at, _)| *at <= now);
        let Some(visible) = visible else {
            return Ok(Vec::new());
        };
        self.vm_lists.drain(..visible);
        Ok(self.vm_lists[0].1.clone())
    }

    pub(crate) fn read(&mut self, now: Time, keys: &[Box<str>]) -> Result<Vec<Row>, Fault> {
        self.begin_read("read", now)?;
        if keys.len() > MAX_ROWS {
            return Err(invalid_request("read", "too many keys"));
        }
        let rows = self.stale_rows.as_ref().unwrap_or(&self.rows);
        let found: Vec<Row> = keys.iter().filter_map(|k| rows.get(k).cloned()).collect();
        self.stats.bytes += found.iter().map(byte_size).sum::<u64>();
        Ok(found)
    }

    pub(crate) fn scan(
        &mut self,
        now: Time,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, Fault> {
        self.begin_read("scan", now)?;
        let rows = self.stale_rows.as_ref().unwrap_or(&self.rows);
        let found: Vec<Row> = rows
            .range::<str, _>((Bound::Included(prefix.max(after)), Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| &***key > after)
            .take(limit.min(MAX_ROWS))
            .map(|(_, row)| row.clone())
            .collect();
        self.stats.bytes += found.iter().map(byte_size).sum::<u64>();
        Ok(found)
    }

    pub(crate) fn write(&mut self, now: Time, writes: &[Write]) -> Result<Verdict, Fault> {
        self.begin_write("write", now)?;
        check_writes(writes)?;
        let conflicting: Vec<Row> = writes
            .iter()
            .filter_map(|w| self.conflicting_row(w))
            .collect();
        let verdict = if conflicting.is_empty() {
            writes.iter().for_each(|w| self.apply(w));
            Verdict::Committed
        } else {
            self.stats.conflicts += 1;
            Verdict::Conflict(conflicting)
        };
        self.end_write("write").map(|()| verdict)
    }

    pub(crate) fn get(&mut self, now: Time, name: &str) -> Result<Option<Vec<u8>>, Fault> {
        self.begin_read("get", now)?;
        let body = self.objects.get(name).cloned();
        self.stats.bytes += body.as_ref().map_or(0, |b| b.len() as u64);
        Ok(body)
    }

    pub(crate) fn put(&mut self, now: Time, name: &str, body: &[u8]) -> Result<(), Fault> {
        self.begin_write("put", now)?;
        self.stats.bytes += body.len() as u64;
        self.objects.insert(name.into(), body.to_vec());
        self.end_write("put")
    }

    /// Returns the current row if the write's precondition fails.
    fn conflicting_row(&self, write: &Write) -> Option<Row> {
        let row = self.rows.get(&write.key);
        let version = row.map_or(0, |row| row.version);
        let holds = match write.expect {
            Expect::Any => true,
            Expect::Absent => row.is_none(),
            Expect::Version(expected) => row.is_some() && version == expected,
        };
        if holds {
            return None;
        }
        Some(row.cloned().unwrap_or_else(|| Row {
            key: write.key.clone(),
            version: 0,
            value: "".into(),
        }))
    }

    fn apply(&mut self, write: &Write) {
        self.stats.rows_written += 1;
        self.stats.bytes += write.key.len() as u64;
        let Some(value) = &write.value else {
            self.rows.remove(&write.key);
            return;
        };
        self.stats.bytes += value.len() as u64;
        let version = self.rows.get(&write.key).map_or(0, |row| row.version) + 1;
        let row = Row {
            key: write.key.clone(),
            version,
            value: value.clone(),
        };
        self.rows.insert(write.key.clone(), row);
    }

    fn begin_read(&mut self, call: &str, now: Time) -> Result<(), Fault> {
        self.check_available(call)?;
        let rate = self.script.reads_per_second;
        let admitted = rate.map_or(Ok(()), |rate| self.read_rate.acquire(now, rate));
        self.check_rate(call, admitted)?;
        self.stats.reads += 1;
        Ok(())
    }

    fn begin_write(&mut self, call: &str, now: Time) -> Result<(), Fault> {
        self.check_available(call)?;
        let rate = self.script.writes_per_second;
        let admitted = rate.map_or(Ok(()), |rate| self.write_rate.acquire(now, rate));
        self.check_rate(call, admitted)?;
        self.stats.writes += 1;
        Ok(())
    }

    /// Fails a write that has taken effect, if the loss of its response is injected.
    fn end_write(&mut self, call: &str) -> Result<(), Fault> {
        if self.script.lose_answers == 0 {
            return Ok(());
        }
        self.script.lose_answers -= 1;
        self.stats.lost += 1;
        Err(Fault::Lost {
            call: call.into(),
            cause: "response lost by fault injection".into(),
        })
    }

    fn check_available(&self, call: &str) -> Result<(), Fault> {
        if !self.script.down {
            return Ok(());
        }
        Err(Fault::Unreachable {
            call: call.into(),
            cause: "down by fault injection".into(),
        })
    }

    fn check_rate(&mut self, call: &str, admitted: Result<(), Span>) -> Result<(), Fault> {
        admitted.map_err(|retry_after| {
            self.stats.limited += 1;
            Fault::Limited {
                call: call.into(),
                retry_after,
            }
        })
    }
}

fn check_writes(writes: &[Write]) -> Result<(), Fault> {
    if writes.len() > MAX_WRITES {
        return Err(invalid_request("write", "too many rows"));
    }
    let keys: BTreeSet<&str> = writes.iter().map(|w| &*w.key).collect();
    if keys.len() < writes.len() {
        return Err(invalid_request("write", "duplicate key"));
    }
    Ok(())
}

fn invalid_request(call: &str, detail: &str) -> Fault {
    Fault::Refused {
        call: call.into(),
        status: BAD_REQUEST,
        detail: detail.into(),
    }
}

fn byte_size(row: &Row) -> u64 {
    (row.key.len() + row.value.len()) as u64
}
