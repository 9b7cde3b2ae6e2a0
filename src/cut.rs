//! Simulated network partitions between routers, for fault-injection tests.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard},
};

/// Direction in which a peer's traffic is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Way {
    /// Traffic from the peer.
    In,
    /// Traffic to the peer.
    Out,
    /// Traffic in both directions.
    Both,
}

/// Peers whose traffic is dropped, by the address of their peer interface; clones share the set.
#[derive(Clone, Debug, Default)]
pub struct Switch(Arc<RwLock<BTreeMap<SocketAddr, Way>>>);

impl Switch {
    /// Drops a peer's traffic in the given direction; replaces an earlier setting for the peer.
    pub fn cut(&self, peer: SocketAddr, way: Way) {
        self.write().insert(peer, way);
    }

    /// Stops dropping a peer's traffic.
    pub fn heal(&self, peer: SocketAddr) {
        self.write().remove(&peer);
    }

    /// Stops dropping any traffic.
    pub fn heal_all(&self) {
        self.write().clear();
    }

    /// Reports whether traffic from a peer is dropped.
    pub fn blocks_in(&self, peer: SocketAddr) -> bool {
        matches!(self.read().get(&peer), Some(Way::In | Way::Both))
    }

    /// Reports whether traffic to a peer is dropped.
    pub fn blocks_out(&self, peer: SocketAddr) -> bool {
        matches!(self.read().get(&peer), Some(Way::Out | Way::Both))
    }

    fn read(&self) -> RwLockReadGuard<'_, BTreeMap<SocketAddr, Way>> {
        self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, BTreeMap<SocketAddr, Way>> {
        self.0.write().unwrap_or_else(PoisonError::into_inner)
    }
}
