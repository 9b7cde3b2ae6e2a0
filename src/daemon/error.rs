//! Errors of starting a router.

use crate::{beacon, config, link};
use std::{io, net::SocketAddr};

/// Error of starting a router.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A configuration file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] config::Unreadable),
    /// The configuration is invalid.
    #[error("{0}")]
    Configuration(#[from] config::Findings),
    /// The links to peers could not be started.
    #[error("{0}")]
    Link(#[from] link::Error),
    /// Heartbeats could not be started.
    #[error("{0}")]
    Beacon(#[from] beacon::Error),
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {cause}")]
    Bind {
        /// Address.
        address: SocketAddr,
        /// I/O error.
        cause: io::Error,
    },
    /// A component of the process could not be started.
    #[error("cannot start the {part}: {cause}")]
    Start {
        /// Component.
        part: &'static str,
        /// I/O error.
        cause: io::Error,
    },
}

impl Error {
    pub(super) fn bind(address: SocketAddr) -> impl FnOnce(io::Error) -> Self {
        move |cause| Self::Bind { address, cause }
    }

    pub(super) fn start(part: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |cause| Self::Start { part, cause }
    }
}
