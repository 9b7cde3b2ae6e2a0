//! A service that requests are routed to.

use super::{Engine, WarmUp};
use crate::id;

/// A service that requests are routed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: id::Service,
    /// Maximum number of connections that one target accepts from all routers together.
    pub max_connections: u32,
    /// Capacity of its model engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Path of the targets' health checks; `None` if they have none.
    pub health_path: Option<Box<str>>,
    /// Warm-up of its targets; `None` if they need none.
    pub warm_up: Option<WarmUp>,
}
