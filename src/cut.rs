//! Cuts between routers at the border of the transports, for tests of network partitions.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard},
};

/// Direction in which nothing passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Way {
    /// Nothing from the peer arrives.
    In,
    /// Nothing reaches the peer.
    Out,
    /// Both.
    Both,
}

/// Set of peers that are cut off, by the address of their peer interface; clones share the set.
#[derive(Clone, Debug, Default)]
pub struct Switch(Arc<RwLock<BTreeMap<SocketAddr, Way>>>);

impl Switch {
    /// Cuts a peer off; replaces an earlier cut of the peer.
    pub fn cut(&self, peer: SocketAddr, way: Way) {
        self.write().insert(peer, way);
    }

    /// Lets a peer's traffic pass again.
    pub fn heal(&self, peer: SocketAddr) {
        self.write().remove(&peer);
    }

    /// Lets all traffic pass again.
    pub fn heal_all(&self) {
        self.write().clear();
    }

    /// Reports whether what comes from a peer is lost.
    pub fn blocks_in(&self, peer: SocketAddr) -> bool {
        matches!(self.read().get(&peer), Some(Way::In | Way::Both))
    }

    /// Reports whether what goes to a peer is lost.
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
