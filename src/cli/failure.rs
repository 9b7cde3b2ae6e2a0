//! Errors of commands.

use super::Exit;
use crate::{config, operator, platform, watch};
use std::io;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Standard output cannot be written, or a log cannot be read to its end.
    #[error("cannot write the output or read a log: {0}")]
    Output(#[from] io::Error),
    /// A configuration file cannot be read.
    #[error(transparent)]
    File(#[from] config::Unreadable),
    /// A configuration cannot be written as TOML.
    #[error("the configuration cannot be written as TOML: {0}")]
    Toml(#[from] toml::ser::Error),
    /// The key file cannot be read.
    #[error("cannot read the operator key file {file}: {cause}")]
    Key {
        /// Name of the file.
        file: Box<str>,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// Overlays are given, but not exactly one base file.
    #[error("overlays belong to one base file: give exactly one with --overlay")]
    Overlays,
    /// The files to compare are of different kinds.
    #[error("a JSON file can only be compared with a JSON file, and a base file with a base file")]
    Kinds,
    /// The file to compare with has findings.
    #[error("the file to compare with is not valid:\n{0}")]
    Invalid(config::Findings),
    /// The configuration to compare with is not JSON.
    #[error("the configuration of {name} is not JSON: {cause}")]
    Against {
        /// Name of the file, or the platform.
        name: Box<str>,
        /// Parse error.
        cause: serde_json::Error,
    },
    /// The settings of a router cannot be read.
    #[error(transparent)]
    Settings(#[from] platform::Error),
    /// The store of the users' platform cannot be read.
    #[error(transparent)]
    Platform(#[from] watch::Fault),
    /// A log cannot be opened.
    #[error("cannot open the log file {file}: {cause}")]
    Log {
        /// Name of the file.
        file: Box<str>,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// No platform address is given.
    #[error("no platform address given; set --platform or MARLRUN_PLATFORM")]
    NoPlatform,
    /// No router address is given.
    #[error("no router address given; set --router or MARLRUN_ROUTERS")]
    NoRouter,
    /// No key file is given.
    #[error("no operator key file given; set --operator-key-file or MARLRUN_OPERATOR_KEY_FILE")]
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
            Failure::Overlays | Failure::Kinds => Exit::Usage,
            Failure::Store(config::store::Error::Platform(_))
            | Failure::Router(_)
            | Failure::Platform(_) => Exit::Unreachable,
            _ => Exit::Failed,
        }
    }
}
