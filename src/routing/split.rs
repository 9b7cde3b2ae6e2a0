//! Weighted split of a route's requests between services.

use crate::id;

/// A service with its weight in the split of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// Service.
    pub service: id::Service,
    /// Weight relative to those of the route's other services.
    pub weight: u32,
}
