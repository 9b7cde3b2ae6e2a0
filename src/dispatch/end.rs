//! How the run of a request at a target ended.

use std::fmt;

/// How the run of a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Whole answer.
    Answered,
    /// Whole answer that tells a failure of the target.
    Failed,
    /// The target says that it did not run the request.
    NotRun,
    /// No byte of the request left.
    Unsent,
    /// No whole answer came; the request may have run.
    Broken,
    /// The target fell silent; the request may have run.
    Silent,
    /// The caller went away, or the time was up.
    Cancelled,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            End::Answered => "answered",
            End::Failed => "failed",
            End::NotRun => "not-run",
            End::Unsent => "unsent",
            End::Broken => "broken",
            End::Silent => "silent",
            End::Cancelled => "cancelled",
        })
    }
}
