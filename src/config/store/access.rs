//! Reads and writes of the stored configuration.

use super::{Error, HEAD_KEY, Outcome, Proposal, Stored};
use crate::{
    config::{Delta, Document, Entry, Head, Malformed, Step, Update},
    table::{Expect, Fault, Objects, Row, Table, Verdict, Write},
    unit::Version,
};
use std::sync::Arc;

/// Versions between two snapshots: a router that reads from the platform reads at most that many objects, and
/// 2,800 changes a day write 22 snapshots.
const SNAPSHOT_PERIOD: u64 = 128;
/// Attempts at a call before the platform counts as unreachable.
const MAX_ATTEMPTS: u32 = 5;

/// The configuration stored in the platform. Calls block.
pub struct Store {
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
}

/// Contents of the object of one version.
#[derive(serde::Serialize, serde::Deserialize)]
struct Object {
    head: Head,
    /// Head of the version that the step applies to.
    previous: Option<Head>,
    step: Step,
}

impl Store {
    /// Returns a store over the platform's services.
    pub fn new(table: Arc<dyn Table>, objects: Arc<dyn Objects>) -> Self {
        Self { table, objects }
    }

    /// Reads the head, `None` if there is no configuration yet.
    ///
    /// # Errors
    ///
    /// Fails if the platform fails or the row is damaged.
    pub fn head(&self) -> Result<Option<Head>, Error> {
        let row = self.read_row()?;
        row.as_ref().map(decode_head).transpose()
    }

    /// Reads the changes after a version, `None` if there are none. Returns the whole configuration, as a snapshot and
    /// steps, if the version is too old or not in the history.
    ///
    /// # Errors
    ///
    /// Fails if the platform fails or what it holds is damaged.
    pub fn changes(&self, have: Version) -> Result<Option<Update>, Error> {
        let Some(head) = self.head()? else {
            return Ok(None);
        };
        if head.entry.version <= have {
            return Ok(None);
        }
        self.steps_from(&head, have).map(Some)
    }

    /// Reads the whole configuration.
    ///
    /// # Errors
    ///
    /// Fails if the platform fails or what it holds is damaged.
    pub fn load(&self) -> Result<Stored, Error> {
        match self.head()? {
            Some(head) => self.load_at(head),
            None => Ok(Stored::default()),
        }
    }

    /// Reads the whole configuration of an earlier version, `None` if there is no such version.
    ///
    /// # Errors
    ///
    /// Fails if the platform fails or what it holds is damaged.
    pub fn load_version(&self, version: Version) -> Result<Option<Stored>, Error> {
        let mut next = self.head()?;
        while let Some(head) = next {
            if head.entry.version == version {
                return self.load_at(head).map(Some);
            }
            if head.entry.version < version {
                return Ok(None);
            }
            next = self.read_object(head.entry)?.previous;
        }
        Ok(None)
    }

    /// Reads the latest `limit` versions, newest first.
    ///
    /// # Errors
    ///
    /// Fails if the platform fails or what it holds is damaged.
    pub fn history(&self, limit: usize) -> Result<Vec<Head>, Error> {
        let mut heads = Vec::new();
        let mut next = self.head()?;
        while let Some(head) = next {
            if heads.len() == limit {
                break;
            }
            next = self.read_object(head.entry)?.previous;
            heads.push(head);
        }
        Ok(heads)
    }

    /// Tries to replace the stored configuration by compare-and-set of the head row. `pause` is called with the fault
    /// before each retry and waits.
    ///
    /// # Errors
    ///
    /// Fails if the platform fails or what it holds is damaged; nothing was changed then.
    pub fn apply(
        &self,
        proposal: &Proposal,
        pause: &mut dyn FnMut(&Fault),
    ) -> Result<Outcome, Error> {
        let row = retry(pause, || self.read_row())?;
        let previous = row.as_ref().map(decode_head).transpose()?;
        if version(previous.as_ref()) != proposal.base {
            return Ok(Outcome::Conflict { winner: previous });
        }
        let delta = Delta::between(&proposal.current, &proposal.document);
        if delta.is_empty() {
            return Ok(Outcome::Unchanged);
        }
        let head = self.put_objects(proposal, previous, delta, pause)?;
        let write = Write {
            key: HEAD_KEY.into(),
            expect: row.map_or(Expect::Absent, |row| Expect::Version(row.version)),
            value: Some(encode(&head).into()),
        };
        self.write_head(head, write, pause)
    }

