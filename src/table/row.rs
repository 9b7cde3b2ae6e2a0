//! Rows of the platform's table.

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// Key.
    pub key: Box<str>,
    /// Version of the row; each write increments it, the first write makes it 1.
    pub version: u64,
    /// Value.
    pub value: Box<str>,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Expect {
    /// Any row or none.
    Any,
    /// No row.
    Absent,
    /// A row of this version.
    Version(u64),
}

/// One row to write; `None` removes it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Write {
    /// Key.
    pub key: Box<str>,
    /// Condition.
    pub expect: Expect,
    /// New value, or `None` to remove the row.
    pub value: Option<Box<str>>,
}

/// What a transaction came to.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// All rows were written.
    Committed,
    /// None was written; these rows, as they stand, broke their conditions (a removed one has version 0).
    Conflict(Vec<Row>),
}
