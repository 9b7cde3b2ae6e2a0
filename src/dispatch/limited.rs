//! What a router sent to a target with a limit.

use crate::{id, unit::Rate};

/// What a router sent to a target with a limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limited {
    /// Target.
    pub target: id::Target,
    /// Requests that it takes of all routers together.
    pub limit: Rate,
    /// Part of that which this router may send.
    pub quota: Rate,
    /// Requests that this router sent there since the last report.
    pub sent: u64,
}
