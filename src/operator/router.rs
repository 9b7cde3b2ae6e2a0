//! Routers that a router knows.

use crate::{id, unit::Version};
use std::net::SocketAddr;

/// A router, as known to the answering router.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Router {
    /// Name.
    pub router: id::Router,
    /// Failure domain.
    pub domain: id::Domain,
    /// Address of its peer interface.
    pub address: SocketAddr,
    /// Incarnation of its process, if it has been heard from.
    pub incarnation: Option<id::Incarnation>,
    /// Configuration version that it last reported as active.
    pub version: Version,
    /// It is considered alive.
    pub alive: bool,
    /// It is shutting down.
    pub leaving: bool,
}
