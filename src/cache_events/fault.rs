//! Why a call for cache events failed.

use std::fmt;

/// Why a call for cache events failed. None of these says anything about the engine's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The engine has no cache events.
    Missing,
    /// Too many readers wait there.
    Crowded,
    /// Another status.
    Status(u16),
    /// The response can't be decoded, or is too large.
    Unreadable,
    /// There was no connection, or no complete response in time.
    Silent,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => f.write_str("no such events"),
            Self::Crowded => f.write_str("too many readers"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::Unreadable => f.write_str("unreadable"),
            Self::Silent => f.write_str("no answer"),
        }
    }
}
