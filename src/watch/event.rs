//! Events of a watched list.

use super::Fault;
use crate::unit::Span;

/// Event of a watched list.
#[derive(Clone, Debug)]
pub enum Event<T> {
    /// The whole list was read.
    Full {
        /// Entries.
        entries: Vec<T>,
        /// Version of the list.
        version: u64,
        /// Time since the platform sent it.
        age: Span,
    },
    /// Entries changed.
    Changed {
        /// Changed entries in their order.
        entries: Vec<T>,
        /// Version of the list.
        version: u64,
        /// Time since the platform sent it.
        age: Span,
    },
    /// Nothing changed.
    Unchanged {
        /// Version of the list.
        version: u64,
        /// Time since the platform sent it.
        age: Span,
    },
    /// The list cannot be read from any source.
    Unavailable {
        /// Reason.
        fault: Fault,
    },
    /// The list could be read again.
    Recovered {
        /// Time for which it was unavailable.
        outage: Span,
    },
}
