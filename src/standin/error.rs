//! Errors of starting a stand-in.

use std::{io, net::SocketAddr};

/// Why a stand-in did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be listened on.
    #[error("stand-in cannot listen on {address}: {source}")]
    Listen {
        /// Address that was given.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The threads that serve calls cannot be started.
    #[error("stand-in on {address} cannot start its threads: {source}")]
    Start {
        /// Address that was given.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}
