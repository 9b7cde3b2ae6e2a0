//! How often a request may run.

use crate::unit::Span;
use std::fmt;

/// How often a request may run, and what its answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Runs at most once.
    Once,
    /// May run again after any failure.
    Idempotent,
    /// Is answered by a stream of numbered events.
    Stream {
        /// Longest pause between two events of an answer that is on time.
        pause: Span,
        /// Another target may go on after the last event that the caller has.
        resumable: bool,
    },
}

impl Kind {
    /// Reports whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        match self {
            Kind::Once => false,
            Kind::Idempotent => true,
            Kind::Stream { resumable, .. } => resumable,
        }
    }

    /// Reports whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Once => "once",
            Kind::Idempotent => "idempotent",
            Kind::Stream {
                resumable: true, ..
            } => "resumable-stream",
            Kind::Stream { .. } => "stream",
        })
    }
}
