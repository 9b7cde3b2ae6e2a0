//! A service's part of a route's requests.

use crate::id;

/// A service's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Service.
    pub service: id::Service,
    /// Part relative to the other shares of the route.
    pub weight: u32,
}
