//! How a proposal ended.

use crate::{config::Head, table::Fault};

/// How a proposal ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// It was accepted.
    Accepted {
        /// The new version.
        head: Head,
        /// A later version is already in force on top of it.
        superseded: Option<Head>,
    },
    /// The document is the same as the one in force.
    Unchanged,
    /// Another change was accepted first; nothing was changed.
    Conflict {
        /// The version that won, `None` if the head row is gone.
        winner: Option<Head>,
    },
    /// No answer came; the proposal may be accepted.
    Unknown {
        /// What the platform said last.
        fault: Fault,
    },
}
