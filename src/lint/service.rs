//! Services with their positions.

use super::Fields;
use crate::{id, routing};

/// A service with its position.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name.
    pub name: id::Service,
    /// Capacity of its model engines; `None` for a plain service.
    pub engine: Option<routing::Engine>,
    /// Positions.
    pub fields: Fields,
}
