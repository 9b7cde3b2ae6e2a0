//! What an operator wants to put in force.

use crate::{
    config::{Change, Document},
    unit::Version,
};

/// What an operator wants to put in force.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Identifier of this try.
    pub change: Change,
    /// Version that the document was made from; a change that came in between is a lost race.
    pub base: Version,
    /// Contents of that version.
    pub current: Document,
    /// New contents.
    pub document: Document,
    /// Highest version known to be in force anywhere; the new one is higher.
    pub floor: Version,
    /// Operator.
    pub author: Box<str>,
    /// Why, in the operator's words.
    pub note: Box<str>,
    /// Time by the operator's clock, in milliseconds since the Unix epoch.
    pub at: u64,
}
