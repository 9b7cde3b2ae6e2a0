//! Exit codes of the command line.

use std::process;

/// Result of a command; the discriminant is the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Success.
    Done = 0,
    /// Failure that no other code covers, such as an unreadable file.
    Failed = 1,
    /// Invalid arguments; clap uses the same code.
    Usage = 2,
    /// The configuration has findings; nothing was changed.
    Findings = 3,
    /// Another operator's change was accepted first; nothing was changed.
    Conflict = 4,
    /// The platform or a router is unreachable or rejected the call; nothing was changed.
    Unreachable = 5,
    /// No response arrived and the outcome could not be read back: the change may have taken effect.
    Unknown = 6,
    /// Accepted, but `--wait` expired first: the version is not in force at every router, or the router still drains.
    TimedOut = 7,
    /// The requested version, overlay, request or evacuation does not exist.
    NotFound = 8,
    /// `config diff` found differences.
    Different = 9,
}

impl From<Exit> for process::ExitCode {
    fn from(exit: Exit) -> Self {
        process::ExitCode::from(exit as u8)
    }
}
