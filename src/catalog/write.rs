//! Order of the writes of a target's entry.

use super::Target;

/// A target's write of its entry, ordered by the start of its run and the number of the write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Write {
    started_at_ms: u64,
    sequence: u64,
}

impl Write {
    /// Returns the write that an entry is from.
    pub(super) fn of(target: &Target, sequence: u64) -> Self {
        Self {
            started_at_ms: target.started_at_ms,
            sequence,
        }
    }

    /// Reports whether another write is of the same run of the target.
    pub(super) fn is_same_run(self, other: Self) -> bool {
        self.started_at_ms == other.started_at_ms
    }

    /// Returns the number of the write within its run.
    pub(super) fn sequence(self) -> u64 {
        self.sequence
    }
}
