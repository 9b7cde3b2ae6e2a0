//! Return of one of the platform's lists from a copy.

use super::record::Record;
use crate::{metric, watch::Position};

/// Return of one of the platform's lists from a copy, as this router found it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Restoration {
    /// Name of the list.
    pub(super) list: &'static str,
    /// Last position of the earlier era.
    pub(super) before: Position,
    /// First position of the new era.
    pub(super) after: Position,
    /// Known entries that the copy lacks and that may be written again.
    pub(super) missing: usize,
    /// Entries of the copy that are not used because newer ones are known.
    pub(super) set_aside: usize,
    /// Entries that this router writes again.
    pub(super) written_again: usize,
}

impl Restoration {
    /// Creates a report without any consequence.
    pub(super) fn new(list: &'static str, before: Position, after: Position) -> Self {
        Self {
            list,
            before,
            after,
            missing: 0,
            set_aside: 0,
            written_again: 0,
        }
    }

    /// Counts and logs the restore.
    pub(super) fn report(&self, log: &slog::Logger) {
        metrics::counter!(metric::STORE_RESTORES, "list" => self.list).increment(1);
        Record::ListRestored(self).write(log);
    }
}
