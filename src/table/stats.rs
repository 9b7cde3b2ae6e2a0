//! Counters of a platform stand-in.

/// Calls that a stand-in carried out since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Stats {
    /// Transactions and written objects.
    pub writes: u64,
    /// Rows that transactions wrote or removed.
    pub rows_written: u64,
    /// Transactions that broke a condition.
    pub conflicts: u64,
    /// Reads, scans, read objects and lists of VMs.
    pub reads: u64,
    /// Bytes of keys, values and objects, written and read.
    pub bytes: u64,
    /// Calls refused by a rate limit.
    pub limited: u64,
    /// Writes that had their effect and were not answered.
    pub lost: u64,
}
