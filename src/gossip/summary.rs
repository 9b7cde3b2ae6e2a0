//! What a router tells the others.

use super::{Load, Read, Usage};
use crate::{id, unit::Version};

/// What a router tells the others: absolute values of what changed since its last summary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Router that sends it.
    pub router: id::Router,
    /// Run of that router.
    pub incarnation: id::Incarnation,
    /// Number of the summary in that run; a lower one is older.
    pub sequence: u64,
    /// Version of the configuration that the router has in force.
    pub version: Version,
    /// The router shuts down.
    pub leaving: bool,
    /// Loads of targets.
    pub loads: Vec<Load>,
    /// Usages of workspaces.
    pub usages: Vec<Usage>,
    /// Parts of prompts sent since the last summary.
    pub reads: Vec<Read>,
}
