//! What probes find.

use crate::id;

/// What a probe found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A target reported its load.
    Load {
        /// Target.
        target: id::Target,
        /// Requests that it runs.
        running: u32,
        /// Requests that it keeps waiting inside.
        waiting: u32,
    },
    /// The health of a target changed.
    Health {
        /// Target.
        target: id::Target,
        /// It takes new work.
        fit: bool,
    },
}
