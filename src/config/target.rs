//! A target of a service.

use crate::id;
use std::net::SocketAddr;

/// A replica that runs requests of one service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
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

/// Fewest slots of a target.
pub(super) const MIN_SLOTS: u64 = 1;
/// Most slots of a target; engines batch far fewer requests.
pub(super) const MAX_SLOTS: u64 = 65_536;
