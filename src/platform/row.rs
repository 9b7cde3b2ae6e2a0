//! A row of the store's tables.

use base64::{Engine as _, prelude::BASE64_STANDARD};
use serde::Deserialize;

/// A row of the store's tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key within its table.
    pub key: Box<str>,
    /// Content; `None` if the row was removed or its content can't be read.
    pub value: Option<Vec<u8>>,
}

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
