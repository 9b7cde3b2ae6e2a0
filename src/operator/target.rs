//! Targets that a router knows.

use crate::id;
use std::net::SocketAddr;

/// A target, as known to the answering router.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Target {
    /// Name.
    pub target: id::Target,
    /// Service that it runs.
    pub service: id::Service,
    /// Failure domain.
    pub domain: id::Domain,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Router that owns it, if one is known.
    pub owner: Option<id::Router>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Free slots that the owner last reported.
    pub free: u32,
    /// No router reports it as failed or leaving.
    pub fit: bool,
}
