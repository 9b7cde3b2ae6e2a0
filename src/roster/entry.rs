//! A router as it registered itself.

use crate::id;
use std::net::SocketAddr;

/// A router as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Router.
    pub router: id::Router,
    /// Failure domain.
    pub domain: id::Domain,
    /// Address for datagrams and for lists, the same port of UDP and TCP.
    pub peer: SocketAddr,
    /// Thousandths of a core that it has; routers with more lead.
    pub millicores: u32,
}
