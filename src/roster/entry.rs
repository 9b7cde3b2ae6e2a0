//! Registration of a router.

use crate::id;
use std::net::SocketAddr;

/// Registration of a router with the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Router.
    pub router: id::Router,
    /// Failure domain.
    pub domain: id::Domain,
    /// Peer address: the same port serves datagrams (UDP) and lists (TCP).
    pub peer: SocketAddr,
    /// CPU of the router in millicores; routers with more rank higher as leaders.
    pub millicores: u32,
    /// It answers probes; routers of earlier releases don't.
    pub answers_probes: bool,
    /// Another router found that it is gone. A router that is not gone writes its entry again.
    pub doubted: bool,
}
