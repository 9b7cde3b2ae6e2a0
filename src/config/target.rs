//! Targets of a service.

use crate::id;
use std::net::SocketAddr;

/// A back end that runs requests of one service.
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
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

pub(super) const MIN_SLOTS: u64 = 1;
/// Inference engines batch far fewer requests.
pub(super) const MAX_SLOTS: u64 = 65_536;
