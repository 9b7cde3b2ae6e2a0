//! What a follower finds.

use super::Fault;
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
        /// Time since the platform told it.
        age: Span,
    },
    /// Entries changed.
    Changed {
        /// Changed entries in their order.
        entries: Vec<T>,
        /// Version of the list.
        version: u64,
        /// Time since the platform told it.
        age: Span,
    },
    /// Nothing changed.
    Current {
        /// Version of the list.
        version: u64,
        /// Time since the platform told it.
        age: Span,
    },
    /// The list cannot be read anywhere.
    Lost {
        /// Why.
        fault: Fault,
    },
    /// The list is read again.
    Regained {
        /// Time for which it could not be read.
        after: Span,
    },
}
