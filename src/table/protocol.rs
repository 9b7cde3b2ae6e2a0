//! Paths and JSON bodies of the platform's HTTP protocol, as described in docs/PLATFORM.md.

use super::{Row, Vm, Write};

/// Path of reads by key.
pub(crate) const READ: &str = "/v1/table/read";
/// Path of scans.
pub(crate) const SCAN: &str = "/v1/table/scan";
/// Path of transactions.
pub(crate) const WRITE: &str = "/v1/table/write";
/// Path prefix of objects.
pub(crate) const OBJECTS: &str = "/v1/objects/";
/// Path of the list of VMs.
pub(crate) const VMS: &str = "/v1/vms";

/// Body of a read.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct ReadBody {
    pub(crate) keys: Vec<Box<str>>,
}

/// Body of a scan.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct ScanBody {
    pub(crate) prefix: Box<str>,
    pub(crate) after: Box<str>,
    pub(crate) limit: usize,
}

/// Body of a transaction.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct WriteBody {
    pub(crate) writes: Vec<Write>,
}

/// Response to a read or a scan.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct RowsBody {
    pub(crate) rows: Vec<Row>,
}

/// List of VMs.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct VmsBody {
    pub(crate) vms: Vec<Vm>,
}

/// Reports whether `name` is a valid object name: not empty, only ASCII letters, digits, `-`, `_`,
/// `.` and `/`.
pub(crate) fn is_object_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'/');
    !name.is_empty() && name.bytes().all(allowed)
}
