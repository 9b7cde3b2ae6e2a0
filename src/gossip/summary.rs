//! Summary of load that a router sends to others.

use super::{Build, Finding, Limit, Load, Origin, Pause, Prefill, Scope, Usage};
use crate::{
    id,
    unit::{Span, Version},
};

/// Summary of load that a router sends to others: the absolute values of what changed since its
/// previous summary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Sender.
    pub router: id::Router,
    /// Identifies the run of the sender.
    pub incarnation: id::Incarnation,
    /// Sequence number within that run.
    pub sequence: u64,
    /// Version of the configuration that the sender has in force, or a newer one that was reported
    /// to it.
    pub version: Version,
    /// The sender shuts down, or sends nothing more of this scope.
    pub leaving: bool,
    /// Scope of the load.
    pub scope: Scope,
    /// Number of routers whose load it contains.
    pub router_count: u32,
    /// Age of the oldest report that it contains, at the time of sending.
    pub age: Span,
    /// Thousandths of the engines that are crowded, as far as the sender knows.
    pub crowded_permille: Option<u16>,
    /// Requests per second that the routers whose load it contains seek targets for.
    pub demand: u32,
    /// Loads of targets.
    pub loads: Vec<Load>,
    /// Usage of workspaces.
    pub usages: Vec<Usage>,
    /// Prompt parts sent to targets since the previous summary.
    pub prefills: Vec<Prefill>,
    /// Streams that began, sorted; only while their services have targets of several builds.
    pub origins: Vec<Origin>,
    /// Findings about parts of prompts under which targets crash.
    pub findings: Vec<Finding>,
    /// Limits that targets named.
    pub limits: Vec<Limit>,
    /// Pauses that targets asked for.
    pub pauses: Vec<Pause>,
    /// Builds of which targets are listed; empty if none was listed since the previous summary that had them.
    pub builds: Vec<Build>,
}

impl Summary {
    /// Returns a summary without any load, which tells no more than that its sender is alive.
    pub fn bare(router: id::Router, incarnation: id::Incarnation, scope: Scope) -> Self {
        Self {
            router,
            incarnation,
            sequence: 0,
            version: Version::default(),
            leaving: false,
            scope,
            router_count: 1,
            age: Span(0),
            crowded_permille: None,
            demand: 0,
            loads: Vec::new(),
            usages: Vec::new(),
            prefills: Vec::new(),
            origins: Vec::new(),
            findings: Vec::new(),
            limits: Vec::new(),
            pauses: Vec::new(),
            builds: Vec::new(),
        }
    }
}
