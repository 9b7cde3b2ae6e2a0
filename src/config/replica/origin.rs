//! Where changes came from.

use crate::id;
use std::fmt;

/// Where changes came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A peer.
    Peer(id::Router),
    /// The platform.
    Platform,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Origin::Peer(router) => write!(f, "router {router}"),
            Origin::Platform => f.write_str("the platform"),
        }
    }
}
