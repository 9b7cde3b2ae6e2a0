//! Where requests are sent.

use std::net::SocketAddr;

/// Where requests are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// To routers.
    Routers(Vec<SocketAddr>),
    /// Straight to targets, as routers would that know nothing of each other: each sends a request
    /// to the target of the service that has the fewest of its own.
    Direct {
        /// Number of such routers.
        routers: usize,
    },
}

impl Route {
    /// Returns the number of routers.
    pub(super) fn routers(&self) -> usize {
        match self {
            Route::Routers(routers) => routers.len(),
            Route::Direct { routers } => *routers,
        }
    }
}