    /// Writes the objects of a proposal and returns the head that refers to them.
    fn put_objects(
        &self,
        proposal: &Proposal,
        previous: Option<Head>,
        delta: Delta,
        pause: &mut dyn FnMut(&Fault),
    ) -> Result<Head, Error> {
        let base = proposal.base;
        let entry = Entry {
            version: base.max(proposal.floor).next(),
            change: proposal.change,
        };
        let digest = proposal.document.digest();
        let latest = previous.as_ref().map(|previous| previous.snapshot);
        // If versions are skipped, routers may be at one that no step starts from, so a snapshot is needed.
        let skips_versions = proposal.floor > base;
        let outdated = |snapshot: &Entry| entry.version.0 - snapshot.version.0 >= SNAPSHOT_PERIOD;
        let snapshot = match latest {
            Some(latest) if !skips_versions && !outdated(&latest) => latest,
            _ => entry,
        };
        if snapshot == entry {
            let steps = vec![Step::snapshot(&proposal.document, entry.version, digest)];
            let body = Update { steps }.encode();
            retry(pause, || self.objects.put(&snapshot_name(entry), &body))?;
        }
        let head = Head {
            entry,
            digest,
            author: proposal.author.clone(),
            note: proposal.note.clone(),
            at: proposal.at,
            snapshot,
        };
        let object = Object {
            head: head.clone(),
            previous,
            step: Step {
                from: base,
                to: entry.version,
                digest,
                delta,
            },
        };
        let body = encode(&object);
        let put = || self.objects.put(&object_name(entry), body.as_bytes());
        retry(pause, put)?;
        Ok(head)
    }

    /// Writes the head row. After a lost answer the write is retried under the same condition: a conflict then returns
    /// the row, which shows whether the earlier write took effect.
    fn write_head(
        &self,
        head: Head,
        write: Write,
        pause: &mut dyn FnMut(&Fault),
    ) -> Result<Outcome, Error> {
        let mut lost = None;
        let mut attempts = 0;
        loop {
            attempts += 1;
            let fault = match self.table.write(std::slice::from_ref(&write)) {
                Ok(Verdict::Committed) => {
                    let superseded = None;
                    return Ok(Outcome::Accepted { head, superseded });
                }
                Ok(Verdict::Conflict(rows)) => return self.resolve_conflict(head, &rows, lost),
                Err(fault) => fault,
            };
            if matches!(fault, Fault::Lost { .. }) {
                lost = Some(fault.clone());
            }
            let refused = matches!(fault, Fault::Refused { .. });
            if attempts == MAX_ATTEMPTS || refused {
                return match lost {
                    Some(fault) => Ok(Outcome::Unknown { fault }),
                    None => Err(fault.into()),
                };
            }
            pause(&fault);
        }
    }

    /// Returns the outcome of a conflict: if the answer to an earlier write was `lost`, the conflicting rows show
    /// whether that write was accepted.
    fn resolve_conflict(
        &self,
        head: Head,
        rows: &[Row],
        lost: Option<Fault>,
    ) -> Result<Outcome, Error> {
        let mut rows = rows.iter().filter(|row| row.version > 0);
        let winner = rows.next().map(decode_head).transpose()?;
        let Some(fault) = lost else {
            return Ok(Outcome::Conflict { winner });
        };
        match self.history_contains(winner.clone(), head.entry) {
            Ok(true) => {
                let superseded = winner.filter(|winner| winner.entry != head.entry);
                Ok(Outcome::Accepted { head, superseded })
            }
            Ok(false) => Ok(Outcome::Conflict { winner }),
            Err(_) => Ok(Outcome::Unknown { fault }),
        }
    }

