//! Why a generation ended before a target began it.

use crate::dispatch::Reason;
use std::fmt;

/// Why a generation ended before a target began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Loss {
    /// The dispatcher refused it.
    Refused(Reason),
    /// The router had reached its limit of requests.
    Busy,
    /// Its caller disconnected, or its deadline passed.
    Left,
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Loss::Refused(reason) => reason.fmt(f),
            Loss::Busy => f.write_str("the router has reached its limit of requests"),
            Loss::Left => f.write_str("the caller left or the deadline passed"),
        }
    }
}
