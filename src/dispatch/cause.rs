//! Why a target is treated as cold.

use std::fmt;

/// Why a target is treated as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its list entry says so.
    Listed,
    /// Its health response says so.
    Probe,
    /// It is listed with a new start time.
    NewRun,
    /// This router has just started, and the list that it read may be old.
    Unconfirmed,
    /// Its list entry has a remaining time that can't be read.
    Unreadable,
    /// It refused connections or did not answer a probe, or was reached again only just now.
    Unreachable,
    /// Connections to it broke, or it was silent.
    Interrupted,
    /// Another router reports that it fails.
    Suspected,
    /// It asked for a pause.
    Paused,
    /// The evacuation of its failure domain ended.
    Evacuated,
    /// Another router knows of targets that this one's list doesn't have.
    Behind,
}

impl Cause {
    /// Reports whether a list entry with a remaining time tells what was in doubt.
    pub(super) fn ends_with_entry(self) -> bool {
        matches!(
            self,
            Cause::NewRun | Cause::Unconfirmed | Cause::Unreadable | Cause::Behind
        )
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Cause::Listed => "listed",
            Cause::Probe => "probe",
            Cause::NewRun => "new run",
            Cause::Unconfirmed => "unconfirmed list",
            Cause::Unreadable => "unreadable",
            Cause::Unreachable => "unreachable",
            Cause::Interrupted => "interrupted",
            Cause::Suspected => "suspected",
            Cause::Paused => "paused",
            Cause::Evacuated => "evacuated",
            Cause::Behind => "list behind",
        })
    }
}