    /// Reports whether `entry` is that of `head` or of one of its predecessors.
    fn history_contains(&self, head: Option<Head>, entry: Entry) -> Result<bool, Error> {
        let mut next = head;
        while let Some(found) = next {
            if found.entry.version <= entry.version {
                return Ok(found.entry == entry);
            }
            next = self.read_object(found.entry)?.previous;
        }
        Ok(false)
    }

    fn load_at(&self, head: Head) -> Result<Stored, Error> {
        let mut document = Document::default();
        for step in self.steps_from(&head, Version(0))?.steps {
            document.apply(&step.delta);
        }
        let found = document.digest();
        if found != head.digest {
            return Err(Error::Mismatch {
                version: head.entry.version,
                expected: head.digest,
                found,
            });
        }
        let head = Some(head);
        Ok(Stored { head, document })
    }

    /// Returns the steps from `have` to a head; starts from a snapshot if `have` is not among the predecessors or is
    /// more than [`SNAPSHOT_PERIOD`] versions behind.
    fn steps_from(&self, head: &Head, have: Version) -> Result<Update, Error> {
        let near = head.entry.version.0 - have.0 <= SNAPSHOT_PERIOD;
        if have > Version(0) && near {
            let update = self.collect_steps(head, |previous| previous.version <= have)?;
            if update.from() == have {
                return Ok(update);
            }
        }
        let mut update = self.collect_steps(head, |entry| entry == head.snapshot)?;
        if update.from() > Version(0) || update.steps.is_empty() {
            let snapshot = self.read_update(&snapshot_name(head.snapshot))?;
            update.steps.splice(..0, snapshot.steps);
        }
        Ok(update)
    }

    /// Returns the steps to a head, back to the first predecessor for which `stop_at` holds.
    fn collect_steps(&self, head: &Head, stop_at: impl Fn(Entry) -> bool) -> Result<Update, Error> {
        let mut steps = Vec::new();
        let mut next = Some(head.entry);
        while let Some(entry) = next.filter(|entry| !stop_at(*entry)) {
            let object = self.read_object(entry)?;
            steps.push(object.step);
            next = object.previous.map(|previous| previous.entry);
        }
        steps.reverse();
        Ok(Update { steps })
    }

    fn read_update(&self, name: &str) -> Result<Update, Error> {
        let body = self.get(name)?;
        Update::decode(&body).map_err(|cause| Error::Object {
            name: name.into(),
            cause,
        })
    }

    fn read_object(&self, entry: Entry) -> Result<Object, Error> {
        let name = object_name(entry);
        let body = self.get(&name)?;
        serde_json::from_slice(&body).map_err(|cause| Error::Object {
            name,
            cause: Malformed {
                bytes: body.len(),
                cause,
            },
        })
    }

    fn get(&self, name: &str) -> Result<Vec<u8>, Error> {
        let body = self.objects.get(name)?;
        body.ok_or_else(|| Error::Missing { name: name.into() })
    }

    fn read_row(&self) -> Result<Option<Row>, Fault> {
        let rows = self.table.read(&[HEAD_KEY.into()])?;
        Ok(rows.into_iter().next())
    }
}

/// Retries a call until it succeeds or is refused, at most [`MAX_ATTEMPTS`] attempts; the call must be idempotent.
fn retry<T>(
    pause: &mut dyn FnMut(&Fault),
    mut call: impl FnMut() -> Result<T, Fault>,
) -> Result<T, Fault> {
    for _ in 1..MAX_ATTEMPTS {
        match call() {
            Err(fault @ Fault::Refused { .. }) => return Err(fault),
            Err(fault) => pause(&fault),
            Ok(value) => return Ok(value),
        }
    }
    call()
}

fn version(head: Option<&Head>) -> Version {
    head.map_or(Version(0), |head| head.entry.version)
}

fn object_name(entry: Entry) -> Box<str> {
    format!("config/{}-{}", entry.version, entry.change).into()
}

fn snapshot_name(entry: Entry) -> Box<str> {
    format!("config/{}-{}-whole", entry.version, entry.change).into()
}

fn decode_head(row: &Row) -> Result<Head, Error> {
    serde_json::from_str(&row.value).map_err(Error::Head)
}

fn encode(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("a head or object must serialize to JSON")
}
