//! Engine that reports the changes of its cache.

use crate::{catalog::Run, id};
use std::net::SocketAddr;

/// Engine that reports the changes of its cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Run.
    pub run: Run,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: id::Domain,
    /// Maximum number of readers that it serves at a time.
    pub max_readers: u32,
}
