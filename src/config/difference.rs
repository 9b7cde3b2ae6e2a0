//! Differences between two documents by file key, for display to operators.

use super::{Delta, Document};
use crate::id;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

/// A key whose value differs between two documents.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Difference {
    /// Site of the overlay, `None` for the base file.
    pub site: Option<id::Site>,
    /// Dotted name of the key in the file.
    pub key: Box<str>,
    /// Old value, `None` if the key is new.
    pub old: Option<toml::Value>,
    /// New value, `None` if the key is removed.
    pub new: Option<toml::Value>,
}

/// Values by dotted name.
type Keys = BTreeMap<Box<str>, toml::Value>;

impl Difference {
    /// Returns the keys that differ; those of the base file come first.
    ///
    /// # Errors
    ///
    /// Fails if a number is too large for TOML.
    pub fn between(old: &Document, new: &Document) -> Result<Vec<Self>, toml::ser::Error> {
        let delta = Delta::between(old, new);
        let (old, new) = (delta.select(old), delta.select(new));
        let mut differences = Vec::new();
        let (before, after) = (old.base_table()?, new.base_table()?);
        compare(None, &before, &after, &mut differences);
        for site in delta.overlays.keys() {
            let before = old.overlay_table(site)?.unwrap_or_default();
            let after = new.overlay_table(site)?.unwrap_or_default();
            compare(Some(site), &before, &after, &mut differences);
        }
        Ok(differences)
    }

    /// Returns the keys that differ between two tables.
    pub fn between_tables(old: &toml::Table, new: &toml::Table) -> Vec<Self> {
        let mut differences = Vec::new();
        compare(None, old, new, &mut differences);
        differences
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(site) = &self.site {
            write!(f, "overlay {site}: ")?;
        }
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "{}: {old} -> {new}", self.key),
            (None, Some(new)) => write!(f, "{}: added {new}", self.key),
            (Some(old), None) => write!(f, "{}: removed {old}", self.key),
            (None, None) => f.write_str(&self.key),
        }
    }
}

fn compare(
    site: Option<&id::Site>,
    old: &toml::Table,
    new: &toml::Table,
    out: &mut Vec<Difference>,
) {
    let (old, new) = (flatten(old), flatten(new));
    let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    for key in keys {
        let (old, new) = (old.get(key), new.get(key));
        if old != new {
            out.push(Difference {
                site: site.cloned(),
                key: key.clone(),
                old: old.cloned(),
                new: new.cloned(),
            });
        }
    }
}

fn flatten(table: &toml::Table) -> Keys {
    let mut keys = Keys::new();
    insert("", table, &mut keys);
    keys
}

fn insert(prefix: &str, table: &toml::Table, keys: &mut Keys) {
    for (name, value) in table {
        let key = format!("{prefix}{name}");
        match value {
            toml::Value::Table(inner) => insert(&format!("{key}."), inner, keys),
            value => {
                keys.insert(key.into(), value.clone());
            }
        }
    }
}
