//! Queue state that is shown to operators.

use crate::{id, unit::Cost};

/// State of one workspace's queue for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Workspace whose queue it is.
    pub workspace: id::Workspace,
    /// Service that the requests call.
    pub service: id::Service,
    /// Number of waiting quick requests.
    pub quick: u32,
    /// Number of waiting long requests.
    pub long: u32,
    /// Number of requests that run on the owner's targets.
    pub running: u32,
    /// Cost charged since this incarnation of the owner started.
    pub served: Cost,
    /// Fleet-wide normalized service, in thousandths of a token per unit of weight.
    pub level: u64,
}
