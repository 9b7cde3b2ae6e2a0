//! Events of a watched list.

use super::{Fault, Position};
use crate::unit::{Span, Time};

/// Event of a watched list.
#[derive(Clone, Debug)]
pub enum Event<T> {
    /// The whole list was read.
    Full {
        /// Entries.
        entries: Vec<T>,
        /// Position of the list.
        position: Position,
        /// Time since the platform sent it.
        age: Span,
    },
    /// Entries changed.
    Changed {
        /// Changed entries in their order.
        entries: Vec<T>,
        /// Position of the list.
        position: Position,
        /// Time since the platform sent it.
        age: Span,
    },
    /// Nothing changed.
    Unchanged {
        /// Position of the list.
        position: Position,
        /// Time since the platform sent it.
        age: Span,
    },
    /// The platform was asked for the list at a time; all changes made before that have been reported.
    Checked {
        /// Time at which it was asked.
        asked: Time,
    },
    /// The platform was asked for the list, and did not answer.
    Unchecked {
        /// Reason.
        fault: Fault,
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
        /// Time at which the platform last confirmed the list before.
        confirmed_at: Time,
        /// Time at which the last call that failed began. The platform may be reachable since then.
        failed_at: Time,
    },
}

impl<T> Event<T> {
    /// Returns the time since the platform sent the list; `None` if the event tells none.
    pub fn age(&self) -> Option<Span> {
        match self {
            Event::Full { age, .. } | Event::Changed { age, .. } | Event::Unchanged { age, .. } => {
                Some(*age)
            }
            Event::Checked { .. }
            | Event::Unchecked { .. }
            | Event::Unavailable { .. }
            | Event::Recovered { .. } => None,
        }
    }

    /// Returns the position of the list; `None` if the event tells none.
    pub fn position(&self) -> Option<Position> {
        match self {
            Event::Full { position, .. }
            | Event::Changed { position, .. }
            | Event::Unchanged { position, .. } => Some(*position),
            Event::Checked { .. }
            | Event::Unchecked { .. }
            | Event::Unavailable { .. }
            | Event::Recovered { .. } => None,
        }
    }
}
