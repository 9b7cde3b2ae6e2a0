//! Counters of a simulated platform.

/// Counters of a simulated platform since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Stats {
    /// Transactions and writes of objects.
    pub writes: u64,
    /// Rows that transactions wrote or removed.
    pub rows_written: u64,
    /// Transactions rejected because a precondition failed.
    pub conflicts: u64,
    /// Reads and scans of the table, reads of objects and of the list of VMs.
    pub reads: u64,
    /// Total bytes of keys, values and objects, written and read.
    pub bytes: u64,
    /// Calls rejected by a rate limit.
    pub limited: u64,
    /// Writes that took effect but whose response was lost.
    pub lost: u64,
}
