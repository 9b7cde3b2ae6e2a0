//! Failures to start a router.

use crate::{beacon, config, link};
use std::{io, net::SocketAddr};

/// Why a router could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A configuration file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] config::Unreadable),
    /// The configuration is wrong.
    #[error("{0}")]
    Configuration(#[from] config::Findings),
    /// The links could not start.
    #[error("{0}")]
    Link(#[from] link::Error),
    /// The heartbeats could not start.
    #[error("{0}")]
    Beacon(#[from] beacon::Error),
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

impl Error {
    pub(super) fn bind(address: SocketAddr) -> impl FnOnce(io::Error) -> Self {
        move |cause| Self::Bind { address, cause }
    }

    pub(super) fn start(part: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |cause| Self::Start { part, cause }
    }
}
