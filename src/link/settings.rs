//! Settings of the links.

use crate::{id, partition, secret};
use std::net::SocketAddr;

/// Settings of the links.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This router.
    pub router: id::Router,
    /// Run of this router.
    pub incarnation: id::Incarnation,
    /// Address on which peers are accepted.
    pub address: SocketAddr,
    /// Key of the fleet.
    pub key: secret::Key,
    /// Peers that are cut off in a test.
    pub cuts: partition::Filter,
}
