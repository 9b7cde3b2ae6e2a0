//! Routes with their positions.

use super::Fields;
use crate::routing;

/// A route with its position.
#[derive(Clone, Debug)]
pub struct Route {
    /// Route.
    pub route: routing::Route,
    /// Positions.
    pub fields: Fields,
    /// Offset of each of the route's splits.
    pub splits: Vec<usize>,
}
