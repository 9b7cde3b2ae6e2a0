//! Exit codes of the command line.

use std::process;

/// How a command ended; the number is the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// It did what was asked.
    Done = 0,
    /// It failed in a way that no other code names, such as a file that cannot be read.
    Failed = 1,
    /// The arguments are wrong; clap uses the same code.
    Usage = 2,
    /// The configuration has findings; nothing was changed.
    Findings = 3,
    /// Another operator's change won; nothing was changed.
    Conflict = 4,
    /// The platform or the router cannot be reached or refuses; nothing was changed.
    Unreachable = 5,
    /// No answer came and none could be read back: the change may have taken effect.
    Unknown = 6,
    /// The change was accepted but was not in force everywhere when the waiting time ended.
    Waiting = 7,
    /// The thing that was asked for does not exist.
    NotFound = 8,
    /// `config diff` found differences.
    Different = 9,
}

impl From<Exit> for process::ExitCode {
    fn from(exit: Exit) -> Self {
        process::ExitCode::from(exit as u8)
    }
}
