//! One run of a target's process.

use super::Target;
use crate::id;

/// One run of a target's process: several may have the same name, one after another.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Run {
    /// Name of the target.
    pub target: id::Target,
    /// Start time of its process in Unix milliseconds; 0 if unknown.
    pub started_at_ms: u64,
}

impl From<&Target> for Run {
    fn from(target: &Target) -> Self {
        Self {
            target: target.name.clone(),
            started_at_ms: target.started_at_ms,
        }
    }
}
