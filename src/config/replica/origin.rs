//! Sender of an update.

use crate::id;
use std::fmt;

/// Sender of an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Another router.
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
