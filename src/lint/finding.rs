//! Findings with their level.

use super::Level;
use crate::config;
use std::fmt;

/// A finding with its level; ordered by position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct Finding {
    /// Position and description.
    #[serde(flatten)]
    pub finding: config::Finding,
    /// Level.
    pub level: Level,
}

impl Finding {
    /// Returns an error that was found while a file was read.
    pub fn error(finding: config::Finding) -> Self {
        Self {
            finding,
            level: Level::Error,
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let config::Finding { position, message } = &self.finding;
        write!(f, "{position}: {}: {message}", self.level)
    }
}
