//! Routers as one of them knows them.

use crate::{id, unit::Version};
use std::net::SocketAddr;

/// A router as the one that answers knows it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Router {
    /// Router.
    pub router: id::Router,
    /// Failure domain.
    pub domain: id::Domain,
    /// Address of its peer interface.
    pub address: SocketAddr,
    /// Run of the router, if it was heard.
    pub incarnation: Option<id::Incarnation>,
    /// Configuration in force there, as it said last.
    pub version: Version,
    /// It counts as alive.
    pub alive: bool,
    /// It is shutting down.
    pub leaving: bool,
}
