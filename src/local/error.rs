//! Errors of starting an in-process fleet.

use crate::{daemon, standin};
use std::{io, path::PathBuf};

/// Error of starting a fleet.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in could not start.
    #[error(transparent)]
    StandIn(#[from] standin::Error),
    /// A router could not start.
    #[error("router {router}: {source}")]
    Router {
        /// Router.
        router: Box<str>,
        /// Error of the router.
        source: daemon::Error,
    },
    /// The name of a failure domain or router is invalid.
    #[error(transparent)]
    Name(#[from] crate::id::Invalid),
    /// The configuration file cannot be written.
    #[error("cannot write the configuration file {}: {source}", path.display())]
    Write {
        /// File.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}
