//! State of a router.

use crate::{id, unit::Version};

/// State of the answering router.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// Name.
    pub router: id::Router,
    /// Failure domain.
    pub domain: id::Domain,
    /// Incarnation of its process.
    pub incarnation: id::Incarnation,
    /// Version of the program.
    pub release: Box<str>,
    /// Active configuration version, 0 if there is none.
    pub version: Version,
    /// It accepts client requests.
    pub ready: bool,
    /// It is shutting down.
    pub draining: bool,
    /// Why it is not ready, or what limits it; empty if nothing does.
    pub detail: Box<str>,
    /// Time since its start, in milliseconds.
    pub uptime_ms: u64,
    /// Client requests that wait for a slot at this router.
    pub waiting: u64,
    /// Client requests of this router that are running.
    pub running: u64,
}
