//! Position in the history of a list.

use crate::unit::Era;
use std::fmt;

/// Position in the history of a list. Any position of a later era follows all those of earlier
/// ones; versions are compared within an era only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era of the store.
    pub era: Era,
    /// Version of the store within its era.
    pub version: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {} of era {}", self.version, self.era)
    }
}
