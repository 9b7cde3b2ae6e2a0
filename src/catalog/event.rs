//! Input of the catalog.

use super::Entry;
use crate::unit::Time;

/// Input of the catalog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The whole list was read; targets without an entry in it are removed.
    Snapshot(Vec<Entry>),
    /// Entries changed.
    Update(Vec<Entry>),
    /// The list cannot be read.
    Unavailable,
    /// The list can be read again.
    Recovered {
        /// Time at which it was last confirmed before.
        confirmed_at: Time,
        /// Time at which the last call that failed began.
        failed_at: Time,
    },
    /// The list came back from a copy; its first [`Event::Snapshot`] follows.
    Restored,
    /// Time has passed.
    Tick,
}
