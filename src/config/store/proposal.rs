//! Change that an operator proposes.

use crate::{
    config::{Change, Document},
    unit::Version,
};

/// Change that an operator proposes.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Identifier of this attempt.
    pub change: Change,
    /// Version that the document is based on; the proposal conflicts if another one is stored.
    pub base: Version,
    /// Contents of that version.
    pub current: Document,
    /// New contents.
    pub document: Document,
    /// Highest version known to be active on any router; the new version is higher.
    pub floor: Version,
    /// Operator who makes the change.
    pub author: Box<str>,
    /// Reason that the operator gives.
    pub note: Box<str>,
    /// Time of the change by the operator's clock, in milliseconds since the Unix epoch.
    pub at: u64,
}
