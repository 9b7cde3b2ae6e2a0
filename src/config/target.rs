//! A target of a service.

use crate::id;
use std::net::SocketAddr;

/// A replica that runs requests of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name.
    pub name: id::Target,
    /// Service that it runs.
    pub service: id::Service,
    /// Failure domain that it is in.
    pub domain: id::Domain,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Requests that it may run at once, at most.
    pub slots: u32,
}
