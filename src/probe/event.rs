//! Results of probes.

use crate::id;

/// Result of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A target reported its load.
    Load {
        /// Target.
        target: id::Target,
        /// Number of requests that it is running.
        running: u32,
        /// Number of requests in its own queue.
        waiting: u32,
    },
    /// The health of a target changed.
    Health {
        /// Target.
        target: id::Target,
        /// Whether it takes new requests.
        healthy: bool,
    },
}
