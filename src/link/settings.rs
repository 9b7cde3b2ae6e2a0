//! Settings of the links.

use crate::{id, partition, secret};
use std::net::SocketAddr;

/// Settings of the links.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This router.
    pub router: id::Router,
    /// Incarnation of this router.
    pub incarnation: id::Incarnation,
    /// Address to listen on for peers.
    pub address: SocketAddr,
    /// Fleet key.
    pub key: secret::Key,
    /// Partitions between this router and its peers, injected by tests.
    pub partitions: partition::Filter,
}
