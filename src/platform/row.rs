//! JSON representation of the rows of the store's tables.

use super::evacuation;
use crate::watch::Row;
use base64::{Engine as _, prelude::BASE64_STANDARD};
use serde::Deserialize;

/// Response to a read of a table or of its changes.
#[derive(Debug, Deserialize)]
pub(super) struct Rows {
    #[serde(default)]
    rows: Vec<Wire>,
    /// Whether the table has further pages.
    #[serde(default, rename = "has-more")]
    pub(super) has_more: bool,
    /// Current version of the whole store, not of these rows.
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
            value: row.content(),
            key: row.key,
        });
        rows.collect()
    }
}

impl Wire {
    /// Returns the content; `None` if the row was removed or its content cannot be read. The row of an
    /// evacuation is in force by its presence, so that unreadable content must not look like a removal.
    fn content(&self) -> Option<Vec<u8>> {
        if self.removed {
            return None;
        }
        let value = self.value.as_ref();
        let content = value.and_then(|value| BASE64_STANDARD.decode(value.as_bytes()).ok());
        content.or_else(|| evacuation::is_key(&self.key).then(Vec::new))
    }
}
