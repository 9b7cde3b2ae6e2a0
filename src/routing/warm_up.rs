//! Warm-up of a service's targets.

use crate::unit::{Rate, Span};

/// Warm-up of a service's targets: for a while after its start, or after it lost its state, a target
/// tolerates only a few requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmUp {
    /// Time for which a target that has just started is cold.
    pub duration: Span,
    /// Requests that a cold target tolerates, of all routers together.
    pub rate: Rate,
}
