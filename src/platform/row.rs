//! Rows of the store's tables on the wire.

use crate::watch::Row;
use base64::{Engine as _, prelude::BASE64_STANDARD};
use serde::Deserialize;

/// Answer to a read of rows.
#[derive(Debug, Deserialize)]
pub(super) struct Rows {
    #[serde(default)]
    rows: Vec<Wire>,
    /// Another read is needed for the rest.
    #[serde(default, rename = "has-more")]
    pub(super) has_more: bool,
    /// Newest version of the whole store, not of these rows.
    pub(super) ver: u64,
}

#[derive(Debug, Deserialize)]
struct Wire {
    #[serde(default)]
    key: Box<str>,
    #[serde(default)]
    value: Option<Box<str>>,
    #[serde(default)]
    removed: bool,
}

impl Rows {
    pub(super) fn into_rows(self) -> Vec<Row> {
        let rows = self.rows.into_iter().map(|row| Row {
            value: match row.value {
                Some(value) if !row.removed => BASE64_STANDARD.decode(value.as_bytes()).ok(),
                _ => None,
            },
            key: row.key,
        });
        rows.collect()
    }
}
