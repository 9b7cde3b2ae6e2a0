//! Kinds of requests.

use std::fmt;

/// Kind of the requests of a route: whether they may be retried, and the form of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// May run at most once.
    Once,
    /// May run again after any failure.
    Idempotent,
    /// The response is a stream of numbered events.
    Stream {
        /// Whether another target can continue after the last event that the caller received.
        resumable: bool,
    },
}

impl Kind {
    /// Reports whether a request that may have run may be retried.
    pub fn is_repeatable(self) -> bool {
        match self {
            Kind::Once => false,
            Kind::Idempotent => true,
            Kind::Stream { resumable, .. } => resumable,
        }
    }

    /// Reports whether the response is a stream of events.
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
