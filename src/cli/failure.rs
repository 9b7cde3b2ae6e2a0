//! Errors of commands.

use super::Exit;
use crate::{config, operator};
use std::io;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// A result cannot be printed.
    #[error("the output cannot be written: {0}")]
    Output(#[from] io::Error),
    /// A configuration file cannot be read.
    #[error(transparent)]
    File(#[from] config::Unreadable),
    /// A configuration cannot be written as TOML.
    #[error("the configuration cannot be written as TOML: {0}")]
    Toml(#[from] toml::ser::Error),
    /// The key file cannot be read.
    #[error("operators' key file {file}: {cause}")]
    Key {
        /// Name of the file.
        file: Box<str>,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// A log cannot be read.
    #[error("the log {file}: {cause}")]
    Log {
        /// Name of the file.
        file: Box<str>,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// No platform address is given.
    #[error("name the platform by --platform or MARLRUN_PLATFORM")]
    NoPlatform,
    /// No router address is given.
    #[error("name a router by --router or MARLRUN_ROUTERS")]
    NoRouter,
    /// No key file is given.
    #[error("name the key file by --operator-key-file or MARLRUN_OPERATOR_KEY_FILE")]
    NoKey,
    /// The stored configuration cannot be read or written.
    #[error(transparent)]
    Store(#[from] config::store::Error),
    /// A router cannot be reached or rejected the call.
    #[error(transparent)]
    Router(#[from] operator::Error),
}

impl Failure {
    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Failure::NoPlatform | Failure::NoRouter | Failure::NoKey => Exit::Usage,
            Failure::Store(config::store::Error::Platform(_)) | Failure::Router(_) => {
                Exit::Unreachable
            }
            _ => Exit::Failed,
        }
    }
}
