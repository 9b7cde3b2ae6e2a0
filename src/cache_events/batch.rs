//! Response of an engine to a call for its cache events.

use super::Item;

/// Response of an engine to a call for its cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Hash that differs between runs of the engine.
    pub epoch: u64,
    /// Position from which the next call continues.
    pub next: u64,
    /// Events between the position of the call and the first one here are missing.
    pub lost: bool,
    /// Events.
    pub items: Vec<Item>,
}
