//! Outcomes of a proposal.

use crate::{config::Head, table::Fault};

/// Outcome of a proposal.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// It was accepted.
    Accepted {
        /// The new version.
        head: Head,
        /// Head of a later version that was already accepted on top of it.
        superseded: Option<Head>,
    },
    /// The document equals the stored one.
    Unchanged,
    /// Another change was accepted first; nothing was changed.
    Conflict {
        /// The version that won, `None` if the head row is gone.
        winner: Option<Head>,
    },
    /// No answer came; the proposal may have been accepted.
    Unknown {
        /// Last fault after which the write may have taken effect.
        fault: Fault,
    },
}
