//! Registration of a target.

use crate::{id, unit::Span};
use std::net::SocketAddr;

/// A target as described by its own entry in the list of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name.
    pub name: id::Target,
    /// Start time of the target's process in Unix milliseconds; 0 if unknown. It tells runs under
    /// one name apart: a later run keeps no state of earlier ones.
    pub started_at_ms: u64,
    /// Service that it belongs to.
    pub service: id::Service,
    /// Software version.
    pub build: id::Build,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: id::Domain,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining and takes no new requests.
    pub draining: bool,
    /// Remaining time for which it is cold after its start.
    pub warm_up: Span,
}

impl Target {
    /// Remaining time of a target whose list entry has one that can't be read.
    pub const UNKNOWN_WARM_UP: Span = Span(u64::MAX);
}
