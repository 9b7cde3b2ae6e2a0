//! Entry of the list of targets.

use super::Target;

/// An entry of the list of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the entry.
    pub name: Box<str>,
    /// Target; `None` if the entry was removed or describes no usable target.
    pub target: Option<Target>,
    /// Why the entry describes no usable target, although it was not removed, or why the remaining warm-up time of its
    /// target can't be read.
    pub rejected: Option<Box<str>>,
    /// Number of the writes of this entry by one run of the target; 0 if unknown.
    pub sequence: u64,
}
