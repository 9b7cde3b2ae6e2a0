//! Whether a replica has a configuration.

use crate::unit::Version;
use std::fmt;

/// Whether a replica has a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// A version is active.
    Ready(Version),
    /// No version is active yet.
    Unready {
        /// Why the last read of the platform gave no configuration, if it was read.
        platform: Option<Box<str>>,
        /// Peers that have a configuration.
        peers: usize,
    },
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            State::Ready(version) => write!(f, "configuration version {version}"),
            State::Unready { platform, peers } => {
                let detail = platform.as_deref().unwrap_or("not read yet");
                write!(
                    f,
                    "no configuration; platform: {detail}; peers with a configuration: {peers}"
                )
            }
        }
    }
}
