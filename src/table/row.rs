//! Rows of the platform's table.

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// Key.
    pub key: Box<str>,
    /// Version of the row: 1 after the first write, incremented by each further one.
    pub version: u64,
    /// Value.
    pub value: Box<str>,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Expect {
    /// No precondition.
    Any,
    /// The row does not exist.
    Absent,
    /// The row exists and has this version.
    Version(u64),
}

/// Conditional write of one row.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Write {
    /// Key.
    pub key: Box<str>,
    /// Precondition.
    pub expect: Expect,
    /// New value, or `None` to remove the row.
    pub value: Option<Box<str>>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// All rows were written.
    Committed,
    /// No row was written; these are the current rows whose preconditions failed (a row that does not
    /// exist has version 0).
    Conflict(Vec<Row>),
}
