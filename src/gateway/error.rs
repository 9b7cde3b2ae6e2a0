//! Failures to start a router.

use std::{io, net::SocketAddr};

/// Why a router could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {cause}")]
    Bind {
        /// Address.
        address: SocketAddr,
        /// What the system said.
        cause: io::Error,
    },
    /// A part of the process could not start.
    #[error("cannot start the {part}: {cause}")]
    Start {
        /// Part.
        part: &'static str,
        /// What the system said.
        cause: io::Error,
    },
}
