//! Positions in configuration files.

use std::fmt;

/// Position in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct Position {
    /// Name of the file.
    pub file: Box<str>,
    /// Line number, from 1.
    pub line: usize,
    /// Column number in characters, from 1.
    pub column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}
