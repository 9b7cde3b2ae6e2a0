//! Wire format of a page of a list.

use crate::{
    unit::{Era, Span},
    watch::{Page, Position, Row},
};
use base64::{Engine as _, prelude::BASE64_STANDARD};
use serde::{Deserialize, Serialize};

/// JSON form of a page of a list, as sent between routers.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Wire {
    /// Era of the platform's store; routers of earlier releases leave it out.
    #[serde(default)]
    era: Era,
    version: u64,
    /// Time since the platform sent this version of the list, in milliseconds.
    age_ms: u64,
    rows: Vec<WireRow>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireRow {
    key: Box<str>,
    /// Content in base64; left out if the entry was removed or cannot be read.
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<Box<str>>,
}

impl From<Page<Row>> for Wire {
    fn from(page: Page<Row>) -> Self {
        let rows = page.entries.into_iter().map(|row| WireRow {
            key: row.key,
            value: row.value.map(|v| BASE64_STANDARD.encode(v).into()),
        });
        Self {
            era: page.position.era,
            version: page.position.version,
            age_ms: page.age.as_millis(),
            rows: rows.collect(),
        }
    }
}

impl TryFrom<Wire> for Page<Row> {
    type Error = base64::DecodeError;

    fn try_from(wire: Wire) -> Result<Self, Self::Error> {
        let rows = wire.rows.into_iter().map(|row| {
            let value = row.value.map(|v| BASE64_STANDARD.decode(v.as_bytes()));
            Ok(Row {
                key: row.key,
                value: value.transpose()?,
            })
        });
        Ok(Page {
            entries: rows.collect::<Result<_, _>>()?,
            position: Position {
                era: wire.era,
                version: wire.version,
            },
            age: Span::from_millis(wire.age_ms),
        })
    }
}
