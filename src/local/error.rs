//! Errors of starting a fleet in one process.

use crate::{daemon, standin};
use std::{io, path::PathBuf};

/// Why a fleet could not start.
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
        /// What it said.
        source: daemon::Error,
    },
    /// A failure domain's or router's name is wrong.
    #[error(transparent)]
    Name(#[from] crate::id::Invalid),
    /// The configuration file cannot be written.
    #[error("{}: {source}", path.display())]
    Write {
        /// File.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
}
