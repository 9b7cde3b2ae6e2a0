//! What routers remember of builds and streams for those that start after all of them were killed.

use crate::gossip;

/// Builds that services had lately, and builds at which recent streams began.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Hash of a service's name, and key of a build that it had lately; sorted.
    pub builds: Vec<(u64, u64)>,
    /// Streams that may still run, of services that had several builds; sorted.
    pub streams: Vec<gossip::Origin>,
}
