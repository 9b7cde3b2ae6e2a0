//! What a follower finds.

use crate::unit::Span;

/// What a follower finds.
#[derive(Clone, Debug)]
pub enum Event<T> {
    /// The whole list was read.
    Whole {
        /// Entries.
        entries: Vec<T>,
        /// Version of the list.
        version: u64,
    },
    /// Entries changed.
    Changed {
        /// Changed entries in their order.
        entries: Vec<T>,
        /// Version of the list.
        version: u64,
    },
    /// The list cannot be read.
    Lost {
        /// Why.
        fault: super::Fault,
    },
    /// The list is read again.
    Regained {
        /// Time for which it could not be read.
        after: Span,
    },
}
