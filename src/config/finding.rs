//! Errors found in configuration files.

use super::Position;
use std::fmt;

/// An error in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct Finding {
    /// Position of the error.
    #[serde(flatten)]
    pub position: Position,
    /// Description of the error and, where known, of the correction.
    pub message: Box<str>,
}

/// All errors of the files that were loaded together, sorted by position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.position, self.message)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{finding}")?;
        }
        Ok(())
    }
}
