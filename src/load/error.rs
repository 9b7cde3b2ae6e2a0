//! Errors of the load tool.

use std::{io, path::PathBuf};

/// Why a load could not be run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// File.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file is not a workload.
    #[error("{}: {source}", path.display())]
    Parse {
        /// File.
        path: PathBuf,
        /// What the parser said.
        source: Box<toml::de::Error>,
    },
    /// No address was given to send requests to.
    #[error("no router or target to send requests to")]
    NoRoute,
    /// A flow's service has no target to send requests to.
    #[error("workspace {workspace}: service {service} has no target")]
    NoTarget {
        /// Workspace of the flow.
        workspace: Box<str>,
        /// Service.
        service: Box<str>,
    },
    /// A flow cannot be run as it is.
    #[error("workspace {workspace}: service {service}: {detail}")]
    Flow {
        /// Workspace of the flow.
        workspace: Box<str>,
        /// Service of the flow.
        service: Box<str>,
        /// What is wrong.
        detail: &'static str,
    },
    /// The threads cannot be started.
    #[error("threads cannot be started: {0}")]
    Start(io::Error),
}
