//! Errors while starting a router.

use std::{io, net::SocketAddr};

/// Why a router could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {cause}")]
    Bind {
        /// Address.
        address: SocketAddr,
        /// Error reported by the operating system.
        cause: io::Error,
    },
    /// A component of the process could not start.
    #[error("cannot start the {part}: {cause}")]
    Start {
        /// Name of the component.
        part: &'static str,
        /// Error reported by the operating system.
        cause: io::Error,
    },
}
