//! Rows of the platform's table by which operators evacuate failure domains.
//!
//! A row stays when its evacuation is revoked, and each change has a later time. A read that shows an
//! earlier state of the table, as after its restore, therefore changes nothing.

use super::{Expect, Fault, MAX_ROWS, Row, Table, Write};
use crate::id;
use std::collections::{BTreeMap, BTreeSet};

/// What the keys of these rows begin with; the name of the failure domain follows.
const PREFIX: &str = "evacuate/";

/// Value of a row.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
struct Value {
    evacuated: bool,
    /// Time of the change in Unix milliseconds.
    at: u64,
}

/// Evacuations as the rows that were read so far tell them.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// The latest value of each row by the name of its failure domain.
    known: BTreeMap<Box<str>, Value>,
    /// Rows that are wrong, with the reason.
    unclear: BTreeMap<Box<str>, Box<str>>,
}

impl Evacuations {
    /// Applies the rows of a read. A row whose value can't be read bars its failure domain. Returns the rows
    /// that are wrong and were not so in the read before, each with the reason.
    pub fn apply(&mut self, rows: &[Row]) -> Vec<(Box<str>, Box<str>)> {
        let mut unclear = BTreeMap::new();
        for row in rows {
            let Some(name) = row.key.strip_prefix(PREFIX) else {
                continue;
            };
            let known = self.known.get(name).copied();
            let value = match serde_json::from_str::<Value>(&row.value) {
                Ok(value) if known.is_some_and(|known| value.at <= known.at) => continue,
                Ok(value) => value,
                Err(cause) => {
                    unclear.insert(row.key.clone(), cause.to_string().into());
                    Value {
                        evacuated: true,
                        at: known.map_or(0, |known| known.at),
                    }
                }
            };
            if let Err(cause) = name.parse::<id::Domain>() {
                unclear.insert(row.key.clone(), cause.to_string().into());
            }
            self.known.insert(name.into(), value);
        }
        let new = unclear.iter();
        let new = new.filter(|(key, cause)| self.unclear.get(*key) != Some(cause));
        let new = new.map(|(key, cause)| (key.clone(), cause.clone()));
        let new = new.collect();
        self.unclear = unclear;
        new
    }

    /// Returns the failure domains that are evacuated.
    pub fn domains(&self) -> BTreeSet<id::Domain> {
        let known = self.known.iter().filter(|(_, value)| value.evacuated);
        known.filter_map(|(name, _)| name.parse().ok()).collect()
    }
}

/// Returns the key of the row of a failure domain.
fn key(domain: &id::Domain) -> Box<str> {
    format!("{PREFIX}{domain}").into()
}

/// Reads the rows of all failure domains.
///
/// # Errors
///
/// Fails if the table cannot be reached or rejects the call.
pub fn read(table: &dyn Table) -> Result<Vec<Row>, Fault> {
    table.scan(PREFIX, "", MAX_ROWS)
}

/// Reads the row of a failure domain.
///
/// # Errors
///
/// Fails if the table cannot be reached or rejects the call.
pub fn read_one(table: &dyn Table, domain: &id::Domain) -> Result<Option<Row>, Fault> {
    Ok(table.read(&[key(domain)])?.into_iter().next())
}

/// Reports whether a row says that its failure domain is evacuated.
pub fn is_in_force(row: &Row) -> bool {
    let mut evacuations = Evacuations::default();
    evacuations.apply(std::slice::from_ref(row));
    evacuations.known.values().any(|value| value.evacuated)
}

/// Returns the write that begins the evacuation of a failure domain, or revokes it, at a time in Unix
/// milliseconds. `row` is its present row, which must not change meanwhile: the write is later than that.
pub fn write(domain: &id::Domain, is_evacuated: bool, now_ms: u64, row: Option<&Row>) -> Write {
    let known = row.and_then(|row| serde_json::from_str::<Value>(&row.value).ok());
    let after = known.map_or(0, |known| known.at.saturating_add(1));
    let value = Value {
        evacuated: is_evacuated,
        at: now_ms.max(after),
    };
    Write {
        key: key(domain),
        expect: row.map_or(Expect::Absent, |row| Expect::Version(row.version)),
        value: serde_json::to_string(&value).ok().map(Box::from),
    }
}
