//! State of a router.

use crate::{id, unit::Version};

/// State of the router that answers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// Router.
    pub router: id::Router,
    /// Failure domain.
    pub domain: id::Domain,
    /// Run of the router.
    pub incarnation: id::Incarnation,
    /// Version of the program.
    pub release: Box<str>,
    /// Configuration in force, 0 if there is none.
    pub version: Version,
    /// It takes callers' requests.
    pub ready: bool,
    /// It is shutting down.
    pub draining: bool,
    /// Why it is not ready, or what limits it; empty if nothing does.
    pub detail: Box<str>,
    /// Time since its start, in milliseconds.
    pub uptime_ms: u64,
    /// Callers' requests that wait at it.
    pub waiting: u64,
    /// Callers' requests that it has running.
    pub running: u64,
}
