//! What a router tells the others.

use super::{Load, Read, Scope, Usage};
use crate::{
    id,
    unit::{Span, Version},
};

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
    /// Whose load it holds.
    pub scope: Scope,
    /// Routers whose load it holds.
    pub routers: u32,
    /// Age of the oldest report that it holds, at the sender.
    pub age: Span,
    /// Loads of targets.
    pub loads: Vec<Load>,
    /// Usages of workspaces.
    pub usages: Vec<Usage>,
    /// Parts of prompts sent since the last summary.
    pub reads: Vec<Read>,
}
